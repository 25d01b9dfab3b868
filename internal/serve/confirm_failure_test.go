package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// newConfirmer returns a checker that knows an engine service and a plain one, and has no helpers.
func newConfirmer(t *testing.T, engines *scriptedEngines) *engineChecker {
	t.Helper()
	instance := newCheckedInstance(engines, time.Now())
	t.Cleanup(instance.log.Close)
	instance.fleet = fleet.New(fleet.Options{
		Decoder: catalogueDecoder{}, Regions: map[string][]string{"north": {"north-a"}}, Clock: clock.Now, Log: instance.log,
	})
	instance.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 1}, {Key: "e1", Revision: 2}}, feed.Knowledge{})
	return newEngineChecker(instance)
}

// TestEndWithoutWayToServer guards against sound answers that are broken off because this instance cannot connect: it has no descriptors or ports left, no
// route, or its way hangs.
func TestEndWithoutWayToServer(t *testing.T) {
	tests := []struct {
		errno     syscall.Errno
		wantError bool
	}{
		{syscall.ECONNREFUSED, true},
		{syscall.EMFILE, false},
		{syscall.ENFILE, false},
		{syscall.ENOBUFS, false},
		{syscall.EADDRNOTAVAIL, false},
		{syscall.EADDRINUSE, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.ENETUNREACH, false},
		{syscall.EPERM, false},
		{syscall.ETIMEDOUT, false},
		{syscall.ECONNRESET, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.errno), func(t *testing.T) {
			cause := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", test.errno)}
			engines := &scriptedEngines{err: engine.NewError(pond.OutcomeNotSent, 0, false, errors.Wrap(cause, "dial"))}
			backend := route.Backend{ID: "e1", Service: "llm", Address: "e1", DataCentre: "north-a"}
			err := newConfirmer(t, engines).confirmEnd(t.Context(), backend)
			if (err != nil) != test.wantError || err != nil && !errors.Is(err, test.errno) {
				t.Errorf("error %v, want error %t", err, test.wantError)
			}
		})
	}
	t.Run("no local address", func(t *testing.T) {
		checker := newConfirmer(t, new(scriptedEngines))
		checker.instance.dialer = reach.NewDialer(reach.Options{
			SourceIP: "192.0.2.1", Helpers: func(string) []reach.Helper { return nil }, Clock: clock.Now, Results: metric.NewConnections(metric.New()),
			Log: checker.instance.log,
		})
		backend := route.Backend{ID: "e1", Service: "shop", Address: newSilentServer(t).address(), DataCentre: "north-a"}
		if err := checker.confirmEnd(t.Context(), backend); err != nil {
			t.Error(err)
		}
	})
	t.Run("way hangs", func(t *testing.T) {
		backend := route.Backend{ID: "e1", Service: "shop", Address: listenWithFullQueue(t), DataCentre: "north-a"}
		if err := newConfirmer(t, new(scriptedEngines)).confirmEnd(t.Context(), backend); err != nil {
			t.Error(err)
		}
	})
}

// TestEndWhileWayHangs guards against a sound answer that is broken off because the own way to its server hangs, and so does that of another instance, which
// takes the server for down.
func TestEndWhileWayHangs(t *testing.T) {
	checker := newConfirmer(t, new(scriptedEngines))
	_ = useHelper(t, checker.instance, "")
	checker.blames = checker.instance.dialer.Blames
	backend := route.Backend{ID: "e1", Service: "shop", Address: listenWithFullQueue(t), DataCentre: "north-a"}
	if err := checker.confirmEnd(t.Context(), backend); err != nil {
		t.Error(err)
	}
}

// listenWithFullQueue returns the address of a server that accepts nothing, and whose kernel answers no further connection.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue takes more connections than expected")
	return ""
}

// dialingEngines asks engines with a request, which no engine of the tests answers.
type dialingEngines struct {
	scriptedEngines
	transport *engine.Transport
}

func (e *dialingEngines) StartedAt(ctx context.Context, backend route.Backend) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backend.Address+"/", http.NoBody)
	if err != nil {
		return 0, err
	}
	resp, err := e.transport.Send(req)
	if err != nil {
		return 0, err
	}
	return 0, resp.Body.Close()
}

// TestEndThroughHelper guards against the end of a process that is not noticed by an instance that reaches it through another one only, and against sound
// answers that are broken off because the other one did not try to connect.
func TestEndThroughHelper(t *testing.T) {
	tests := []struct {
		name      string
		service   string
		runs      bool
		shutDown  bool // the helper
		wantError bool
	}{
		{"replica runs", "shop", true, false, false},
		{"replica refuses the helper", "shop", false, false, true},
		{"engine refuses the helper", "llm", false, false, true},
		{"replica runs, helper shuts down", "shop", true, true, false},
		{"engine runs, helper shuts down", "llm", true, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker, server := newConfirmer(t, new(scriptedEngines)), newSilentServer(t)
			shutDown := useHelper(t, checker.instance, noAddress)
			connectOnce(t, checker.instance, server.address())
			checker.instance.engines = &dialingEngines{transport: engine.NewUnpooledTransport(checker.instance.dialer.DialContext)}
			checker.blames = checker.instance.dialer.Blames
			if test.shutDown {
				shutDown()
				checker.blames = func(string) bool { return true }
			}
			if !test.runs {
				if err := server.Close(); err != nil {
					t.Fatal(err)
				}
			}
			backend := route.Backend{ID: "e1", Service: test.service, Address: server.address(), DataCentre: "north-a"}
			if err := checker.confirmEnd(t.Context(), backend); (err != nil) != test.wantError {
				t.Errorf("error %v, want error %t", err, test.wantError)
			}
		})
	}
}
