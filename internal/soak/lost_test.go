package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The users' bounds for requests that an instance has read whole and whose connection ends without a complete answer.
const (
	// inForceSlack is added to configLimit for the time after its acknowledgement in which a configuration may come into force.
	inForceSlack = time.Second
	// cutFactor is how much more often requests may be cut beside a configuration than at other times.
	cutFactor = 3
	// usedShare is the share of its time that a request has used before it no longer counts beside a configuration.
	usedShare = 0.7
	// maxUnanswered is the number of requests in a run that may be sent on from a kept connection and get no answer.
	maxUnanswered = 3
)

// Pauses between two changes of a quick series, which takes seriesTime at the end of a soak's run.
const (
	minChangePause = 20 * time.Millisecond
	maxChangePause = 80 * time.Millisecond
	seriesTime     = 3 * time.Second
)

// exchange is a request as its caller saw it, with what the backend servers know of it.
type exchange struct {
	id       string
	address  string        // front address of the instance that received the request
	limit    time.Duration // the caller's or that of the route, whichever is shorter
	sentAt   time.Time
	endedAt  time.Time
	status   int  // 0 if no response arrived
	complete bool // the response
	kept     bool // the connection had carried a request before
	written  bool // the whole request
	sentOn   bool // a backend server got it
	// disturbed is true if an unplanned fault may have cut the request.
	disturbed bool
}

// cut reports whether the instance ended the connection without a complete answer though it had read the whole request and no fault excuses it.
func (e exchange) cut() bool {
	took := e.endedAt.Sub(e.sentAt)
	return !e.complete && !e.disturbed && took < e.limit && (e.sentOn || e.written && took > lossSlack)
}

// nearlyOver reports whether the request had used most of its time.
func (e exchange) nearlyOver() bool {
	return float64(e.endedAt.Sub(e.sentAt)) >= usedShare*float64(e.limit)
}

func (e exchange) String() string {
	return fmt.Sprintf("%s at %s, kept connection %v, ended after %v, status %d, sent on %v", e.id, e.address, e.kept,
		e.endedAt.Sub(e.sentAt).Round(time.Millisecond), e.status, e.sentOn)
}

// reload is a SIGHUP of an instance.
type reload struct {
	address string
	at      time.Time
}

// plannedWork is what was done to the instances of a run without a fault.
type plannedWork struct {
	configurations []publication
	reloads        []reload
}

// inForce reports whether a configuration might come into force at a time.
func (w plannedWork) inForce(at time.Time) bool {
	return slices.ContainsFunc(w.configurations, func(p publication) bool {
		return !at.Before(p.sentAt) && at.Before(p.at.Add(configLimit+inForceSlack))
	})
}

// cutShare counts the requests of an instance.
type cutShare struct{ cut, all int }

func (s cutShare) share() float64 { return float64(s.cut) / float64(max(s.all, 1)) }

// besideConfigurations returns what is wrong with the requests that ended while a configuration might come into force.
func (w plannedWork) besideConfigurations(exchanges []exchange) (found []string) {
	type counts struct {
		beside, other cutShare
		first         exchange
	}
	instances := make(map[string]*counts)
	var order []string
	for _, e := range exchanges {
		if e.disturbed {
			continue
		}
		c := instances[e.address]
		if c == nil {
			c = new(counts)
			instances[e.address], order = c, append(order, e.address)
		}
		beside, group := w.inForce(e.endedAt), &c.other
		if beside {
			group = &c.beside
		}
		group.all++
		if !e.cut() || e.nearlyOver() {
			continue
		}
		group.cut++
		if beside && c.first.id == "" {
			c.first = e
		}
	}
	for _, address := range order {
		if c := instances[address]; c.beside.share() > cutFactor*c.other.share() {
			found = append(found, fmt.Sprintf("%s cut %d of %d requests beside configurations and %d of %d at other times, first %v", address,
				c.beside.cut, c.beside.all, c.other.cut, c.other.all, c.first))
		}
	}
	return found
}

