package bound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const (
	// uploadBytes exceeds the buffers of both sides of a connection, so that a write waits while the server does not read.
	uploadBytes = 12 << 20
	// readBytes is what a server reads of an upload before it answers.
	readBytes = 16 << 10
)

// rawServer accepts connections until the end of the test and passes each to serve, which owns it.
func rawServer(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// TestAnswerDuringUpload guards against a part of an answer without a length that counts as whole because the reset of its connection was
// reported to the write of the request, and against an answer with a length or in chunks that is lost with the upload.
func TestAnswerDuringUpload(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	closeWrite := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}
	unframed := func(body string) string { return "\r\n" + body }
	withLength := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	inChunks := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	tests := []struct {
		name   string
		answer func(body string) string
		sizes  []int
		end    func(conn *net.TCPConn)
		pause  time.Duration // of the client before it reads the body
		whole  bool
	}{
		{"no length, reset", unframed, []int{10, 2_000, 100_000}, reset, 0, false},
		{"no length, closed", unframed, []int{10, 2_000, 100_000}, func(*net.TCPConn) {}, 0, false},
		{"no length, own side closed", unframed, []int{10, 2_000, 100_000}, closeWrite, 0, false},
		{"length, reset", withLength, []int{0, 10, 2_000, 100_000}, reset, 0, true},
		{"chunks, reset", inChunks, []int{10, 2_000, 100_000}, reset, 0, true},
		{"length, reset before it is read", withLength, []int{10, 2_000, 30_000}, reset, 150 * time.Millisecond, true},
	}
	for _, test := range tests {
		for _, size := range test.sizes {
			t.Run(fmt.Sprintf("%s, %d bytes", test.name, size), func(t *testing.T) {
				t.Parallel()
				want := strings.Repeat("a", size)
				address := rawServer(t, func(conn *net.TCPConn) {
					defer conn.Close()
					_, _ = io.ReadFull(conn, make([]byte, readBytes))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.answer(want))
					time.Sleep(50 * time.Millisecond) // The client's writes fill the buffers.
					test.end(conn)
				})
				for range 10 {
					body, err := upload(t, address, test.pause)
					switch {
					case test.whole && (err != nil || body != want):
						t.Errorf("%d bytes, error %v, want the whole answer", len(body), err)
					case !test.whole && err == nil:
						t.Errorf("%d bytes count as a whole answer", len(body))
					}
				}
			})
		}
	}
}

// upload sends a long body and returns the body of the answer, which it reads after a pause.
func upload(t *testing.T, address string, pause time.Duration) (string, error) {
	t.Helper()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = uploadBytes
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	time.Sleep(pause)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestAnswerAfterUpload guards against a whole answer without a length that is refused although its server has read the whole request.
func TestAnswerAfterUpload(t *testing.T) {
	for _, size := range []int{0, 1, 2 << 10, 100_000, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			address := rawServer(t, func(conn *net.TCPConn) {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			})
			for range 50 {
				transport := NewTransport(nil)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size)))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := transport.RoundTrip(req)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
					t.Errorf("body %q, error %v", body, err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}

// TestTransportWithTLS guards against encrypted bytes that are taken for those of a response head.
func TestTransportWithTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
	for range 10 {
		want := strings.Repeat("a", 100_000)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(want))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
			t.Errorf("%d bytes, error %v", len(body), err)
		}
		_ = resp.Body.Close()
	}
}
