package watch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

var (
	errUnreachable = errors.New("unreachable")
	errPaused      = errors.New("paused")
)

// packetOverheadBytes is the size that encryption and the UDP and IP headers add to a datagram.
const packetOverheadBytes = 28 + 28

// manifestSource is implemented by Machine and by the naive implementation.
type manifestSource interface {
	Current() *spec.Manifest
	Confirmed(now time.Time) bool
	Version(now time.Time) *peerpb.ManifestVersion
	Tick(now time.Time) []Action
	HandleAnnouncement(now time.Time, from pond.Instance, v *peerpb.ManifestVersion) []Action
	ReadDone(now time.Time, result ReadResult) []Action
	QueryDone(now time.Time, query Query, v *peerpb.ManifestVersion, err error) []Action
	FetchDone(now time.Time, fetch Fetch, result FetchResult) []Action
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cluster simulates many instances in virtual time.
type cluster struct {
	now     time.Time
	seq     int
	queue   events
	random  *rand.Rand
	nodes   []*node
	byAddr  map[string]*node
	service *configService
	// disconnected reports whether datagrams and calls from one node to another are lost.
	disconnected func(from, to *node) bool
	// loss is the fraction of datagrams that are lost.
	loss float64
	// naive selects the naive implementation: poller instead of Machine, and no notices about backend servers.
	naive bool
	// onTick is called after each tick of a node, and before the first one after a pause.
	onTick func(*node)
	// onAdopt is called after each change of a node's manifest.
	onAdopt func(n *node, before *spec.Manifest)
}

type node struct {
	c                        *cluster
	id                       pond.InstanceID
	dataCentre, region, addr string
	up, paused               bool
	processEpoch             int
	backlog                  []func()
	machine                  *member.Machine
	source                   manifestSource
	backends                 *Backends
	view                     []pond.Instance
	viewVersion              uint64
	sent                     int
	fetched                  int
	adoptedAt                time.Time
	wokenAt                  time.Time
}

// newCluster creates n nodes: one third in region sul, the others in the two data centres of region norte.
func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		now:          time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		random:       rand.New(rand.NewPCG(seed, 1)),
		byAddr:       make(map[string]*node),
		disconnected: func(_, _ *node) bool { return false },
	}
	c.service = &configService{c: c, reads: make(map[int64]int)}
	locations := [][2]string{{"norte-1", "norte"}, {"norte-2", "norte"}, {"sul-1", "sul"}}
	for i := range n {
		node := &node{
			c:          c,
			id:         pond.InstanceID(fmt.Sprintf("entry-%03d", i)),
			addr:       fmt.Sprintf("127.1.%d.%d:7000", i/250, i%250+1),
			dataCentre: locations[i%3][0],
			region:     locations[i%3][1],
		}
		c.nodes = append(c.nodes, node)
		c.byAddr[node.addr] = node
	}
	return c
}

func (c *cluster) startAll() {
	for _, n := range c.nodes {
		n.start()
	}
}

func (c *cluster) schedule(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(delay), seq: c.seq, run: run})
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *cluster) latency(a, b *node) time.Duration {
	if a.region != b.region {
		return 30 * time.Millisecond
	}
	return 500 * time.Microsecond
}

// start starts or restarts the process of a node without any earlier state.
func (n *node) start() {
	c := n.c
	n.stop()
	n.up = true
	n.wokenAt = c.now
	random := rand.New(rand.NewPCG(c.random.Uint64(), 2))
	ref := pond.InstanceRef{ID: n.id, Incarnation: pond.Incarnation(c.random.Uint64())}
	self := pond.NewInstance(ref, pond.InstanceLive, n.addr, n.addr, n.dataCentre, n.region)
	n.machine = member.NewMachine(self, random, c.now)
	n.viewVersion = 0
	var seeds []string
	for _, other := range c.nodes {
		if other != n {
			seeds = append(seeds, other.addr)
		}
	}
	n.machine.SetSeeds(seeds)
	n.backends = NewBackends(n)
	if c.naive {
		n.backends = NewBackends(noNotices{})
		n.source = &poller{random: random}
	} else {
		n.source = NewMachine(n, random, c.now)
	}
	n.scheduleTick(time.Duration(c.random.Int64N(int64(TickInterval))))
}

