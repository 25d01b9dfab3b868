package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestServer guards against a server that does not stream over both HTTP versions, or accepts headers of any size.
func TestServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(New(testOptions(t, 5)))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	http1, http2 := new(http.Protocols), new(http.Protocols)
	http1.SetHTTP1(true)
	http2.SetUnencryptedHTTP2(true)
	tests := []struct {
		name      string
		protocols *http.Protocols
		major     int
		padding   int
		status    int
	}{
		{name: "HTTP/1.1", protocols: http1, major: 1, status: http.StatusOK},
		{name: "HTTP/2", protocols: http2, major: 2, status: http.StatusOK},
		{name: "large header", protocols: http1, major: 1, padding: 2 * maxHeaderBytes, status: http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			transport := &http.Transport{Protocols: test.protocols}
			defer transport.CloseIdleConnections()
			body := strings.NewReader(`{"model":"letters","prompt":"hello","stream":true}`)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/v1/completions", body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testAPIKey)
			req.Header.Set("X-Padding", strings.Repeat("x", test.padding))
			resp, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != test.status || resp.ProtoMajor != test.major {
				t.Fatalf("%s, status %d, error %v", resp.Proto, resp.StatusCode, err)
			}
			if events := parseEvents(string(answer)); test.status == http.StatusOK && len(events) != 7 {
				t.Errorf("%d events, want 7", len(events))
			}
		})
	}
}

// TestDrainWaitsForCalls guards against a shutdown that does not wait for a call in progress.
func TestDrainWaitsForCalls(t *testing.T) {
	options := testOptions(t, 1)
	entered, release := make(chan struct{}), make(chan struct{})
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
		close(entered)
		<-release
		return pond.Answer{Status: 200}, nil
	})
	f := New(options)
	answered := make(chan int, 1)
	go func() {
		answered <- sendRequest(f, http.MethodPost, "/services/portal/confirm", "{}", "Idempotency-Key", "p:1").Code
	}()
	<-entered
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Drain(canceledCtx); err == nil {
		t.Error("Drain returned no error while a call was in progress")
	}
	close(release)
	if err := f.Drain(t.Context()); err != nil || f.InProgress() != 0 {
		t.Errorf("Drain: %v, %d still in progress", err, f.InProgress())
	}
	if code := <-answered; code != http.StatusOK {
		t.Errorf("status %d", code)
	}
}
