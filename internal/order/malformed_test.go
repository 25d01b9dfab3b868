package order

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestMalformedHead guards against bytes that are no answer of an engine and count as its state or as an order that it has taken.
func TestMalformedHead(t *testing.T) {
	tests := []struct{ name, head string }{
		{"status 000", "000 OK\r\n"},
		{"status 099", "099 OK\r\n"},
		{"blank before the colon", "200 OK\r\nX-Field : 1\r\n"},
		{"blank in a name", "200 OK\r\nX Field: 1\r\n"},
		{"blank before a name", "200 OK\r\nX-First: 1\r\n X-Field: 1\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 "+test.head+"Content-Length: 11\r\n\r\n{\"fence\":3}")
					}
					_ = conn.Close()
				}
			}()
			config := engineConfig("e", "a1", "2", true)
			config["address"] = listener.Addr().String()
			engine := manifestOf(t, 4, 1, config).Backends()[0]
			client := NewHTTPEngineClient(nil)
			if report, err := client.ReadState(t.Context(), engine); err == nil {
				t.Errorf("the bytes count as the state %+v", report)
			}
			if err := client.SendOrder(t.Context(), engine, Order{}, func() error { return nil }); err == nil {
				t.Error("the bytes count as the answer to an order")
			}
		})
	}
}
