package serve

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// silentServer accepts connections and counts the bytes that it gets.
type silentServer struct {
	net.Listener
	conns sync.WaitGroup
	bytes atomic.Int64
}

func newSilentServer(t *testing.T) *silentServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	s.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() {
				defer conn.Close()
				n, _ := io.Copy(io.Discard, conn)
				s.bytes.Add(n)
			})
		}
	})
	return s
}

func (s *silentServer) address() string { return s.Addr().String() }

// received returns the number of bytes that came before all connections had ended.
func (s *silentServer) received() int64 {
	_ = s.Close()
	s.conns.Wait()
	return s.bytes.Load()
}

// noAddress is a source address with which no direct connection succeeds.
const noAddress = "192.0.2.1"

// useHelper gives an instance a source address and another instance that evacuates the data centres of all servers. That one connects to no server any more
// once shutDown has been called.
func useHelper(t *testing.T, instance *Instance, sourceIP string) (shutDown func()) {
	t.Helper()
	var leaving atomic.Bool
	network, err := peer.NewNetwork([]byte("a secret of the test"))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options := reach.Options{
		Servers: func() []string { return nil }, Helpers: func(string) []reach.Helper { return nil }, RecordLeaving: func(string, string) bool { return false },
		Connect: network.Conn, Clock: clock.Now, Results: metric.NewConnections(metric.New()), Log: instance.log,
	}
	carrierOptions, now := options, time.Now()
	carrierOptions.Clock = func() time.Time { return now } // What the helper has reached once, it has reached just now.
	carrier := reach.NewDialer(carrierOptions)
	reachOnce(t, carrier)
	no := func(string) bool { return false }
	server := network.NewServer()
	if err := peerpb.DRPCRegisterTunnels(server.Mux(), reach.NewServer(carrier, reach.ServerOptions{
		Known: func(string) bool { return true }, Leaving: func(string) bool { return leaving.Load() }, BackingOff: no, EndsAt: func() time.Time { return time.Time{} },
		Leaves: func(string) (string, bool) { return "", false }, Evacuated: func(string) (string, bool) { return "e1", true },
		ApplySignal: func(string, fleet.Signal) {},
	})); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	helper := pond.NewInstance(pond.InstanceRef{ID: "helper"}, pond.InstanceLive, "", listener.Addr().String(), "north-a", "north").WithCapacity(100)
	options.SourceIP = sourceIP
	options.Helpers = func(string) []reach.Helper { return []reach.Helper{reach.NewHelper(helper, 1)} }
	instance.dialer = reach.NewDialer(options)
	t.Cleanup(func() {
		instance.dialer.Close()
		carrier.Close()
		_ = network.Close()
	})
	return func() { leaving.Store(true) }
}

// connectOnce connects an instance to a server, so that the instance knows whether only another one reaches it.
func connectOnce(t *testing.T, instance *Instance, address string) {
	t.Helper()
	conn, err := instance.dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// reachOnce lets a dialer connect to a server that answers.
func reachOnce(t *testing.T, dialer *reach.Dialer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := accepted.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestEndInEvacuatedDataCentre guards against the end of a process that passes for that of its answer because its data centre is evacuated, and against
// requests to a server there.
func TestEndInEvacuatedDataCentre(t *testing.T) {
	tests := []struct {
		name      string
		service   string
		helper    bool
		runs      bool
		wantError bool
	}{
		{"engine runs", "llm", false, true, false},
		{"engine is gone", "llm", false, false, true},
		{"engine runs, through another instance", "llm", true, true, false},
		{"engine is gone, through another instance", "llm", true, false, true},
		{"replica runs", "shop", false, true, false},
		{"replica is gone", "shop", false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := new(scriptedEngines)
			instance := newConfirmer(t, engines).instance
			instance.fleet.Apply([]feed.Record{{Key: "evacuate/north-a", Revision: 3}}, feed.Knowledge{})
			server := newSilentServer(t)
			if test.helper {
				_ = useHelper(t, instance, noAddress)
				connectOnce(t, instance, server.address())
			}
			if !test.runs {
				if err := server.Close(); err != nil {
					t.Fatal(err)
				}
			}
			backend := route.Backend{ID: "e1", Service: test.service, Address: server.address(), DataCentre: "north-a", StartedAtMillis: 1000}
			err := newEngineChecker(instance).confirmEnd(t.Context(), backend)
			if (err != nil) != test.wantError {
				t.Errorf("error %v, want error %t", err, test.wantError)
			}
			if asked, received := engines.askedCount(), server.received(); asked != 0 || received != 0 {
				t.Errorf("asked %d times, %d bytes sent", asked, received)
			}
		})
	}
}
