package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 64
	transportBuffer     = 2 << 10
	maxResponseHeader   = 16 << 10
	maxErrorBody        = 1 << 10

	// LeavingHeader is set to "true" on a 503 answer of a backend server that takes no new work.
	LeavingHeader = "X-Leaving"
)

// Transport sends requests to backend servers and gives failures a typed outcome. It follows no redirects.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that pools connections.
func NewTransport() *Transport { return newTransport(false) }

// NewFreshTransport returns a transport that uses a connection for one request only. A backend server may close or lose
// an idle connection at any time or send a late answer on it; then nobody can tell whether the next request ran.
func NewFreshTransport() *Transport { return newTransport(true) }

func newTransport(fresh bool) *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Transport{base: &http.Transport{
		DisableKeepAlives: fresh,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// Close closes idle connections.
func (t *Transport) Close() { t.base.CloseIdleConnections() }

// Do sends a request. The error is an *Error. Answers with a status of 400 or more are errors too, and their body is
// closed.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	resp, err := t.Send(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, answerError(resp)
	}
	return resp, nil
}

// Send sends a request and returns any answer as it is. The error is an *Error.
func (t *Transport) Send(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &Error{outcome: sendOutcome(connected.Load(), err), cause: err}
	}
	return resp, nil
}

// sendOutcome classifies a request without an answer. A dial error alone proves nothing: net/http may have written the
// request to a pooled connection first and dialed again after that connection failed.
func sendOutcome(connected bool, err error) pond.Outcome {
	var dial *dialError
	if !connected && errors.As(err, &dial) {
		return pond.OutcomeNotSent
	}
	return pond.OutcomeMaybeSent
}

func answerError(resp *http.Response) *Error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &Error{
		outcome: pond.OutcomeAnswered,
		status:  resp.StatusCode,
		leaving: resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(LeavingHeader) == "true",
		cause:   errors.New(string(body)),
	}
}

// dialError marks a failure to establish a connection.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
