package bound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// refusals counts refusals by reason.
type refusals struct {
	mu     sync.Mutex
	counts map[Reason]int
}

func (r *refusals) count(_ string, reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[Reason]int)
	}
	r.counts[reason]++
}

func (r *refusals) of(reason Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}

// guarded is a server whose callers are limited.
type guarded struct {
	group    *Group
	guard    *Guard
	refusals refusals
	server   *http.Server
	address  string
}

func newGuarded(t testing.TB, limits Limits, handler http.HandlerFunc) *guarded {
	g := new(guarded)
	log := logrus.New()
	log.SetOutput(io.Discard)
	g.guard = NewGuard(Options{Limits: limits, OnRefusal: g.refusals.count, Log: log})
	g.group = g.guard.Callers("callers")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.address = listener.Addr().String()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, MaxHeaderBytes: 256 << 10, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	g.group.Install(server)
	g.server = server
	go func() { _ = server.Serve(g.group.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func (g *guarded) dial(t testing.TB) *caller {
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Logf("write: %v", err) // Shows in the answer.
	}
}

// status returns the status of the next answer, 0 if the connection has ended.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatal("neither an answer nor the end of the connection")
		}
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// await waits until a condition holds.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

const plainHead = "GET / HTTP/1.1\r\nHost: a.example\r\n"

var calmLimits = Limits{HeadBytes: 4 << 20, Callers: 100, Others: 10}

// TestHeadsOfOneConnection guards against a head that is limited by what other requests of its connection have sent, and against one that
// is not limited because it was sent with others.
func TestHeadsOfOneConnection(t *testing.T) {
	wide := plainHead + strings.Repeat("a:\r\n", 4000) + "\r\n"
	tooWide := plainHead + strings.Repeat("a:\r\n", maxLines+1) + "\r\n"
	body := strings.Repeat("\n", 200_000)
	upload := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	tests := []struct {
		name       string
		sent       []string // each after the answers to those before it
		wantStatus []int
	}{
		{"requests one by one", []string{wide, wide, wide, wide, wide}, []int{200, 200, 200, 200, 200}},
		{"requests at once", []string{strings.Repeat(plainHead+"\r\n", 5)}, []int{200, 200, 200, 200, 200}},
		{"wide requests at once", []string{wide + wide + wide}, []int{200, 200, 200}},
		{"a body of lines", []string{upload, wide, upload}, []int{200, 200, 200}},
		{"a body of lines with the next head", []string{upload + wide}, []int{200, 200}},
		{"too many lines", []string{tooWide}, []int{431}},
		{"too many lines later", []string{wide, upload, tooWide}, []int{200, 200, 431}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGuarded(t, calmLimits, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			c := g.dial(t)
			want := test.wantStatus
			for _, text := range test.sent {
				c.send(text)
				for range (len(test.wantStatus) + len(test.sent) - 1) / len(test.sent) {
					if status := c.status(); status != want[0] {
						t.Fatalf("status %d, want %d", status, want[0])
					}
					want = want[1:]
				}
			}
			_ = c.Close()
			await(t, "nothing is held", func() bool { return g.group.Open() == 0 && g.guard.HeadBytes() == 0 })
		})
	}
}

// TestSumOfHeads guards against heads that together take more than their budget, while they are read or while their requests wait, and against
// an ordinary request that is refused meanwhile.
func TestSumOfHeads(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 1000)
	limits := Limits{HeadBytes: 2 << 20, Callers: 100, Others: 10}
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole=%t", whole), func(t *testing.T) {
			release := make(chan struct{})
			g := newGuarded(t, limits, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					<-release
				}
			})
			defer close(release)
			end := ""
			if whole {
				end = "\r\n"
			}
			const crowd = 40
			for range crowd {
				g.dial(t).send("GET /slow HTTP/1.1\r\nHost: a.example\r\n" + lines + end)
			}
			await(t, "heads are refused for want of room", func() bool { return g.refusals.of(ReasonMemory) >= crowd/2 })
			if held := g.guard.HeadBytes(); held > limits.HeadBytes {
				t.Errorf("%d bytes are held of %d", held, limits.HeadBytes)
			}
			c := g.dial(t)
			c.send(plainHead + "\r\n")
			if status := c.status(); status != http.StatusOK {
				t.Errorf("an ordinary request gets status %d", status)
			}
		})
	}
}

