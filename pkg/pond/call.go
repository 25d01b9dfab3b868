package pond

import "net/http"

// Call is one request to a plain service. A plain service is a backend service other than an engine.
type Call struct {
	Account string
	Service string
	Method  string
	// Path is the path below the service's prefix, with the query string, beginning with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key that the caller sent; empty for calls that may be repeated.
	Key string
	// Forwarded is true if another instance received the call and forwarded it to this one.
	Forwarded bool
}

// Answer is the response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte

	release func()
}

// OnRelease returns the answer with a function that Release calls.
func (a Answer) OnRelease(f func()) Answer {
	a.release = f
	return a
}

// Release tells the executor that the answer is no longer needed. Whoever receives an answer from an Executor calls it once.
func (a Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Executor runs calls to plain services.
type Executor = Handler[Call, Answer]
