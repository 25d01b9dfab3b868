package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// site is a backend server of a test in a data centre: "north-a" is that of the instance, "south-a" is in another region, and the region of
// "nowhere" is not known.
type site struct {
	dataCentre string
	respond    http.HandlerFunc
}

// rules are the parts of a configuration that a test publishes. The nil slices stand for no restriction.
type rules struct {
	kind      route.Kind
	engine    bool
	resumable bool
	exempt    bool // from authentication
	route     []string
	account   []string
}

func (r rules) catalogue(version uint64) *route.Catalogue {
	service := route.Service{Name: "s"}
	if r.engine {
		service.Engine = &route.EngineSpec{EventTokens: 4}
	}
	return route.New(route.Content{
		Version: version,
		Routes: []route.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: r.kind, MaxAttempts: 3, Timeout: 5 * time.Second, Resumable: r.resumable,
			AuthExempt: r.exempt, Shares: []route.Share{{Service: "s", Weight: 1}}, Regions: pond.NewRegions(r.route),
		}},
		Services: []route.Service{service},
		Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority, Regions: pond.NewRegions(r.account)}},
	})
}

// regionBed is a test bed with backend servers in several regions.
type regionBed struct {
	*testBed
	sites    []*fakeBackend
	version  uint64
	hook     func() // called directly before the last check of each send
	logged   *logtest.Hook
	scripted *scriptedPlacer
}

func newRegionBed(t *testing.T, r rules, sites ...site) *regionBed {
	var backends []*fakeBackend
	for _, s := range sites {
		backends = append(backends, newFakeBackend(t, s.respond))
	}
	return newRegionBedOf(t, r, sites, backends)
}

// newRegionBedOf returns a bed with backend servers that run already.
func newRegionBedOf(t *testing.T, r rules, sites []site, backends []*fakeBackend) *regionBed {
	bed := &regionBed{version: 1, scripted: &scriptedPlacer{moves: make(chan pond.Move, 1), finished: make(chan pond.Move, 1)}}
	bed.sites = backends
	bed.testBed = newTestBed(t, r.kind, nil, bed.sites...)
	var records []feed.Record
	for i, s := range sites {
		id := fmt.Sprint("b", i)
		backend := bed.decoder.backends[id]
		backend.DataCentre = s.dataCentre
		bed.decoder.backends[id] = backend
		records = append(records, feed.Record{Key: id, Revision: uint64(50 + i)})
	}
	bed.fleet.Apply(records, feed.Knowledge{})
	bed.publish(r)
	options := bed.relay.options
	options.Protocol, options.Placer = hookedProtocol{bed: bed}, bed.scripted
	log, logged := logtest.NewNullLogger()
	options.Log, bed.logged = log, logged
	bed.relay = New(options)
	return bed
}

// publish puts another configuration into effect.
func (b *regionBed) publish(r rules) {
	b.version++
	b.decoder.catalogue = r.catalogue(b.version)
	b.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 100 + b.version}}, feed.Knowledge{})
}

func (b *regionBed) counts() []int {
	var counts []int
	for _, s := range b.sites {
		counts = append(counts, s.requestCount())
	}
	return counts
}

// ended returns the fields of the line about the end of the only request.
func (b *regionBed) ended(t *testing.T) logrus.Fields {
	t.Helper()
	for _, entry := range b.logged.AllEntries() {
		if entry.Data[logs.Event] == "requestEnded" {
			return entry.Data
		}
	}
	t.Fatal("no line about the end of the request")
	return nil
}

// hookedProtocol calls the bed's hook when a request to a backend server is built.
type hookedProtocol struct {
	fakeProtocol
	bed *regionBed
}

func (p hookedProtocol) Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error) {
	if p.bed.hook != nil {
		p.bed.hook()
	}
	return p.fakeProtocol.Request(ctx, in, call, d, body)
}

// scriptedPlacer places generations on engines in turn, whatever their regions, as a home with another configuration would. The last engine is
// repeated.
type scriptedPlacer struct {
	engines  []string
	moves    chan pond.Move
	finished chan pond.Move // the first move that has ended

	mu      sync.Mutex
	regions []string // of the requests
	ended   []pond.PlacementEnd
}

