package bound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
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
		return CheckEnd(conn), nil
	}
	return &Transport{Transport: &http.Transport{DialContext: dialChecked, MaxResponseHeaderBytes: MaxHeadBytes}}
}

// Transport sends requests as the http.Transport in it does, and reads responses more strictly: heads have at most MaxHeadBytes and are well-formed,
// and a body that has neither a length nor chunks is whole only if its connection ends in order after the whole request was written. DialContext must
// not be replaced. With TLS, folded lines and the end of a request are not seen.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. A connection is not used again after an error.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *checkedConn
	informational := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			var plain bool
			if conn, plain = info.Conn.(*checkedConn); plain {
				conn.beginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn != nil {
				conn.endRequest(info.Err)
			}
		},
		// With this hook, net/http limits only each informational response.
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if informational += headerBytes(header); informational > MaxHeadBytes {
				return ErrHeadTooLarge
			}
			return checkNames(header)
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, req); err != nil {
		if conn != nil {
			_ = conn.Close() // It may be idle already.
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// NetConn returns the connection that a dial function gave to a Transport, for a connection that it passes to the hooks of httptrace.
func NetConn(conn net.Conn) net.Conn {
	if checked, ok := conn.(*checkedConn); ok {
		return checked.Conn
	}
	return conn
}

var _ http.RoundTripper = (*Transport)(nil)