// TestRefusedForWantOfRoom guards against a refusal that does not say when to come again, and against one of a request that runs.
func TestRefusedForWantOfRoom(t *testing.T) {
	release := make(chan struct{})
	var served sync.WaitGroup
	served.Add(1)
	g := newGuarded(t, Limits{HeadBytes: 1 << 20, Callers: 100}, func(http.ResponseWriter, *http.Request) {
		served.Done()
		<-release
	})
	first, second := g.dial(t), g.dial(t)
	head := plainHead + strings.Repeat("a:\r\n", 3000) + "\r\n"
	first.send(head)
	served.Wait()
	second.send(head)
	resp, err := http.ReadResponse(second.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	close(release)
	if status := first.status(); status != http.StatusOK {
		t.Errorf("the request that ran gets status %d", status)
	}
}

// TestConnectionsBeyondLimit guards against a request in progress that is cut for a new connection, and against idle connections that keep out
// new ones.
func TestConnectionsBeyondLimit(t *testing.T) {
	const limit = 4
	release := make(chan struct{})
	g := newGuarded(t, Limits{HeadBytes: 1 << 20, Callers: limit}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	g.group.mu.Lock()
	g.group.table.maxOfSource = limit
	g.group.mu.Unlock()
	inProgress, slow, idle := g.dial(t), g.dial(t), g.dial(t)
	inProgress.send("GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n")
	slow.send("GET /half")
	idle.send(plainHead + "\r\n")
	if status := idle.status(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	inState := func(state connState) (count int) {
		g.group.mu.Lock()
		defer g.group.mu.Unlock()
		for e := range g.group.table.entries {
			if e.state == state && !e.evicted {
				count++
			}
		}
		return count
	}
	await(t, "the connections are in their states", func() bool {
		return inState(connServing) == 1 && inState(connReading) == 1 && inState(connWaiting) == 1
	})
	for i, gone := range []*caller{nil, idle, slow} {
		c := g.dial(t)
		c.send("GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n")
		if gone != nil {
			// net/http takes the beginning of a request line for all of it.
			if status := gone.status(); status != 0 && status != http.StatusBadRequest {
				t.Errorf("the connection is not closed for connection %d: status %d", i, status)
			}
			// Its caller sees the end before its descriptor is given back, and only a part of the limit may be closing: of four none.
			await(t, "the closed connection has left", func() bool { return g.group.Open() == limit })
		}
		await(t, "the request is in progress", func() bool { return inState(connServing) == i+2 })
	}
	refused := g.dial(t)
	if status := refused.status(); status != 0 {
		t.Errorf("a connection beyond the limit gets status %d", status)
	}
	if g.refusals.of(ReasonIdle) != 1 || g.refusals.of(ReasonSlow) != 1 || g.refusals.of(ReasonConnections) != 1 {
		t.Errorf("reasons: %v", g.refusals.counts)
	}
	close(release)
	if status := inProgress.status(); status != http.StatusOK {
		t.Errorf("the request in progress gets status %d", status)
	}
}

// TestTrailersAreDropped guards against trailers that stay in memory with their request, and against a body that ends with them.
func TestTrailersAreDropped(t *testing.T) {
	var body string
	var trailer http.Header
	g := newGuarded(t, calmLimits, func(_ http.ResponseWriter, r *http.Request) {
		read, _ := io.ReadAll(r.Body)
		body, trailer = string(read), r.Trailer
	})
	c := g.dial(t)
	c.send("POST / HTTP/1.1\r\nHost: a.example\r\nTrailer: A, B\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: 1\r\nC: 2\r\n\r\n")
	if status := c.status(); status != http.StatusOK || body != "abc" || len(trailer) > 0 {
		t.Errorf("status %d, body %q, trailer %v", status, body, trailer)
	}
}

// TestHTTP2Requests guards against an HTTP/2 connection whose requests are not counted or are limited by what came before them.
func TestHTTP2Requests(t *testing.T) {
	release := make(chan struct{})
	g := newGuarded(t, Limits{HeadBytes: 1 << 20, Callers: 100}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	status := func(path string, fields int) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+g.address+path, nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		for i := range fields {
			req.Header.Set(fmt.Sprintf("F%d", i), "")
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Error(err)
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for i := range 300 {
		if status := status("/", 400); status != http.StatusOK {
			t.Fatalf("request %d gets status %d", i, status)
		}
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { status("/slow", 400) })
	}
	await(t, "requests are refused for want of room", func() bool { return g.refusals.of(ReasonMemory) > 0 })
	close(release)
	group.Wait()
	if held := g.guard.HeadBytes(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}

// TestNewLimits guards against limits that ordinary callers meet, and against limits beyond what the process has.
func TestNewLimits(t *testing.T) {
	tests := []struct {
		name   string
		memory int64
		files  int
		want   Limits
	}{
		{"smallest machine", 112 << 20, 4100, Limits{HeadBytes: 14 << 20, Callers: 448, Peers: 256, Others: 128}},
		{"large machine", 536 << 20, 4100, Limits{HeadBytes: 67 << 20, Callers: 1794, Peers: 256, Others: 128}},
		{"usual descriptors", 112 << 20, 1024, Limits{HeadBytes: 14 << 20, Callers: 448, Peers: 64, Others: 32}},
		{"few descriptors", 56 << 20, 240, Limits{HeadBytes: 7 << 20, Callers: 88, Peers: 15, Others: 8}},
		{"nothing known of descriptors", 112 << 20, 0, Limits{HeadBytes: 14 << 20, Callers: 448, Peers: 64, Others: 32}},
		{"hardly any", 1 << 20, 16, Limits{HeadBytes: minHeadBytes, Callers: 1, Peers: 8, Others: 8}},
	}
	for _, test := range tests {
		if got := newLimits(test.memory, test.files); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestConnTable guards against more connections than the limits allow, a request in progress that is cut, and a victim that is not of the
// address with the most connections.
func TestConnTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		table := newConnTable(limit)
		now := time.Unix(0, 0)
		var open []*connEntry
		pick := func(t *rapid.T) *connEntry {
			if len(open) == 0 {
				t.Skip("none is open")
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				now = now.Add(time.Second)
				address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")
				before := make(map[*connSource]int)
				for _, source := range table.sources {
					before[source] = source.open
				}
				entry, victim := table.admit(address, now)
				if entry != nil {
					open = append(open, entry)
				}
				if victim == nil {
					return
				}
				if entry == nil || victim.state == connServing {
					t.Fatal("a connection is closed without need, or its request is in progress")
				}
				for _, other := range open {
					candidate := other != entry && !other.evicted && other.state != connServing
					if candidate && before[other.source] > before[victim.source] && victim.source.address != address {
						t.Fatalf("closed one of %d connections of an address, another has %d", before[victim.source], before[other.source])
					}
				}
			},
			"change": func(t *rapid.T) {
				if e := pick(t); !e.evicted {
					e.state, e.since = rapid.SampledFrom([]connState{connWaiting, connReading, connServing}).Draw(t, "state"), now
				}
			},
			"remove": func(t *rapid.T) {
				e := pick(t)
				table.remove(e)
				table.remove(e)
				for i := range open {
					if open[i] == e {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				active, bySource := 0, make(map[string]int)
				for _, e := range open {
					if !e.evicted {
						active++
						bySource[e.source.address]++
					}
				}
				if active > limit || len(table.entries) != len(open) || table.evicted != len(open)-active || table.evicted > limit/8+1 {
					t.Fatalf("%d open of %d, %d evicted", active, limit, table.evicted)
				}
				for address, source := range table.sources {
					if source.open != bySource[address] || source.open > table.maxOfSource {
						t.Fatalf("%d connections of %s, %d counted", bySource[address], address, source.open)
					}
				}
			},
		})
	})
}
