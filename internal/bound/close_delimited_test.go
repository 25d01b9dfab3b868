package bound

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	firstPart = "half of the "
	// longRest exceeds what net/http holds back to add a length.
	longRest = 64 << 10
)

// sendFirstPart sends the first part of a response without a length.
func sendFirstPart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, firstPart)
	_ = http.NewResponseController(w).Flush() // A caller that gets no part does not get to the end.
}

// breakingHandler sends the first part of a response. The rest depends on the path.
func breakingHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/short" {
		_, _ = io.WriteString(w, "whole")
		return
	}
	sendFirstPart(w)
	switch r.URL.Path {
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/wait":
		<-r.Context().Done()
	default:
		_, _ = io.WriteString(w, strings.Repeat("x", longRest))
	}
}

// TestBrokenOffResponseIsNotWhole guards against the first part of a response that a caller without chunks takes for the whole one, because its connection
// ended in order when the handler or the process broke the response off, and against whole responses that are reset.
func TestBrokenOffResponseIsNotWhole(t *testing.T) {
	tests := []struct {
		name, version, path string
		closesServer        bool
		wantWhole           bool
	}{
		{"whole, no length", "HTTP/1.0", "/long", false, true},
		{"whole, length added", "HTTP/1.0", "/short", false, true},
		{"aborted", "HTTP/1.0", "/abort", false, false},
		{"server closed", "HTTP/1.0", "/wait", true, false},
		{"whole, chunks", "HTTP/1.1", "/long", false, true},
		{"aborted, chunks", "HTTP/1.1", "/abort", false, false},
		{"server closed, chunks", "HTTP/1.1", "/wait", true, false},
	}
	for _, test := range tests {
		// The last response on a kept connection is like the first: one with a length keeps it.
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", test.name, kept), func(t *testing.T) {
				t.Parallel()
				g := newGuarded(t, calmLimits, breakingHandler)
				c := g.dial(t)
				if kept {
					c.send("GET /short " + test.version + "\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\n")
					if got := c.status(); got != http.StatusOK {
						t.Fatalf("status %d of the response before", got)
					}
				}
				c.send("GET " + test.path + " " + test.version + "\r\nHost: a.example\r\nConnection: close\r\n\r\n")
				resp, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if test.closesServer {
					if _, err := io.ReadFull(resp.Body, make([]byte, len(firstPart))); err != nil {
						t.Fatal(err)
					}
					if err := g.server.Close(); err != nil {
						t.Error(err)
					}
				}
				body, err := io.ReadAll(resp.Body)
				if (err == nil) != test.wantWhole || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%d bytes, error %v, want whole %t", len(body), err, test.wantWhole)
				}
				if test.version == "HTTP/1.1" && err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("a response with chunks ends with %v, want %v", err, io.ErrUnexpectedEOF)
				}
			})
		}
	}
}

// serverRole names the environment variable that makes TestKilledServerProcess the process that is killed.
const serverRole = "BOUND_TEST_SERVER"

// TestKilledServerProcess guards against the first part of a response that a caller without chunks takes for the whole one because the kernel ends the
// connections of a killed process in order.
func TestKilledServerProcess(t *testing.T) {
	if os.Getenv(serverRole) != "" {
		fmt.Println(newGuarded(t, calmLimits, breakingHandler).address)
		_, _ = io.Copy(io.Discard, os.Stdin) // It ends with the process that started this one.
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestKilledServerProcess$")
	cmd.Env = append(os.Environ(), serverRole+"=1")
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // It may have ended already.
		_ = cmd.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	g := &guarded{address: strings.TrimSpace(address)}
	c := g.dial(t)
	c.send("GET /wait HTTP/1.0\r\nHost: a.example\r\n\r\n")
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(firstPart))); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d further bytes, error %v, want the end of the process as an error", len(rest), err)
	}
}