// besideReloads returns the requests that were cut after a SIGHUP of their instance.
func (w plannedWork) besideReloads(exchanges []exchange) (found []string) {
	for _, e := range exchanges {
		if !e.cut() {
			continue
		}
		var latest time.Time
		for _, r := range w.reloads {
			if r.address == e.address && !e.endedAt.Before(r.at) && !e.sentAt.After(r.at.Add(configLimit)) && r.at.After(latest) {
				latest = r.at
			}
		}
		if !latest.IsZero() {
			found = append(found, fmt.Sprintf("cut %v after a SIGHUP: %v", e.endedAt.Sub(latest).Round(time.Millisecond), e))
		}
	}
	return found
}

// unanswered returns the requests that were sent on from kept connections and got no answer, if there are too many.
func unanswered(exchanges []exchange) (found []string) {
	for _, e := range exchanges {
		if e.cut() && e.kept && e.sentOn && e.status == 0 {
			found = append(found, fmt.Sprintf("a kept connection was closed without an answer: %v", e))
		}
	}
	if len(found) <= maxUnanswered {
		return nil
	}
	return found
}

// lost returns what is wrong with the requests of a run.
func (w plannedWork) lost(exchanges []exchange) []string {
	return slices.Concat(w.besideConfigurations(exchanges), w.besideReloads(exchanges), unanswered(exchanges))
}

// checkLost fails the test if requests were lost, and logs what there was to lose.
func (c *cluster) checkLost(t *testing.T, exchanges []exchange) {
	t.Helper()
	c.mu.Lock()
	work := plannedWork{slices.Clone(c.published), slices.Clone(c.reloads)}
	c.mu.Unlock()
	undisturbed, kept, beside, incomplete, cut := 0, 0, 0, 0, 0
	for _, e := range exchanges {
		if !e.complete {
			incomplete++
		}
		if e.cut() {
			cut++
		}
		if e.disturbed {
			continue
		}
		undisturbed++
		if e.kept {
			kept++
		}
		if work.inForce(e.endedAt) {
			beside++
		}
	}
	t.Logf("%d requests, %d incomplete; without a fault %d, %d of them cut, %d on kept connections, %d beside configurations; %d configurations, %d SIGHUPs",
		len(exchanges), incomplete, undisturbed, cut, kept, beside, len(work.configurations), len(work.reloads))
	for _, text := range work.lost(exchanges) {
		t.Error(text)
	}
}

// faultBeside reports whether an unplanned fault may have cut a request at an instance: of the instance, of its ways to the store and the
// backend servers, and of a backend server that ran it, from contactLimit before the request to its end. A fault of the store itself
// excuses only streams.
func (c *cluster) faultBeside(address string, isStream bool, state *requestState, sentAt, endedAt time.Time) bool {
	since := sentAt.Add(-contactLimit)
	if state != nil && slices.ContainsFunc(state.ranOn, func(b *backend) bool { return b.proxy.harmedIn(since, endedAt) }) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	touches := func(d disturbance) bool { return d.touches(since, endedAt) }
	// The next process of an instance starts restartDelay after the end of the last.
	touchesInstance := func(d disturbance) bool { return d.touches(since.Add(-restartDelay), endedAt) }
	if slices.ContainsFunc(c.disturbances[address], touchesInstance) {
		return true
	}
	ip := strings.TrimSuffix(address, frontPort)
	for _, i := range c.instances {
		if i.ip == ip && slices.ContainsFunc(c.disturbances[i.storeWay()], touches) {
			return true
		}
	}
	for _, p := range c.partitions {
		if p.instances[ip] && p.touches(since, endedAt) {
			return true
		}
	}
	return isStream && slices.ContainsFunc(c.storeFaults, func(d *disturbance) bool { return d.touches(since, endedAt) })
}

// exchange returns the request with what the backend servers know of it. A run that a process of the former release lost because its target declined it
// doesn't count: this release asks the source. The lock of the recorder must be held.
func (o outcome) exchange(c *cluster, state *requestState) exchange {
	return exchange{
		id: o.id, address: o.address, limit: min(callerLimit, letterTimeout), sentAt: o.sentAt, endedAt: o.endedAt, status: o.status,
		complete: o.complete || o.answered, kept: o.kept, written: o.written, sentOn: state != nil,
		disturbed: state != nil && (state.rejectedAfterRun || state.declinedFormer != "" && state.declinedFormer == o.ip()) || c.faultBeside(o.address, o.kind == kindStream, state, o.sentAt, o.endedAt),
	}
}

