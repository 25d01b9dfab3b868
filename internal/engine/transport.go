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

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	dialTimeout          = time.Second
	idleConnTimeout      = 30 * time.Second
	maxIdleConnsPerHost  = 64
	transportBufferBytes = 2 << 10
	maxErrorBodyBytes    = 1 << 10

	// LeavingHeader is set to "true" on a 503 response of a backend server that takes no new work.
	LeavingHeader = "X-Leaving"
)

// Transport sends requests to backend servers and returns failures as *Error with an outcome. It does not follow
// redirects.
type Transport struct {
	base   *bound.Transport
	pooled bool
}

// DialFunc establishes a connection. An error means that nothing was sent.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that pools connections of the dial function. Nil connects directly.
func NewTransport(dial DialFunc) *Transport { return newTransport(false, dial) }

// NewUnpooledTransport returns a transport that uses each connection for one request only. On a reused connection it
// may be impossible to tell whether a request ran, because the backend server may close or lose an idle connection at
// any time or send a late response on it. Nil connects directly.
func NewUnpooledTransport(dial DialFunc) *Transport { return newTransport(true, dial) }

func newTransport(disableKeepAlives bool, dial DialFunc) *Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := bound.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return conn, nil
	})
	base.DisableKeepAlives = disableKeepAlives
	base.MaxIdleConnsPerHost = maxIdleConnsPerHost
	base.IdleConnTimeout = idleConnTimeout
	base.DisableCompression = true
	base.ReadBufferSize = transportBufferBytes
	base.WriteBufferSize = transportBufferBytes
	return &Transport{pooled: !disableKeepAlives, base: base}
}

// Close closes idle connections.
func (t *Transport) Close() { t.base.CloseIdleConnections() }

// Do sends a request. The error is an *Error. A response with a status other than 2xx is also returned as an error,
// with its body closed.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	resp, err := t.Send(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, newResponseError(resp)
	}
	return resp, nil
}

// Send sends a request and returns the response, whatever its status. The error is an *Error.
func (t *Transport) Send(req *http.Request) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &Error{outcome: t.sendOutcome(gotConn.Load(), err), cause: err}
	}
	return resp, nil
}

// sendOutcome returns the outcome of a request without a response. A dial error alone does not prove that nothing was
// sent: net/http may have written the request to a pooled connection and dialed again after that connection failed. Without
// a pool, a request that got no connection was not sent, whatever ended it.
func (t *Transport) sendOutcome(gotConn bool, err error) pond.Outcome {
	var dial *dialError
	if !gotConn && (!t.pooled || errors.As(err, &dial)) {
		return pond.OutcomeNotSent
	}
	return pond.OutcomeMaybeSent
}

func newResponseError(resp *http.Response) *Error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
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