type scriptedPlacement struct {
	*scriptedPlacer
	engine string
}

func (p *scriptedPlacer) Place(_ context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regions = append(p.regions, req.Regions.String())
	engine := p.engines[min(len(p.regions), len(p.engines))-1]
	return scriptedPlacement{p, engine}, nil
}

func (p scriptedPlacement) Backend() (name, address string) { return p.engine, "" }
func (p scriptedPlacement) Progress(int, time.Time)         {}
func (p scriptedPlacement) Moves() <-chan pond.Move         { return p.moves }
func (p scriptedPlacement) Done(end pond.PlacementEnd, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, end)
}
func (p scriptedPlacement) FinishMove(move pond.Move, _ bool, _ time.Time) {
	select {
	case p.finished <- move:
	default:
	}
}

// TestCallsInAllowedRegions guards against calls, and retries of calls, that reach a replica in a region that their route or account does not
// allow, and against a call that is not served although an allowed replica could.
func TestCallsInAllowedRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	const once, idempotent = route.KindAtMostOnce, route.KindIdempotent
	tests := []struct {
		name       string
		rules      rules
		sites      []site
		wantStatus int
		want       []int // requests at each replica
	}{
		{"no restriction", rules{kind: once}, []site{{"south-a", respondOK}}, 200, []int{1}},
		{"route", rules{kind: once, route: north}, []site{{"south-a", respondOK}}, 503, []int{0}},
		{"account", rules{kind: once, account: north}, []site{{"south-a", respondOK}}, 503, []int{0}},
		{"other region only", rules{kind: once, route: south}, []site{{"north-a", respondOK}, {"south-a", respondOK}}, 200, []int{0, 1}},
		{"both, intersection", rules{kind: once, route: []string{"north", "south"}, account: south}, []site{{"north-a", respondOK}, {"south-a", respondOK}}, 200, []int{0, 1}},
		{"both, empty intersection", rules{kind: once, route: north, account: south}, []site{{"north-a", respondOK}, {"south-a", respondOK}}, 503, []int{0, 0}},
		{"unknown region of the replica", rules{kind: once, route: south}, []site{{"nowhere", respondOK}}, 503, []int{0}},
		{"region without data centres", rules{kind: once, route: []string{"east"}}, []site{{"north-a", respondOK}}, 503, []int{0}},
		{"more that are not allowed than attempts", rules{kind: once, route: south}, []site{
			{"north-a", respondOK}, {"north-a", respondOK}, {"north-a", respondOK}, {"north-a", respondOK}, {"north-a", respondOK}, {"south-a", respondOK},
		}, 200, []int{0, 0, 0, 0, 0, 1}},
		{"key on an exempt route", rules{kind: once, exempt: true, account: south}, []site{{"north-a", respondOK}, {"south-a", respondOK}}, 200, []int{0, 1}},
		{"retry, none left", rules{kind: idempotent, route: north}, []site{{"north-a", respondError}, {"south-a", respondOK}}, 500, []int{1, 0}},
		{"retry", rules{kind: idempotent, route: south}, []site{{"south-a", respondError}, {"north-a", respondOK}, {"south-a", respondOK}}, 200, []int{1, 0, 1}},
		{"not run, none left", rules{kind: once, route: south}, []site{{"south-a", respondNotRun}, {"north-a", respondOK}}, 503, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newRegionBed(t, test.rules, test.sites...)
			status, _ := bed.post(t, "key")
			got := bed.counts()
			if test.name == "retry" && got[0] == 0 {
				got[0] = 1 // Either of the equal replicas may be the first.
			}
			if status != test.wantStatus || !slices.Equal(got, test.want) {
				t.Errorf("status %d, requests %v, want %d, %v", status, got, test.wantStatus, test.want)
			}
		})
	}
}

