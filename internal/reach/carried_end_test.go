package reach

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestEndsOfCarriedConnection guards against an end of a connection that a helper carries, and which its server has not ended in order, that is
// reported as io.EOF, and against an orderly one that is not.
func TestEndsOfCarriedConnection(t *testing.T) {
	const data = "data"
	type ends struct {
		helper  *node
		own     net.Conn // the helper's connection to the server
		server  *net.TCPConn
		carried net.Conn
	}
	tests := []struct {
		name    string
		end     func(e ends)
		wantEOF bool
		silent  bool // nothing ends until the connection is closed here
	}{
		{"server ends in order", func(e ends) { _ = e.server.CloseWrite() }, true, false},
		{"server closes", func(e ends) { _ = e.server.Close() }, true, false},
		{"server resets", func(e ends) {
			_ = e.server.SetLinger(0)
			_ = e.server.Close()
		}, false, false},
		// The helper's own close must not look like the server's.
		{"helper closes its connection", func(e ends) { _ = e.own.Close() }, false, true},
		{"helper ends its side of its connection", func(e ends) { _ = e.own.(*net.TCPConn).CloseWrite() }, false, true},
		{"helper's reads time out", func(e ends) { _ = e.own.SetReadDeadline(time.Now()) }, false, false},
		{"helper ends", func(e ends) { e.helper.stop() }, false, false},
		{"closed here", func(e ends) { _ = e.carried.Close() }, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					accepted <- conn.(*net.TCPConn)
				}
			}()
			nodes := newNodes(t, 2)
			nodes[0].set(wayRefuses)
			dial, dialed := nodes[1].dialer.dial, make(chan net.Conn, 1)
			nodes[1].dialer.dial = recordDial(dial, dialed)
			carried, err := nodes[0].dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer carried.Close()
			server := <-accepted
			defer server.Close()
			if _, err := io.WriteString(server, data); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(carried, make([]byte, len(data))); err != nil {
				t.Fatal(err)
			}
			test.end(ends{helper: nodes[1], own: <-dialed, server: server, carried: carried})
			ended := make(chan error, 1)
			go func() {
				_, err := carried.Read(make([]byte, 1))
				ended <- err
			}()
			if test.silent {
				select {
				case err = <-ended:
					t.Errorf("ended with %v", err)
					return
				case <-time.After(200 * time.Millisecond):
				}
				_ = carried.Close()
			}
			if err = <-ended; errors.Is(err, io.EOF) != test.wantEOF {
				t.Errorf("ended with %v, want io.EOF: %v", err, test.wantEOF)
			}
		})
	}
}

// recordDial returns a dial function that passes on the connections that another one makes.
func recordDial(dial dialFunc, dialed chan<- net.Conn) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			select {
			case dialed <- conn:
			default: // Another one is recorded.
			}
		}
		return conn, err
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
