package serve

import (
	"net"
	"testing"
	"time"
)

// TestAddressStillInUse guards against an instance that does not start because the process before it still holds its address for a moment.
func TestAddressStillInUse(t *testing.T) {
	const held = 300 * time.Millisecond
	former, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	formerDatagram, err := net.ListenPacket("udp", former.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(held, func() {
		_ = former.Close()
		_ = formerDatagram.Close()
	})
	successor := &Instance{settings: Settings{PeerAddress: former.Addr().String()}}
	if err := successor.listen(); err != nil {
		t.Fatalf("the successor does not start: %v", err)
	}
	_ = successor.sockets.peer.Close()
	_ = successor.sockets.datagram.Close()
}
