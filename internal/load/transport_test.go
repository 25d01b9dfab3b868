package load

import (
	"io"
	"net/http"
	"sync"
)

// handlerTransport is an http.RoundTripper that calls a handler for each address, so that callers run on virtual time
// without a network. An address without a handler refuses connections.
type handlerTransport map[string]http.Handler

type connectionRefusedError struct{}

func (connectionRefusedError) Error() string { return "connection refused" }

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	handler, ok := h[req.URL.Host]
	if !ok {
		return nil, connectionRefusedError{}
	}
	reader, writer := io.Pipe()
	w := &pipeWriter{header: http.Header{}, body: writer, started: make(chan struct{})}
	if req.Body == nil {
		req.Body = http.NoBody
	}
	go w.serve(handler, req)
	select {
	case <-w.started:
	case <-req.Context().Done():
		_ = reader.Close()
		return nil, req.Context().Err()
	}
	if w.status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	stop := make(chan struct{})
	go func() {
		select {
		case <-req.Context().Done():
			_ = reader.CloseWithError(req.Context().Err())
		case <-stop:
		}
	}()
	body := &pipeBody{PipeReader: reader, stop: stop}
	return &http.Response{StatusCode: w.status, Header: w.header, Body: body, Request: req}, nil
}

type pipeBody struct {
	*io.PipeReader
	once sync.Once
	stop chan struct{}
}

func (b *pipeBody) Close() error {
	b.once.Do(func() { close(b.stop) })
	return b.PipeReader.Close()
}

type pipeWriter struct {
	header  http.Header
	status  int
	body    *io.PipeWriter
	once    sync.Once
	started chan struct{}
}

func (w *pipeWriter) serve(handler http.Handler, req *http.Request) {
	defer w.once.Do(func() { close(w.started) })
	defer func() {
		switch r := recover(); r {
		case nil:
			w.WriteHeader(http.StatusOK)
			_ = w.body.Close()
		case http.ErrAbortHandler:
			_ = w.body.CloseWithError(io.ErrUnexpectedEOF)
		default:
			panic(r)
		}
	}()
	handler.ServeHTTP(w, req)
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

func (w *pipeWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.started)
	})
}

func (w *pipeWriter) Flush() {}
