package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEndlessRequestOfAuxServer guards against a request without an end to the readiness, lookup or metrics listener, of which an instance
// keeps 1 MB for each connection.
func TestEndlessRequestOfAuxServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newAuxServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	for _, repeated := range []string{"x", "A: b\r\n"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
			t.Fatal(err)
		}
		// 64 KB without an end: a server that waits for the rest does not answer.
		if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nA: %s", strings.Repeat(repeated, 64<<10/len(repeated))); err != nil {
			t.Logf("the request is not read to its end: %v", err)
		}
		answer, err := io.ReadAll(conn)
		if len(answer) == 0 && err != nil && strings.Contains(err.Error(), "timeout") {
			t.Error("a head of 64 KB is kept")
		}
		_ = conn.Close()
	}
}