func (n *node) stop() {
	n.up, n.paused = false, false
	n.processEpoch++
	n.backlog = nil
}

// pause suspends the process for d. Messages that arrive during the pause are handled after it, at random before or
// after the first tick.
func (n *node) pause(d time.Duration) {
	n.paused = true
	epoch := n.processEpoch
	tickFirst := n.c.random.IntN(2) == 0
	n.c.schedule(d, func() {
		if n.processEpoch != epoch {
			return
		}
		n.paused = false
		n.wokenAt = n.c.now
		backlog := n.backlog
		n.backlog = nil
		if n.c.onTick != nil {
			n.c.onTick(n)
		}
		if tickFirst {
			n.tick()
		}
		for _, f := range backlog {
			f()
		}
		n.scheduleTick(0)
	})
}

// runAfter runs f in the process of the node after a delay, unless the process has ended.
func (n *node) runAfter(delay time.Duration, f func()) {
	epoch := n.processEpoch
	n.c.schedule(delay, func() {
		switch {
		case n.processEpoch != epoch:
		case n.paused && len(n.backlog) < 200:
			n.backlog = append(n.backlog, f)
		case !n.paused:
			f()
		}
	})
}

func (n *node) scheduleTick(delay time.Duration) {
	epoch := n.processEpoch
	n.c.schedule(delay, func() {
		if n.processEpoch == epoch && !n.paused {
			n.tick()
			n.scheduleTick(TickInterval)
		}
	})
}

func (n *node) tick() {
	n.send(n.machine.Tick(n.c.now))
	if address, due := n.machine.SyncDue(n.c.now); due {
		n.sync(address)
	}
	n.step(func() []Action { return n.source.Tick(n.c.now) })
	if n.c.onTick != nil {
		n.c.onTick(n)
	}
}

// step runs one transition of the manifest source and performs its actions.
func (n *node) step(f func() []Action) {
	before := n.source.Current()
	actions := f()
	if current := n.source.Current(); current != before {
		n.adoptedAt = n.c.now
		n.backends.SetManifest(current)
		if n.c.onAdopt != nil {
			n.c.onAdopt(n, before)
		}
	}
	for _, action := range actions {
		n.perform(action)
	}
}

func (n *node) perform(action Action) {
	c := n.c
	switch a := action.(type) {
	case Announce:
		n.send(n.machine.AnnounceManifest(a.Version))
	case Read:
		c.service.read(n, a, func(r ReadResult) {
			n.step(func() []Action { return n.source.ReadDone(c.now, r) })
		})
	case Query:
		n.call(a.Address, queryTimeout, func(to *node) any { return to.source.Version(c.now) }, func(response any, err error) {
			v, _ := response.(*peerpb.ManifestVersion)
			n.step(func() []Action { return n.source.QueryDone(c.now, a, v, err) })
		})
	case Fetch:
		n.call(a.Address, fetchTimeout, func(to *node) any { return to.source.Current() }, func(response any, err error) {
			result := FetchResult{Err: err}
			if m, _ := response.(*spec.Manifest); m != nil {
				result.Manifest = m
				n.fetched++
			}
			n.step(func() []Action { return n.source.FetchDone(c.now, a, result) })
		})
	}
}

func (n *node) send(out []member.Outgoing) {
	for _, o := range out {
		n.sent += proto.Size(o.Datagram) + packetOverheadBytes
		to := n.c.byAddr[o.Address]
		if to == nil || !to.up || n.c.disconnected(n, to) || n.c.random.Float64() < n.c.loss {
			continue
		}
		d := o.Datagram
		to.runAfter(n.c.latency(n, to), func() {
			to.send(to.machine.Receive(to.c.now, n.addr, d))
			if d.GetManifest() != nil {
				from := pond.NewInstance(pond.InstanceRef{ID: n.id}, pond.InstanceLive, n.addr, n.addr, n.dataCentre, n.region)
				to.step(func() []Action { return to.source.HandleAnnouncement(to.c.now, from, d.GetManifest()) })
			}
		})
	}
}

