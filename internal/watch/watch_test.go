package watch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// httpService is a fake configuration service over HTTP. Its long polls end when a manifest is published.
type httpService struct {
	mu       sync.Mutex
	body     []byte
	revision uint64
	changed  chan struct{}
}

func (s *httpService) publish(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body = body
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *httpService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.FormValue("after"), 10, 64)
	for {
		s.mu.Lock()
		body, revision, changed := s.body, s.revision, s.changed
		s.mu.Unlock()
		w.Header().Set(revisionHeader, strconv.FormatUint(revision, 10))
		if revision > after {
			_, _ = w.Write(body)
			return
		}
		if req.FormValue("wait") == "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

// TestLoopback guards against a manifest that does not get from the service through a watcher to the instances that do
// not watch, and against goroutines that outlive Run. It uses real sockets.
func TestLoopback(t *testing.T) {
	service := &httpService{changed: make(chan struct{})}
	server := httptest.NewServer(service)
	client := &http.Client{Transport: new(http.Transport)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	adopted := make(chan spec.Version, 64)
	service.publish(testBody(1, "first"))
	var seeds []string
	const instances = 4
	for i := range instances {
		address, _ := startInstance(t, ctx, &running, client, server.URL, i, seeds, adopted)
		seeds = append(seeds, address)
	}
	for number := uint64(1); number <= 2; number++ {
		for count := 0; count < instances; {
			if v := <-adopted; v.Number == number {
				count++
			}
		}
		if number == 1 {
			service.publish(testBody(2, "second"))
		}
	}
	cancel()
	running.Wait()
	client.CloseIdleConnections()
	server.Close()
	goleak.VerifyNone(t)
}

func startInstance(t testing.TB, ctx context.Context, running *sync.WaitGroup, client *http.Client, url string, i int,
	seeds []string, adopted chan<- spec.Version) (string, *member.Member) {
	t.Helper()
	network, err := peer.NewNetwork([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	listener, conn := listen(t)
	address := listener.Addr().String()
	ref := pond.InstanceRef{ID: pond.InstanceID(fmt.Sprintf("entry-%d", i)), Incarnation: pond.Incarnation(i + 1)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m, err := member.New(member.Options{
		Self:    pond.NewInstance(ref, pond.InstanceLive, "127.0.0.1:1", address, "norte-1", "norte"),
		Network: network,
		Conn:    conn,
		Seeds:   seeds,
		Logger:  logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	w, err := New(Options{Member: m, Network: network, ServiceURL: url, Client: client, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	w.OnChange(func(manifest *spec.Manifest) { adopted <- manifest.Version() })
	drpcServer := network.NewServer()
	if err := m.Register(drpcServer.Mux()); err != nil {
		t.Fatal(err)
	}
	if err := w.Register(drpcServer.Mux()); err != nil {
		t.Fatal(err)
	}
	running.Go(func() {
		var parts sync.WaitGroup
		parts.Go(func() { _ = drpcServer.Serve(ctx, listener) })
		parts.Go(func() { _ = m.Run(ctx) })
		parts.Go(func() { _ = w.Run(ctx) })
		parts.Wait()
		_ = network.Close()
	})
	return address, m
}

// listen opens a TCP and a UDP socket on the same port.
func listen(t testing.TB) (net.Listener, net.PacketConn) {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, conn
		}
		_ = listener.Close()
	}
}
