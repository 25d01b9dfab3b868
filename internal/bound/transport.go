package bound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// NewTransport returns a transport that accepts only sound responses. Nil connects directly, within a second.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	dialChecked := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(conn, true), nil
	}
	return &Transport{Transport: &http.Transport{DialContext: dialChecked, MaxResponseHeaderBytes: MaxHeadBytes}}
}

// Transport sends requests as the http.Transport in it does, and reads responses more strictly: heads have at most MaxHeadBytes,
// and a body that has neither a length nor chunks is whole only if its connection ends in order after the whole request was written. DialContext must
// not be replaced.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *checkedConn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*checkedConn)
			conn.beginRequest()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { conn.endRequest(info.Err) },
	})
	return t.Transport.RoundTrip(req.WithContext(ctx))
}

// NetConn returns the connection that a dial function gave to a Transport, for a connection that it passes to the hooks of httptrace.
func NetConn(conn net.Conn) net.Conn {
	if checked, ok := conn.(*checkedConn); ok {
		return checked.Conn
	}
	return conn
}

var _ http.RoundTripper = (*Transport)(nil)
