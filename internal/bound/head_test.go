package bound

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// malformedHeads are heads that begin no answer.
var malformedHeads = []struct{ name, head string }{
	{"status 000", "HTTP/1.1 000 OK\r\n"},
	{"status 099", "HTTP/1.1 099 OK\r\n"},
	{"status 600", "HTTP/1.1 600 OK\r\n"},
	{"status 999", "HTTP/1.1 999 OK\r\n"},
	{"signed status", "HTTP/1.1 +20 OK\r\n"},
	{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nX-Field : 1\r\n"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Field: 1\r\n"},
	{"blank before a name", "HTTP/1.1 200 OK\r\n X-Field: 1\r\n"},
	{"tab in a name", "HTTP/1.1 200 OK\r\nX\tField: 1\r\n"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nX-Field\t: 1\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n"},
	{"zero byte in a name", "HTTP/1.1 200 OK\r\nX\x00Field: 1\r\n"},
	{"delete in a name", "HTTP/1.1 200 OK\r\nX\x7fField: 1\r\n"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\nX\rField: 1\r\n"},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe9Field: 1\r\n"},
	{"separator in a name", "HTTP/1.1 200 OK\r\nX(Field: 1\r\n"},
	{"empty name", "HTTP/1.1 200 OK\r\n: 1\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Field\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Field: a\x01b\r\n"},
	{"blank before the colon of a length", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"},
	{"blank before the colon of an encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"},
	{"informational head", "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n"},
	{"another protocol", "HTTP/0.0 200 OK\r\n"},
	{"another version", "HTTP/9.9 200 OK\r\n"},
	{"folded line", "HTTP/1.1 200 OK\r\nX-First: 1\r\n X-Field: 1\r\n"},
	{"folded line with a tab", "HTTP/1.1 200 OK\r\nX-First: 1\r\n\tX-Field: 1\r\n"},
	{"status 000, then an answer", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n"},
}

// TestMalformedHead guards against bytes that are no answer and count as one, and against the next request on their connection.
func TestMalformedHead(t *testing.T) {
	for _, test := range malformedHeads {
		t.Run(test.name, func(t *testing.T) {
			connections := make(chan struct{}, 10)
			answer := test.head + "Content-Length: 2\r\n\r\nhi"
			address := rawServer(t, func(conn *net.TCPConn) {
				defer conn.Close()
				connections <- struct{}{}
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, answer)
				}
			})
			transport := NewTransport(nil)
			defer transport.CloseIdleConnections()
			for range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp, err := transport.RoundTrip(req); err == nil {
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					t.Errorf("status %d, header %q, body %q, error %v", resp.StatusCode, resp.Header, body, err)
				}
			}
			if len(connections) != 2 {
				t.Errorf("%d connections for two requests", len(connections))
			}
			if resp, err := ReadResponse(strings.NewReader(answer), nil); err == nil {
				t.Errorf("ReadResponse: status %d, header %q", resp.StatusCode, resp.Header)
			}
		})
	}
}

// TestInformationalResponses guards against an endless row of informational responses, and against an answer that is refused because of a few.
func TestInformationalResponses(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	tests := []struct {
		name  string
		count int
		want  error
	}{
		{"few", 3, nil},
		{"many", 2 * MaxHeadBytes / len(hint), ErrHeadTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := rawServer(t, func(conn *net.TCPConn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, strings.Repeat(hint, test.count)+"HTTP/1.1 204 No Content\r\n\r\n")
				}
			})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := NewTransport(nil).RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
