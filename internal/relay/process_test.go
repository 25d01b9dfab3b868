package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// roleVariable names the environment variable that makes the test binary play one of the processes below.
const roleVariable = "RELAY_TEST_ROLE"

const (
	roleEngine  = "engine"  // answers with an answer that has no length and stops after some events
	roleHandler = "handler" // the same with net/http, ends the answer by a panic of its handler
	roleHelper  = "helper"  // carries connections
)

// Orders to a process, each a line. Without one it waits.
const (
	orderExit  = "exit"  // with status 0
	orderPanic = "panic" // in a goroutine that serves a connection
	orderStop  = "stop"  // a helper that ends what it carries in order and exits
)

const (
	processEvents = 3 // which an engine process sends
	peerSecret    = "a secret of the test"
)

// process is a real process that plays an engine or an instance.
type process struct {
	cmd     *exec.Cmd
	orders  io.WriteCloser
	address string
}

// startProcess starts the test binary in a role. It is killed at the end of the test.
func startProcess(t *testing.T, role string, settings ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], "-test.run=^TestProcess$")}
	p.cmd.Env = append(append(os.Environ(), roleVariable+"="+role), settings...)
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if p.orders, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // It may have ended already.
		_ = p.cmd.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	p.address = strings.TrimSpace(line)
	return p
}

func (p *process) order(t *testing.T, order string) {
	t.Helper()
	if _, err := io.WriteString(p.orders, order+"\n"); err != nil {
		t.Error(err)
	}
}

// freeze stops the process until it gets SIGCONT. It returns once the process has stopped: the signal takes its time to reach all threads.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	for {
		switch _, err := syscall.Wait4(p.cmd.Process.Pid, &status, syscall.WUNTRACED, nil); {
		case err == syscall.EINTR:
		case err != nil || !status.Stopped():
			t.Fatalf("the process has not stopped: status %v, error %v", status, err)
		default:
			return
		}
	}
}

// TestProcess is no test: it is the main function of the processes that other tests start.
func TestProcess(*testing.T) {
	role := os.Getenv(roleVariable)
	if role == "" {
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	orders := make(chan string)
	go func() {
		for input := bufio.NewScanner(os.Stdin); input.Scan(); {
			if input.Text() == orderExit {
				os.Exit(0)
			}
			orders <- input.Text()
		}
		os.Exit(0) // The test has ended.
	}()
	fmt.Println(listener.Addr())
	switch role {
	case roleHelper:
		serveHelper(listener, orders)
	case roleHandler:
		panic(http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Call", r.Header.Get("Call"))
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Transfer-Encoding", "identity")
			for id := range processEvents {
				writeEvent(w, id+1)
			}
			<-orders
			panic(http.ErrAbortHandler)
		})))
	default:
		for {
			conn, err := listener.Accept()
			if err != nil {
				panic(err)
			}
			go func() {
				serveUnframed(conn)
				<-orders
				runtime.KeepAlive(conn) // The collector closes connections that nothing refers to.
				panic("ordered")
			}()
		}
	}
}

// serveUnframed answers with some events, none if the setting says so, and leaves the body unread if it says so.
func serveUnframed(conn net.Conn) {
	header := readHead(conn)
	if os.Getenv("READ") != "" {
		length, _ := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
		_, _ = io.CopyN(io.Discard, conn, length)
	}
	events, _ := strconv.Atoi(os.Getenv("EVENTS"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", header.Get("Call"), eventsUntil(events))
}

// readHead reads the head of a request and not a byte more.
func readHead(conn net.Conn) http.Header {
	var head strings.Builder
	for one := make([]byte, 1); !strings.HasSuffix(head.String(), "\r\n\r\n"); {
		if _, err := conn.Read(one); err != nil {
			return nil
		}
		head.Write(one)
	}
	_, fields, _ := strings.Cut(head.String(), "\r\n")
	header, _ := textproto.NewReader(bufio.NewReader(strings.NewReader(fields))).ReadMIMEHeader()
	return http.Header(header)
}

// newReach returns a dialer that uses the given helpers, and the network to them.
func newReach(network *peer.Network, helpers ...reach.Helper) *reach.Dialer {
	return reach.NewDialer(reach.Options{
		Servers: func() []string { return nil }, Helpers: func(string) []reach.Helper { return helpers },
		Connect:       func(address string) drpc.Conn { return network.Conn(address) },
		RecordLeaving: func(string, string) bool { return false }, Clock: time.Now,
		Results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "results"}, []string{"result"}), Log: quietLog(),
	})
}

// serveHelper carries connections until it is ordered to stop.
func serveHelper(listener net.Listener, orders <-chan string) {
	network, err := peer.NewNetwork([]byte(peerSecret))
	if err != nil {
		panic(err)
	}
	no := func(string) bool { return false }
	noID := func(string) (string, bool) { return "", false }
	carrier := reach.NewServer(newReach(network), reach.ServerOptions{
		Known: func(string) bool { return true }, Leaving: no, EndsAt: func() time.Time { return time.Time{} }, Leaves: noID, Evacuated: noID,
		BackingOff: no, ApplySignal: func(string, fleet.Signal) {},
	})
	server := network.NewServer()
	if err := peerpb.DRPCRegisterTunnels(server.Mux(), carrier); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-orders
		cancel()
	}()
	_ = server.Serve(ctx, listener)
	os.Exit(0)
}

// dialThrough lets all connections of the test bed's relay lead through the helper at an address.
func (b *testBed) dialThrough(t *testing.T, address string) {
	t.Helper()
	network, err := peer.NewNetwork([]byte(peerSecret))
	if err != nil {
		t.Fatal(err)
	}
	instance := pond.NewInstance(pond.InstanceRef{ID: "helper"}, pond.InstanceLive, "", address, "north-a", "north").WithCapacity(100)
	dialer := newReach(network, reach.NewHelper(instance, 1))
	t.Cleanup(func() {
		dialer.Close()
		_ = network.Close()
	})
	b.relay.transport = engine.NewUnpooledTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(reach.PreferHelper(ctx), network, address)
	})
}

// addServers adds backend servers b0, b1 and so on by their addresses to the test bed, which has none.
func (b *testBed) addServers(addresses ...string) {
	var records []feed.Record
	for i, address := range addresses {
		id := fmt.Sprint("b", i)
		b.decoder.backends[id] = route.Backend{ID: id, Service: "s", Address: address, DataCentre: "north-a", Slots: 4}
		records = append(records, feed.Record{Key: id, Revision: uint64(50 + i)})
	}
	b.fleet.Apply(records, feed.Knowledge{})
}