// TestRefusedForRegions guards against a refusal that the caller cannot repeat, that waits, or whose line does not tell that the regions are the
// reason, also while replicas that are not allowed ask for a back-off.
func TestRefusedForRegions(t *testing.T) {
	tests := []struct {
		name        string
		rules       rules
		backsOff    bool
		wantRegions string
	}{
		{"route", rules{route: []string{"south"}}, false, "south"},
		{"both", rules{route: []string{"south"}, account: []string{"north"}}, false, "none"},
		{"replica backs off", rules{route: []string{"south"}}, true, "south"},
		{"generation", rules{kind: route.KindStream, engine: true, route: []string{"south"}}, false, "south"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newRegionBed(t, test.rules, site{"north-a", respondOK})
			bed.scripted.engines = []string{"b0"}
			if test.backsOff {
				bed.fleet.ApplySignal("b0", fleet.Signal{Backoff: time.Minute}, fleet.SourceRequest)
			}
			resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || bed.sites[0].requestCount() != 0 {
				t.Errorf("status %d, Retry-After %q, %d requests at the server", resp.StatusCode, resp.Header.Get("Retry-After"), bed.sites[0].requestCount())
			}
			end := bed.ended(t)
			if end[logs.Regions] != test.wantRegions || end[logs.Outcome] != "refused" || end[logs.Reason] != pond.ReasonNoBackend.String() {
				t.Errorf("line %v, want the regions %q", end, test.wantRegions)
			}
		})
	}
}

// TestRegionsChangeWhileWaiting guards against a request that reaches a region that the configuration forbade after its server was chosen, and
// against taking the server for faulty because of it.
func TestRegionsChangeWhileWaiting(t *testing.T) {
	tests := []struct {
		name  string
		rules rules
		after rules
		want  []int
	}{
		{"call", rules{kind: route.KindIdempotent}, rules{kind: route.KindIdempotent, route: []string{"south"}}, []int{0, 1}},
		{"call that runs at most once", rules{}, rules{account: []string{"south"}}, []int{0, 1}},
		{"generation", rules{kind: route.KindStream, engine: true}, rules{kind: route.KindStream, engine: true, route: []string{"south"}}, []int{0, 1}},
		{"call, back", rules{route: []string{"north"}}, rules{}, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			respond := respondOK
			if test.rules.engine {
				respond = continueStream
			}
			bed := newRegionBed(t, test.rules, site{"north-a", respond}, site{"south-a", respond})
			bed.scripted.engines = []string{"b0", "b1"}
			published := false
			bed.hook = func() {
				if !published {
					published = true
					bed.publish(test.after)
				}
			}
			status, _ := bed.post(t, "key")
			if got := bed.counts(); status != http.StatusOK || !slices.Equal(got, test.want) {
				t.Errorf("status %d, requests %v, want %v", status, got, test.want)
			}
			if bed.relay.replicas.isSuspect("b0", time.Now()) {
				t.Error("the replica that got nothing counts as faulty")
			}
			for _, end := range bed.scripted.ended {
				if end.BackendFailed {
					t.Error("the engine that got nothing counts as failed")
				}
			}
		})
	}
}

// TestRegionsOfRemovedRoute guards against a request that may run everywhere because its route was removed after it was found and before the first
// question for the regions of the request, as while its body is read.
func TestRegionsOfRemovedRoute(t *testing.T) {
	for _, r := range []rules{
		{route: []string{"south"}},
		{account: []string{"south"}},
		{kind: route.KindStream, engine: true, route: []string{"south"}},
	} {
		t.Run(fmt.Sprintf("%+v", r), func(t *testing.T) {
			bed := newRegionBed(t, r, site{"north-a", respondOK})
			bed.scripted.engines = []string{"b0"}
			options := bed.relay.options
			keyLease, removed := options.KeyLease, false
			options.KeyLease = func() time.Duration {
				if !removed { // The first question for it follows the search for the route.
					removed = true
					bed.version++
					bed.decoder.catalogue = route.New(route.Content{
						Version: bed.version, Services: r.catalogue(bed.version).Services(),
						Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
					})
					bed.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 100 + bed.version}}, feed.Knowledge{})
				}
				return keyLease()
			}
			bed.relay = New(options)
			status, _ := bed.post(t, "key")
			if !removed {
				t.Fatal("the route was not removed")
			}
			wantSent := r.route == nil // The account is still there and allows every region now.
			if sent := bed.sites[0].requestCount() > 0; sent != wantSent || (status == http.StatusOK) != wantSent {
				t.Errorf("status %d, sent: %v, want %v", status, sent, wantSent)
			}
		})
	}
}

