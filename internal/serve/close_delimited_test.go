package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// TestShutdownWithinResponse guards against a response that the end of a shutdown breaks off and that a caller without chunks takes for a whole one.
func TestShutdownWithinResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const firstPart = "half of the "
	front := newFrontServer(newTestGroup(), listener, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		_, _ = io.WriteString(w, firstPart)
		_ = http.NewResponseController(w).Flush() // The caller's read shows an error.
		<-in.Context().Done()
	}), logrus.New())
	go func() { _ = front.acceptLoop() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(firstPart))); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := front.shutdown(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("the shutdown ends with %v, want %v", err, context.Canceled)
	}
	if rest, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d further bytes and the end in order, want an error", len(rest))
	}
}
