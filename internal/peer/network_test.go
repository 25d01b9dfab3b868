package peer

import (
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

type echoMembers struct{}

func (echoMembers) SyncMembers(_ context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersResponse, error) {
	return &peerpb.SyncMembersResponse{Members: req.GetMembers()}, nil
}

// TestSecret guards against an instance that answers calls from a process with a different cluster secret.
func TestSecret(t *testing.T) {
	tests := []struct {
		name   string
		secret string
		ok     bool
	}{
		{name: "same secret", secret: "0123456789abcdef", ok: true},
		{name: "other secret", secret: "fedcba9876543210", ok: false},
	}
	address := serve(t, newNetwork(t, "0123456789abcdef"))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := peerpb.NewDRPCMembersClient(newNetwork(t, test.secret).Conn(address))
			_, err := client.SyncMembers(t.Context(), &peerpb.SyncMembersRequest{})
			if (err == nil) != test.ok {
				t.Errorf("call with %s: error %v, want success %t", test.name, err, test.ok)
			}
		})
	}
}

// TestDialError guards against a refused connection that is not reported as a DialError, so that callers cannot tell
// that nothing was sent.
func TestDialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := peerpb.NewDRPCMembersClient(newNetwork(t, "0123456789abcdef").Conn(address))
	_, err = client.SyncMembers(t.Context(), &peerpb.SyncMembersRequest{})
	var dialError *DialError
	if !errors.As(err, &dialError) {
		t.Errorf("call to a closed port: error %v, want *DialError", err)
	}
}

// TestDatagramSecret guards against accepting a datagram that was encrypted with a different cluster secret.
func TestDatagramSecret(t *testing.T) {
	sealed, err := newNetwork(t, "0123456789abcdef").Seal(&peerpb.Datagram{Sequence: 7})
	if err != nil {
		t.Fatal(err)
	}
	opened, err := newNetwork(t, "0123456789abcdef").Open(sealed)
	if err != nil || opened.GetSequence() != 7 {
		t.Errorf("open with the same secret: %v, %v", opened, err)
	}
	if _, err := newNetwork(t, "fedcba9876543210").Open(sealed); err == nil {
		t.Error("open with a different secret succeeded")
	}
}

func newNetwork(t *testing.T, secret string) *Network {
	t.Helper()
	network, err := NewNetwork([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Close() })
	return network
}

func serve(t *testing.T, network *Network) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := network.NewServer()
	if err := peerpb.DRPCRegisterMembers(server.Mux(), echoMembers{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}
