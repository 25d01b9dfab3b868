package pond

import "context"

// Handler serves one request of type Req with a response of type Resp.
type Handler[Req, Resp any] interface {
	Handle(ctx context.Context, req Req) (Resp, error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc[Req, Resp any] func(ctx context.Context, req Req) (Resp, error)

// Handle calls f.
func (f HandlerFunc[Req, Resp]) Handle(ctx context.Context, req Req) (Resp, error) {
	return f(ctx, req)
}

// Decorator wraps a handler with additional behavior.
type Decorator[Req, Resp any] func(Handler[Req, Resp]) Handler[Req, Resp]

// Chain wraps h with the decorators; the first decorator is the outermost.
func Chain[Req, Resp any](h Handler[Req, Resp], decorators ...Decorator[Req, Resp]) Handler[Req, Resp] {
	for i := len(decorators) - 1; i >= 0; i-- {
		h = decorators[i](h)
	}
	return h
}