// exchange returns the request with what the backend servers know of it. Those that end around a stop are checked by lost.
func (r stopRequest) exchange(told time.Time, state *requestState) exchange {
	return exchange{
		id: r.id, address: r.address, limit: min(r.limit, r.timeout), sentAt: r.sentAt, endedAt: r.endedAt, status: r.status,
		complete: r.complete, kept: r.kept, written: r.written, sentOn: state != nil, disturbed: !told.IsZero(),
	}
}

// reload has an instance read its settings again.
func (c *cluster) reload(i *instance) {
	c.mu.Lock()
	c.reloads = append(c.reloads, reload{i.ip + frontPort, time.Now()})
	c.mu.Unlock()
	i.signal(syscall.SIGHUP)
}

// reloadChanged has an instance read settings with other seeds and a grace period. The file is replaced at once, since the instance also looks
// for changes on its own.
func (c *cluster) reloadChanged(i *instance, grace time.Duration) {
	c.mu.Lock()
	i.settingsChanges++
	n := i.settingsChanges
	c.mu.Unlock()
	text := c.settings(i, grace, n%len(c.instances), (n+1)%len(c.instances))
	next := fmt.Sprintf("%s.%d", i.settingsPath, n)
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		c.recorder.reportViolation("write the settings of %s: %v", i.name, err)
		return
	}
	if err := os.Rename(next, i.settingsPath); err != nil {
		c.recorder.reportViolation("replace the settings of %s: %v", i.name, err)
		return
	}
	c.reload(i)
}

// changeOften publishes configurations and changes the settings of instances in quick series.
func (c *cluster) changeOften(random *rand.Rand, duration time.Duration) {
	const maxGrace = 12 // s
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if random.IntN(2) == 0 {
			c.publish()
		} else {
			c.reloadChanged(c.anyInstance(random), time.Duration(1+random.IntN(maxGrace))*time.Second)
		}
		time.Sleep(minChangePause + time.Duration(random.Int64N(int64(maxChangePause-minChangePause))))
	}
}

// TestCalmChanges guards against requests that are lost because configurations, limits for connections and settings change in quick series.
// There are no faults and no stops; replicas return errors at times.
func TestCalmChanges(t *testing.T) {
	t.Parallel()
	const (
		instances  = 3
		changeTime = 10 * time.Second
	)
	calm := oneDataCentre
	calm.work = threeDataCentres.work
	random := rand.New(rand.NewPCG(*stopSeedFlag, 3))
	c, end := startCallers(t, calm, instances, random)
	c.changeOften(random, changeTime)
	end(nil)
}