// TestForbiddenDuringDial guards against a request that is sent to a backend server which a configuration or an evacuation has forbidden while the
// connection was made.
func TestForbiddenDuringDial(t *testing.T) {
	tests := []struct {
		name   string
		rules  rules
		forbid func(bed *regionBed)
	}{
		{"regions", rules{}, func(bed *regionBed) { bed.publish(rules{route: []string{"south"}}) }},
		{"evacuation", rules{}, func(bed *regionBed) { bed.evacuate("north-a") }},
		{"evacuation, generation", rules{kind: route.KindStream, engine: true}, func(bed *regionBed) { bed.evacuate("north-a") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			respond := respondOK
			if test.rules.engine {
				respond = continueStream
			}
			bed := newRegionBed(t, test.rules, site{"north-a", respond}, site{"south-a", respond})
			bed.scripted.engines = []string{"b0", "b1"}
			options := bed.relay.options
			dial := options.Dial
			options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if address == bed.sites[0].address() {
					test.forbid(bed)
				}
				return conn, err
			}
			bed.relay = New(options)
			status, _ := bed.post(t, "key")
			if got := bed.counts(); status != http.StatusOK || !slices.Equal(got, []int{0, 1}) {
				t.Errorf("status %d, requests %v, want only one in the south", status, got)
			}
			if bed.relay.replicas.isSuspect("b0", time.Now()) {
				t.Error("the replica that got nothing counts as faulty")
			}
			for _, end := range bed.scripted.ended {
				if end.BackendFailed {
					t.Error("the engine that got nothing counts as failed")
				}
			}
		})
	}
}

// TestPlacedInAllowedRegions guards against generations whose placement does not know their regions, and against one that is sent to an engine that
// a home chose outside of them.
func TestPlacedInAllowedRegions(t *testing.T) {
	r := rules{kind: route.KindStream, engine: true, route: []string{"north", "south"}, account: []string{"south", "east"}}
	bed := newRegionBed(t, r, site{"north-a", continueStream}, site{"nowhere", continueStream}, site{"south-a", continueStream})
	bed.scripted.engines = []string{"b0", "b1", "b2"}
	status, body := bed.post(t, "key")
	if got := bed.counts(); status != http.StatusOK || body != eventsFrom(1) || !slices.Equal(got, []int{0, 0, 1}) {
		t.Errorf("status %d, %d bytes, requests %v", status, len(body), got)
	}
	if want := []string{"south", "south", "south"}; !slices.Equal(bed.scripted.regions, want) {
		t.Errorf("placed with the regions %q, want %q", bed.scripted.regions, want)
	}
}

// TestRestartInAllowedRegions guards against a resumable stream that is run again in a region that is not allowed, or is not any more, and against one
// that is broken off where it runs because of a new configuration.
func TestRestartInAllowedRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	of := func(regions []string) rules {
		return rules{kind: route.KindStream, engine: true, resumable: true, route: regions}
	}
	tests := []struct {
		name   string
		before []string
		after  []string // from the third event on
		breaks bool
		want   []int // requests at north, south, north and south
	}{
		{"not restricted", nil, nil, true, []int{1, 1, 0, 0}},
		{"restarts in its region", north, north, true, []int{1, 0, 1, 0}},
		{"restarts in another region", north, south, true, []int{1, 1, 0, 0}},
		{"goes on where it runs", north, south, false, []int{1, 0, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var bed *regionBed
			first := func(w http.ResponseWriter, r *http.Request) {
				for id := 1; id <= 3; id++ {
					writeEvent(w, id)
				}
				bed.publish(of(test.after))
				if test.breaks {
					resetConnection(w, r)
					return
				}
				for id := 4; id <= streamEvents; id++ {
					writeEvent(w, id)
				}
			}
			bed = newRegionBed(t, of(test.before), site{"north-a", first}, site{"south-a", continueStream}, site{"north-a", continueStream}, site{"south-a", continueStream})
			bed.scripted.engines = []string{"b0", "b1", "b2", "b3"}
			status, body := bed.post(t, "key")
			if got := bed.counts(); status != http.StatusOK || body != eventsFrom(1) || !slices.Equal(got, test.want) {
				t.Errorf("status %d, %d bytes, requests %v, want %v", status, len(body), got, test.want)
			}
		})
	}
}