// call performs a drpc call: done runs once, with the response or with an error.
func (n *node) call(address string, timeout time.Duration, serve func(*node) any, done func(any, error)) {
	to := n.c.byAddr[address]
	ended := false
	finish := func(response any, err error) {
		if !ended {
			ended = true
			done(response, err)
		}
	}
	n.runAfter(timeout, func() { finish(nil, errUnreachable) })
	if to == nil || n.c.disconnected(n, to) || n.c.disconnected(to, n) {
		return
	}
	latency := n.c.latency(n, to)
	if !to.up {
		n.runAfter(2*latency, func() { finish(nil, errUnreachable) })
		return
	}
	// A new connection takes two round trips before the request.
	to.runAfter(5*latency, func() {
		response := serve(to)
		if !n.c.disconnected(to, n) {
			n.runAfter(latency, func() { finish(response, nil) })
		}
	})
}

func (n *node) sync(address string) {
	req := n.machine.SyncRequest()
	n.sent += proto.Size(req)
	n.call(address, 5*time.Second, func(to *node) any {
		resp, out := to.machine.HandleSync(to.c.now, req)
		if resp == nil {
			return errPaused
		}
		to.sent += proto.Size(resp)
		to.send(out)
		return resp
	}, func(response any, err error) {
		resp, ok := response.(*peerpb.SyncMembersResponse)
		if err != nil || !ok {
			n.machine.SyncFailed(n.c.now)
			return
		}
		n.send(n.machine.ApplySyncResponse(n.c.now, address, resp))
	})
}

// Self, Instances, Seeds and Synced implement Membership.
func (n *node) Self() pond.Instance { return n.machine.Self() }
func (n *node) Seeds() []string     { return n.machine.Seeds() }
func (n *node) Synced() bool        { return n.machine.Synced() }
func (n *node) Instances() []pond.Instance {
	if n.viewVersion != n.machine.Changes() {
		n.viewVersion = n.machine.Changes()
		n.view = n.machine.Instances()
	}
	return n.view
}

// BackendState and AnnounceBackend implement Notices.
func (n *node) BackendState(backend string) member.BackendState {
	return n.machine.BackendState(backend)
}
func (n *node) AnnounceBackend(backend string, state member.BackendState) {
	n.send(n.machine.AnnounceBackend(backend, state))
}

// configService simulates the configuration service.
type configService struct {
	c *cluster
	// published is the latest manifest, visible the one that reads return, which is older while the service is stale.
	published, visible *spec.Manifest
	stale, down        bool
	revision           uint64
	pending            []func()
	// reads counts calls by second.
	reads map[int64]int
	// disconnected reports whether a node cannot reach the service.
	disconnected func(*node) bool
}

func (s *configService) publish(number uint64, text string) { s.publishBody(testBody(number, text)) }

func (s *configService) publishBody(body []byte) {
	s.revision++
	m, err := spec.Decode(body, s.revision)
	if err != nil {
		panic(err)
	}
	s.published = m
	if !s.stale {
		s.visible = m
	}
	s.completePending()
}

// setMode makes the service stale, down or neither.
func (s *configService) setMode(stale, down bool) {
	s.stale, s.down = stale, down
	if !stale {
		s.visible = s.published
	}
	s.completePending()
}

func (s *configService) completePending() {
	pending := s.pending
	s.pending = nil
	for _, f := range pending {
		f()
	}
}

func (s *configService) read(n *node, read Read, done func(ReadResult)) {
	if s.disconnected != nil && s.disconnected(n) {
		n.runAfter(platformTimeout, func() { done(ReadResult{Err: errUnreachable}) })
		return
	}
	s.reads[s.c.now.Unix()]++
	const latency = 2 * time.Millisecond
	ended := false
	var try func(last bool)
	try = func(last bool) {
		result, ready := s.respond(read.After)
		switch {
		case ended:
		case ready || last:
			ended = true
			n.runAfter(latency, func() { done(result) })
		default:
			s.pending = append(s.pending, func() { try(false) })
		}
	}
	s.c.schedule(latency, func() { try(read.Wait == 0) })
	s.c.schedule(latency+read.Wait, func() { try(true) })
}