// TestLostRequests guards against checks of lost requests that pass what the users forbid, or fail what they excuse.
func TestLostRequests(t *testing.T) {
	t.Parallel()
	const (
		here  = "127.0.0.1" + frontPort
		there = "127.0.0.2" + frontPort
	)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	// The configuration may come into force from 10.0 to 14.1 s, and the SIGHUP comes at 30 s.
	work := plannedWork{
		configurations: []publication{{version: 1, sentAt: at(10 * time.Second), at: at(10*time.Second + 100*time.Millisecond)}},
		reloads:        []reload{{here, at(30 * time.Second)}},
	}
	// cutAt is a request that a backend server had got, cut after 300 of 5000 ms.
	cutAt := func(end time.Duration, changes ...func(*exchange)) exchange {
		e := exchange{
			id: "cut", address: here, limit: 5 * time.Second, sentAt: at(end - 300*time.Millisecond), endedAt: at(end), status: 200,
			written: true, sentOn: true,
		}
		for _, change := range changes {
			change(&e)
		}
		return e
	}
	servedAt := func(end time.Duration) exchange { return cutAt(end, func(e *exchange) { e.complete = true }) }
	took := func(d time.Duration) func(*exchange) { return func(e *exchange) { e.sentAt = e.endedAt.Add(-d) } }
	elsewhere := func(e *exchange) { e.address = there }
	disturbed := func(e *exchange) { e.disturbed = true }
	unwritten := func(e *exchange) { e.written = false }
	notSentOn := func(e *exchange) { e.sentOn = false }
	noAnswer := func(e *exchange) { e.status, e.kept = 0, true }
	onNew := func(e *exchange) { e.status, e.kept = 0, false }
	answered := func(e *exchange) { e.status, e.complete = 502, true }
	times := func(n int, e exchange) []exchange { return slices.Repeat([]exchange{e}, n) }
	const beside, other, hup, calm = 12 * time.Second, 5 * time.Second, 30500 * time.Millisecond, 50 * time.Second
	tests := []struct {
		name      string
		exchanges []exchange
		want      int // texts
	}{
		{"none", nil, 0},
		{"all served", slices.Concat(times(9, servedAt(beside)), times(9, servedAt(hup)), times(9, servedAt(calm))), 0},

		{"cut beside a configuration", []exchange{cutAt(beside)}, 1},
		{"cut when a configuration is sent", []exchange{cutAt(10 * time.Second)}, 1},
		{"cut before a configuration is sent", []exchange{cutAt(10*time.Second - time.Millisecond)}, 0},
		{"cut at the end of the time for a configuration", []exchange{cutAt(14*time.Second + 99*time.Millisecond)}, 1},
		{"cut after the time for a configuration", []exchange{cutAt(14*time.Second + 100*time.Millisecond)}, 0},
		{"cut at two instances", []exchange{cutAt(beside), cutAt(beside, elsewhere)}, 2},
		{"cut three times as often beside a configuration", slices.Concat(times(3, cutAt(beside)), times(7, servedAt(beside)),
			times(1, cutAt(other)), times(9, servedAt(other))), 0},
		{"cut four times as often beside a configuration", slices.Concat(times(4, cutAt(beside)), times(6, servedAt(beside)),
			times(1, cutAt(other)), times(9, servedAt(other))), 1},
		{"cut at other times at another instance", slices.Concat(times(1, cutAt(beside)), times(9, cutAt(other, elsewhere))), 1},
		{"cut at other times by faults", slices.Concat(times(1, cutAt(beside)), times(9, cutAt(other, disturbed))), 1},
		{"cut at other times at their end", slices.Concat(times(1, cutAt(beside)), times(9, cutAt(other, took(4*time.Second)))), 1},
		{"before seven tenths of its time", []exchange{cutAt(beside, took(3499*time.Millisecond))}, 1},
		{"after seven tenths of its time", []exchange{cutAt(beside, took(3500*time.Millisecond))}, 0},
		{"cut by a fault beside a configuration", []exchange{cutAt(beside, disturbed)}, 0},
		{"not written", []exchange{cutAt(beside, unwritten, notSentOn, took(time.Second))}, 0},
		{"sent on before the caller knew that it was written", []exchange{cutAt(beside, unwritten)}, 1},
		{"written, not sent on, cut at once", []exchange{cutAt(beside, notSentOn, took(lossSlack))}, 0},
		{"written, not sent on, cut late", []exchange{cutAt(beside, notSentOn, took(lossSlack+time.Millisecond))}, 1},
		{"sent on, cut at once", []exchange{cutAt(beside, took(time.Millisecond))}, 1},
		{"answered with an error", []exchange{cutAt(beside, answered), cutAt(hup, answered)}, 0},

		{"cut after a SIGHUP", []exchange{cutAt(hup)}, 1},
		{"cut after a SIGHUP of another instance", []exchange{cutAt(hup, elsewhere)}, 0},
		{"cut before a SIGHUP", []exchange{cutAt(30*time.Second - time.Millisecond)}, 0},
		{"sent 3 s after a SIGHUP", []exchange{cutAt(33300 * time.Millisecond)}, 1},
		{"sent later than 3 s after a SIGHUP", []exchange{cutAt(33301 * time.Millisecond)}, 0},
		{"sent long before a SIGHUP", []exchange{cutAt(hup, took(4900*time.Millisecond))}, 1},
		{"cut at its deadline after a SIGHUP", []exchange{cutAt(hup, took(5*time.Second))}, 0},
		{"cut by a fault after a SIGHUP", []exchange{cutAt(hup, disturbed)}, 0},

		{"three without an answer", times(3, cutAt(calm, noAnswer)), 0},
		{"four without an answer", times(4, cutAt(calm, noAnswer)), 4},
		{"four without an answer at two instances", slices.Concat(times(2, cutAt(calm, noAnswer)), times(2, cutAt(calm, noAnswer, elsewhere))), 4},
		{"four on new connections", times(4, cutAt(calm, onNew)), 0},
		{"four that cross the close of their connection", times(4, cutAt(calm, noAnswer, notSentOn)), 0},
		{"four cut by faults", times(4, cutAt(calm, noAnswer, disturbed)), 0},
		{"four at their deadline", times(4, cutAt(calm, noAnswer, took(5*time.Second))), 0},
		{"four whose answers break off", times(4, cutAt(calm, func(e *exchange) { e.kept = true })), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := work.lost(test.exchanges); len(got) != test.want {
				t.Errorf("got %d, want %d: %q", len(got), test.want, got)
			}
		})
	}
}