// TestMoveInAllowedRegions guards against a run that is copied to an engine in a region that is not allowed, or resumed at its copy or its source
// after a configuration has forbidden the region.
func TestMoveInAllowedRegions(t *testing.T) {
	const sent = 3
	of := func(regions ...string) rules { return rules{kind: route.KindStream, engine: true, route: regions} }
	tests := []struct {
		name       string
		before     rules
		after      *rules // from the last copy on
		copyErr    error  // of the last copy
		wantCopies int
		want       []int // requests at the source in the north and at the target in the south
	}{
		{"allowed", of("north", "south"), nil, nil, 2, []int{1, 1}},
		{"target not allowed", of("north"), nil, nil, 0, []int{1, 0}},
		{"target forbidden meanwhile", of(), new(of("north")), nil, 2, []int{2, 0}},
		{"resumed at the source", of(), nil, &CopyError{Handle: "rest"}, 2, []int{2, 0}},
		{"source forbidden meanwhile", of(), new(of("south")), &CopyError{Handle: "rest"}, 2, []int{1, 1}},
		{"both forbidden meanwhile", of(), new(of("east")), &CopyError{Handle: "rest"}, 2, []int{1, 0}},
		{"both forbidden meanwhile, copied", of(), new(of("east")), nil, 2, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var bed *regionBed
			stop, eventsSent := make(chan struct{}), make(chan struct{})
			source := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Handle") != "" {
					continueStream(w, r)
					return
				}
				for id := range sent {
					writeEvent(w, id+1)
				}
				close(eventsSent)
				<-stop
				resetConnection(w, r)
			}
			bed = newRegionBed(t, test.before, site{"north-a", source}, site{"south-a", continueStream})
			bed.scripted.engines = []string{"b0"}
			var copies atomic.Int32
			end := sync.OnceFunc(func() { close(stop) })
			bed.copier.err = test.copyErr
			bed.copier.onFirst = func() { copies.Add(1) }
			bed.copier.onLast = func() {
				copies.Add(1)
				if test.after != nil {
					bed.publish(*test.after)
				}
				end()
			}
			go func() {
				<-eventsSent
				bed.scripted.moves <- pond.Move{From: "b0", Backend: "b1"}
				if test.wantCopies == 0 {
					<-bed.scripted.finished
					end()
				}
			}()
			_, body := bed.post(t, "key")
			if got := bed.counts(); !slices.Equal(got, test.want) || int(copies.Load()) != test.wantCopies {
				t.Errorf("requests %v, %d copies, want %v, %d", got, copies.Load(), test.want, test.wantCopies)
			}
			if whole := body == eventsFrom(1); whole != (test.want[0]+test.want[1] == 2) {
				t.Errorf("body %q", body)
			}
		})
	}
}

// TestHelpersGetRegions guards against a request whose connection may be carried by an instance in a region that is not allowed, because the dialer is not told
// the regions.
func TestHelpersGetRegions(t *testing.T) {
	for _, r := range []rules{{route: []string{"south"}}, {kind: route.KindStream, engine: true, account: []string{"south"}}} {
		bed := newRegionBed(t, r, site{"south-a", respondOK})
		bed.scripted.engines = []string{"b0"}
		bed.sites[0].server.Close() // The instance has to ask helpers.
		var mu sync.Mutex
		var asked []string
		options := bed.relay.options
		dialer := reach.NewDialer(reach.Options{
			Servers: func() []string { return nil },
			Helpers: func(string) []reach.Helper {
				var helpers []reach.Helper
				for _, region := range []string{"north", "south", ""} {
					instance := pond.NewInstance(pond.InstanceRef{ID: pond.InstanceID("i-" + region)}, pond.InstanceLive, "", region, region+"-a", region)
					helpers = append(helpers, reach.NewHelper(instance, 0))
				}
				return helpers
			},
			Connect: func(address string) drpc.Conn {
				mu.Lock()
				defer mu.Unlock()
				asked = append(asked, address)
				return deadConn{}
			},
			Clock: time.Now, Log: quietLog(),
			Results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "results"}, []string{"result"}),
		})
		t.Cleanup(dialer.Close)
		options.Dial = dialer.DialContext
		bed.relay = New(options)
		if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
		mu.Lock()
		if len(asked) == 0 || slices.ContainsFunc(asked, func(region string) bool { return region != "south" }) {
			t.Errorf("helpers in %q were asked, want only those in the south", asked)
		}
		mu.Unlock()
	}
}