func (s *configService) respond(after uint64) (result ReadResult, ready bool) {
	switch {
	case s.down:
		return ReadResult{Err: errUnreachable}, true
	case s.visible == nil:
		return ReadResult{}, false
	case s.visible.Version().Revision > after:
		return ReadResult{Manifest: s.visible, Revision: s.visible.Version().Revision}, true
	default:
		return ReadResult{Revision: s.visible.Version().Revision}, false
	}
}

// maxReads returns the greatest number of reads in any one second since the given time.
func (s *configService) maxReads(since time.Time) int {
	most := 0
	for second, n := range s.reads {
		if second >= since.Unix() {
			most = max(most, n)
		}
	}
	return most
}

// poller is the naive implementation: each instance only polls the service and adopts every manifest that it returns.
type poller struct {
	random  *rand.Rand
	current *spec.Manifest
	next    time.Time
	busy    bool
	after   uint64
}

func (s *poller) Current() *spec.Manifest                   { return s.current }
func (s *poller) Confirmed(time.Time) bool                  { return s.current != nil }
func (s *poller) Version(time.Time) *peerpb.ManifestVersion { return nil }

func (s *poller) Tick(now time.Time) []Action {
	if s.busy || now.Before(s.next) {
		return nil
	}
	s.busy = true
	return []Action{Read{After: s.after, Wait: longPollTimeout}}
}

func (s *poller) ReadDone(now time.Time, result ReadResult) []Action {
	s.busy = false
	s.next = now.Add(minRetryDelay)
	if result.Revision != 0 {
		s.after = result.Revision
	}
	if result.Manifest != nil {
		s.current = result.Manifest
	}
	return nil
}

func (s *poller) HandleAnnouncement(time.Time, pond.Instance, *peerpb.ManifestVersion) []Action {
	return nil
}
func (s *poller) QueryDone(time.Time, Query, *peerpb.ManifestVersion, error) []Action { return nil }
func (s *poller) FetchDone(time.Time, Fetch, FetchResult) []Action                    { return nil }

// noNotices discards notices, so that Backends becomes the naive implementation that uses only the list and the
// manifest.
type noNotices struct{}

func (noNotices) BackendState(string) member.BackendState     { return member.BackendUnknown }
func (noNotices) AnnounceBackend(string, member.BackendState) {}

// testBody returns a manifest body with testBackendCount backend servers. Bodies with different texts have different
// hashes.
func testBody(number uint64, text string) []byte { return sizedBody(number, text, testBackendCount) }

// sizedBody returns a manifest body with the given number of backend servers; 4,500 of them take about 1 MB.
func sizedBody(number uint64, text string, backends int) []byte {
	const format = `{"number": %d, "deployment": %q,
	"regions": [{"name": "norte", "dataCentres": ["norte-1", "norte-2"]}, {"name": "sul", "dataCentres": ["sul-1"]}],
	"link": {"bytesPerSecond": 3750000, "bytesPerHour": 1000000000},
	"weightStore": {"address": "127.0.0.1:7400", "dataCentre": "norte-1", "loadsPerMinute": 10},
	"models": [{"name": "letter", "versions": ["v1"], "contextTokens": 8192, "maxTokens": 4096}],
	"backendServers": [%s],
	"services": [],
	"clientAccounts": [],
	"policy": {}}`
	var servers []string
	for i := range backends {
		servers = append(servers, fmt.Sprintf(`{"name": "letter-%d", "address": "127.0.0.1:%d", "dataCentre": "norte-1",
	"kind": "engine", "memoryTokens": 100000, "maxRunning": 32,
	"placement": {"model": "letter", "version": "v1", "role": "serve"}}`, i, 8000+i))
	}
	return fmt.Appendf(nil, format, number, text, strings.Join(servers, ",\n"))
}

const testBackendCount = 3