// TestFaultBeside guards against excuses for lost requests that the users do not grant, and against checks that fail because of a fault.
func TestFaultBeside(t *testing.T) {
	t.Parallel()
	const ip, address, way = "127.0.0.1", "127.0.0.1" + frontPort, "127.0.0.1:9"
	now := time.Now()
	ago := func(d time.Duration) disturbance { return disturbance{now.Add(-d - time.Second), now.Add(-d)} }
	near, far := ago(contactLimit-time.Second), ago(contactLimit+time.Second)
	lasting, later := disturbance{from: now.Add(-time.Minute)}, disturbance{from: now.Add(time.Minute)}
	ran := func(harms ...disturbance) *requestState {
		return &requestState{ranOn: []*backend{{proxy: &proxy{}}, {proxy: &proxy{harms: harms}}}}
	}
	tests := []struct {
		name     string
		cluster  *cluster
		state    *requestState
		isStream bool
		want     bool
	}{
		{"no fault", &cluster{}, ran(), true, false},
		{"instance", &cluster{disturbances: map[string][]disturbance{address: {near}}}, nil, false, true},
		{"instance, long before", &cluster{disturbances: map[string][]disturbance{address: {far}}}, nil, false, false},
		{"another instance", &cluster{disturbances: map[string][]disturbance{"127.0.0.2" + frontPort: {near}}}, nil, false, false},
		{"way to the store", &cluster{disturbances: map[string][]disturbance{way: {near}}}, nil, false, true},
		{"way to the store, long before", &cluster{disturbances: map[string][]disturbance{way: {far}}}, nil, false, false},
		{"cut off", &cluster{partitions: []*partition{{instances: map[string]bool{ip: true}, disturbance: lasting}}}, nil, false, true},
		{"cut off, long before", &cluster{partitions: []*partition{{instances: map[string]bool{ip: true}, disturbance: far}}}, nil, false, false},
		{"another one cut off", &cluster{partitions: []*partition{{instances: map[string]bool{}, disturbance: lasting}}}, nil, false, false},
		{"store, stream", &cluster{storeFaults: []*disturbance{&near}}, nil, true, true},
		{"store, plain request", &cluster{storeFaults: []*disturbance{&near}}, nil, false, false},
		{"backend server", &cluster{}, ran(near), false, true},
		{"backend server, still", &cluster{}, ran(far, lasting), false, true},
		{"backend server, long before", &cluster{}, ran(far), false, false},
		{"backend server, later", &cluster{}, ran(later), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.cluster.instances = []*instance{{ip: ip, storeProxy: &proxy{listener: stubListener(way)}}}
			if got := test.cluster.faultBeside(address, test.isStream, test.state, now.Add(-100*time.Millisecond), now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// stubListener is a listener of which only the address is used.
type stubListener string

func (s stubListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (s stubListener) Close() error              { return nil }
func (s stubListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(string(s)))
}

// TestStopRecordsHarmFirst guards against requests that a stopped backend server breaks off before its end is recorded, so that the checks blame
// the instance.
func TestStopRecordsHarmFirst(t *testing.T) {
	t.Parallel()
	b, err := newBackend("i-0001", newRecorder(), true)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	conn, err := net.Dial("tcp", b.proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /"); err != nil {
		t.Fatal(err)
	}
	ended := make(chan time.Time, 1)
	go func() {
		_, _ = conn.Read(make([]byte, 1)) // Any error is the end.
		ended <- time.Now()
	}()
	time.Sleep(50 * time.Millisecond)
	b.stop()
	if !b.proxy.harmedIn(begun, <-ended) {
		t.Error("the end of the connection comes before that of its backend server")
	}
}