var errDead = errors.New("the instance is dead")

// deadConn is a connection to an instance that is dead.
type deadConn struct{}

func (deadConn) Close() error            { return nil }
func (deadConn) Closed() <-chan struct{} { return nil }
func (deadConn) Invoke(context.Context, string, drpc.Encoding, drpc.Message, drpc.Message) error {
	return errDead
}
func (deadConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errDead
}

// TestRegionsProperty guards against a send outside of the allowed regions in any order of configurations, failures, placements and moves. Each server
// compares a request with the configuration that was published last when the request was sent.
func TestRegionsProperty(t *testing.T) {
	dataCentres := []string{"north-a", "south-a", "nowhere", "north-a", "south-a"}
	regionOf := map[string]string{"north-a": "north", "south-a": "south"}
	sets := [][]string{nil, {"north"}, {"south"}, {"north", "south"}, {"east"}}
	naive := func(r rules, dataCentre string) bool {
		region := regionOf[dataCentre]
		return (r.route == nil || slices.Contains(r.route, region)) && (r.account == nil || slices.Contains(r.account, region))
	}
	plain := []http.HandlerFunc{respondOK, respondError, respondNotRun, resetConnection, respondTruncated, respondForeign}
	streams := []http.HandlerFunc{continueStream, breakAfter(1), breakAfter(0), respondNotRun, resetConnection, respondError}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]route.Kind{route.KindAtMostOnce, route.KindIdempotent, route.KindStream}).Draw(rt, "kind")
		handlers := plain
		if kind == route.KindStream {
			handlers = streams
		}
		draw := func(label string) rules {
			return rules{
				kind: kind, engine: kind == route.KindStream, resumable: true,
				route: rapid.SampledFrom(sets).Draw(rt, label+"Route"), account: rapid.SampledFrom(sets).Draw(rt, label+"Account"),
			}
		}
		var mu sync.Mutex // protects current
		current := draw("first")
		var next []rules
		for i := range rapid.IntRange(0, 6).Draw(rt, "changes") {
			next = append(next, draw(fmt.Sprint("change", i)))
		}
		var sites []site
		for i, dataCentre := range dataCentres {
			respond := rapid.SampledFrom(handlers).Draw(rt, fmt.Sprint("respond", i))
			sites = append(sites, site{dataCentre, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				if !naive(current, dataCentre) {
					rt.Errorf("a request for %v and %v reaches %s", current.route, current.account, dataCentre)
				}
				mu.Unlock()
				respond(w, r)
			}})
		}
		bed := newRegionBed(t, current, sites...)
		changeAt := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(rt, "changeAt")
		bed.hook = func() {
			mu.Lock()
			defer mu.Unlock()
			if len(next) > 0 && len(changeAt) > 0 && changeAt[0] {
				current, next = next[0], next[1:]
				bed.publish(current)
			}
			changeAt = changeAt[min(1, len(changeAt)):]
		}
		for range 8 {
			bed.scripted.engines = append(bed.scripted.engines, fmt.Sprint("b", rapid.IntRange(0, len(sites)-1).Draw(rt, "engine")))
		}
		bed.copier.onLast = func() {}
		if rapid.Bool().Draw(rt, "moves") {
			bed.scripted.moves <- pond.Move{From: bed.scripted.engines[0], Backend: bed.scripted.engines[7]}
		}
		for range 3 {
			_, _ = bed.post(t, "key")
		}
		bed.close()
	})
}

// close stops the servers of a bed before the end of the test.
func (b *regionBed) close() {
	b.front.Close()
	for _, s := range b.sites {
		s.server.Close()
	}
}
