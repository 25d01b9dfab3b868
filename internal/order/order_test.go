package order

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 7, Checks: 300, Steps: 60}) }

type object = map[string]any

// engineConfig returns the manifest entry of one engine. One that checks the fencing token also has an adapter, so that
// orders need one or two loads.
func engineConfig(name, dataCentre, version string, checksFencing bool) object {
	adapters := []string{}
	if checksFencing {
		adapters = append(adapters, "a")
	}
	return object{
		"name": name, "address": engineAddress(name), "memoryTokens": 1000, "maxRunning": 8, "dataCentre": dataCentre,
		"kind": "engine", "checksFencing": checksFencing,
		"placement": object{"model": "m", "version": version, "adapters": adapters, "role": "serve"},
	}
}

// engineAddress derives an address from a hash of the name. The port alone collided with 600 engines.
func engineAddress(name string) string {
	hash := xxhash.Sum64String(name)
	return fmt.Sprintf("127.%d.%d.%d:%d", byte(hash), byte(hash>>8), byte(hash>>16), 1+hash>>24%60_000)
}

// manifestOf returns a manifest with regions a and b; the weight store is in region a. If the rate is zero, there is no
// weight store.
func manifestOf(t testing.TB, number uint64, rate int, engines ...object) *spec.Manifest {
	t.Helper()
	versions := []string{"1"}
	for _, engine := range engines {
		version := engine["placement"].(object)["version"].(string)
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	store := object{}
	if rate > 0 {
		store = object{"address": "127.0.0.1:65000", "dataCentre": "a1", "loadsPerMinute": rate}
	}
	body, err := json.Marshal(object{
		"models": []object{{
			"name": "m", "versions": versions, "adapters": []string{"a"}, "contextTokens": 1000, "maxTokens": 1000,
		}},
		"number":     number,
		"deployment": "test",
		"regions": []object{
			{"name": "a", "dataCentres": []string{"a1"}}, {"name": "b", "dataCentres": []string{"b1"}},
		},
		"link":           object{"bytesPerSecond": 1 << 40, "bytesPerHour": 1 << 50},
		"weightStore":    store,
		"backendServers": engines,
	})
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := spec.Decode(body, number)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

// TestDecide guards against orders that are missing, unnecessary or older than the manifest that the engine has seen.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	desired := State{Model: "m", Version: "2", Adapters: []string{"a", "b"}, Role: "serve"}
	same := State{Model: "m", Version: "2", Adapters: []string{"b", "a"}, Role: "serve"}
	oldVersion := State{Model: "m", Version: "1", Adapters: []string{"a", "b"}, Role: "serve"}
	oneAdapter := State{Model: "m", Version: "2", Adapters: []string{"a", "c"}, Role: "serve"}
	oldRole := State{Model: "m", Version: "2", Adapters: []string{"a", "b"}, Role: "prefill"}
	report := func(fence uint64, state State, phase string) Report {
		return Report{Order: Order{Fence: fence, State: state}, Phase: phase}
	}
	allLoads := []string{"m-2", "m-a", "m-b"}
	tests := []struct {
		name    string
		fencing bool
		report  Report
		record  engineRecord
		action  action
		loads   []string
	}{
		{name: "in desired state", fencing: true, report: report(5, same, "ready"), action: actionNone},
		{name: "old token, checked", fencing: true, report: report(4, same, "ready"), action: actionOrder},
		{name: "old token, ignored", report: report(4, same, "ready"), action: actionNone},
		{name: "newer token", report: report(6, oldVersion, "ready"), action: actionStale},
		{name: "version", report: report(4, oldVersion, "ready"), action: actionOrder, loads: allLoads},
		{name: "adapter", report: report(4, oneAdapter, "ready"), action: actionOrder, loads: []string{"m-b"}},
		{name: "role", report: report(4, oldRole, "ready"), action: actionOrder},
		{name: "empty", report: report(0, State{}, "ready"), action: actionOrder, loads: allLoads},
		{name: "leaving", report: report(4, oldVersion, "leaving"), action: actionNone},
		{name: "loads the desired state", report: report(5, same, "loading"), action: actionNone},
		{
			name: "reports the old state while loading", report: report(5, oldVersion, "loading"),
			record: engineRecord{loadingState: desired, loadDeadline: now.Add(time.Second)}, action: actionNone,
		},
		{
			name: "loads for too long", report: report(5, same, "loading"),
			record: engineRecord{loadingState: desired, loadDeadline: now}, action: actionOrder, loads: allLoads,
		},
		{
			name: "loads something else", report: report(4, oldVersion, "loading"), action: actionOrder, loads: allLoads,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := decide(desired, 5, test.fencing, test.report, &test.record, now)
			if got.action != test.action || !slices.Equal(got.loads, test.loads) {
				t.Errorf("decision %v, want action %d with loads %v", got, test.action, test.loads)
			}
		})
	}
}

// TestRegionShares guards against shares whose sum is not the rate of the weight store, and against a region that no
// region grants slots to.
func TestRegionShares(t *testing.T) {
	a, b := engineConfig("e1", "a1", "1", true), engineConfig("e2", "b1", "1", true)
	tests := []struct {
		name    string
		rate    int
		engines []object
		a, b    int
	}{
		{name: "even", rate: 20, engines: []object{a, b}, a: 10, b: 10},
		{name: "remainder to the store's region", rate: 5, engines: []object{b, a}, a: 3, b: 2},
		{name: "fewer than regions", rate: 1, engines: []object{a, b}, a: 1, b: 0},
		{name: "no engine in the store's region", rate: 5, engines: []object{b}, a: 0, b: 5},
		{name: "no engines", rate: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := newRegionShares(manifestOf(t, 1, test.rate, test.engines...))
			if got.perMinute["a"] != test.a || got.perMinute["b"] != test.b {
				t.Errorf("shares %v, want a %d and b %d", got.perMinute, test.a, test.b)
			}
			for _, region := range []string{"a", "b"} {
				if len(test.engines) > 0 && got.perMinute[got.grantingRegion(region)] == 0 {
					t.Errorf("no region with a share grants slots to region %s", region)
				}
			}
		})
	}
}

// TestShareChange guards against a region that uses its larger new share while others may still use their larger old
// ones.
func TestShareChange(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newPacer()
	p.observe(true, 2, start)
	for _, share := range []int{6, 4} {
		p.observe(true, share, start)
		if got := p.effectiveShare(start.Add(shareSettleTime - 1)); got != 2 {
			t.Errorf("share %d directly after the change to %d, want 2", got, share)
		}
	}
	if got := p.effectiveShare(start.Add(shareSettleTime)); got != 4 {
		t.Errorf("share %d after the settle time, want 4", got)
	}
}

// TestLinkLimits guards against loads that exceed the limits of the link between regions, and against applying the
// limits to loads in the weight store's region.
func TestLinkLimits(t *testing.T) {
	tests := []struct {
		name    string
		request slotRequest
		first   time.Duration
		next    time.Duration
	}{
		{name: "store's region", request: slotRequest{loads: 1, bytesPerSecond: 1000}, first: time.Minute, next: time.Second},
		{
			name:    "capacity",
			request: slotRequest{loads: 1, linkBytes: 50_000, bytesPerSecond: 1000},
			first:   100 * time.Second, next: 100 * time.Second,
		},
		{
			name:    "hourly limit",
			request: slotRequest{loads: 1, linkBytes: 1800, bytesPerSecond: 1000, bytesPerHour: 3600},
			first:   time.Minute, next: time.Hour,
		},
		{name: "no limits", request: slotRequest{loads: 1, linkBytes: 50_000}, first: time.Minute, next: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPacer()
			now := time.Unix(1000, 0)
			p.observe(true, 60, now)
			for _, wait := range []time.Duration{test.first, test.next, test.next} {
				for _, step := range []time.Duration{wait - time.Millisecond, time.Millisecond} {
					now = now.Add(step)
					p.observedAt = now
					_, granted := p.grant(test.request, now)
					if want := step == time.Millisecond; granted != want {
						t.Fatalf("granted %t, want %t", granted, want)
					}
				}
			}
		})
	}
}

// TestHTTPEngineClient guards against an order that is sent after its check failed, and against requests or replies
// that do not follow the engine protocol.
func TestHTTPEngineClient(t *testing.T) {
	var got []string
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = append(got, r.Method+" "+r.URL.Path+" "+string(body))
		w.WriteHeader(status)
		io.WriteString(w, `{"fence":3,"model":"m","version":"1","role":"serve","name":"e","state":"loading","orders":4}`)
	}))
	defer server.Close()
	config := engineConfig("e", "a1", "2", true)
	config["address"] = server.Listener.Addr().String()
	engine := manifestOf(t, 4, 1, config).Backends()[0]
	client := NewHTTPEngineClient(nil)
	desired, _ := Desired(engine)
	order := Order{Fence: 4, State: desired}

	report, err := client.ReadState(t.Context(), engine)
	want := State{Model: "m", Version: "1", Role: "serve"}
	if err != nil || report.Fence != 3 || report.Phase != phaseLoading || !report.Equal(want) {
		t.Errorf("report %+v, error %v", report, err)
	}
	failed := errors.New("check failed")
	if err := client.SendOrder(t.Context(), engine, order, func() error { return failed }); !errors.Is(err, failed) {
		t.Errorf("order after a failed check: error %v", err)
	}
	if err := client.SendOrder(t.Context(), engine, order, func() error { return nil }); err != nil {
		t.Errorf("order: error %v", err)
	}
	status = http.StatusConflict
	if err := client.SendOrder(t.Context(), engine, order, func() error { return nil }); !errors.Is(err, ErrFenced) {
		t.Errorf("fenced order: error %v", err)
	}
	body := `POST /v1/orders {"fence":4,"model":"m","version":"2","adapters":["a"],"role":"serve"}`
	if requests := []string{"GET /v1/state ", body, body}; !slices.Equal(got, requests) {
		t.Errorf("requests %q, want %q", got, requests)
	}
}

// hungEngineClient is a manifest source and an engine client whose engine e0 does not respond. It is safe for
// concurrent use.
type hungEngineClient struct {
	current atomic.Pointer[spec.Manifest]
	fence   atomic.Uint64
}

func (h *hungEngineClient) Current() *spec.Manifest  { return h.current.Load() }
func (h *hungEngineClient) Confirmed(time.Time) bool { return true }

func (h *hungEngineClient) ReadState(ctx context.Context, engine spec.Backend) (Report, error) {
	if engine.Name() == "e0" {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	return Report{Order: Order{Fence: h.fence.Load()}}, nil
}

func (h *hungEngineClient) SendOrder(_ context.Context, _ spec.Backend, order Order, check func() error) error {
	h.fence.Store(order.Fence)
	return check()
}

// TestRun guards against an unresponsive engine that delays a new manifest at other engines, and against a loop that
// does not end with its context.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 0)
		h := &hungEngineClient{}
		options := s.nodes[0].reconciler.options
		options.Source, options.Engines = h, h
		options.Clock = time.Now
		options.Ranking = RankingFunc(func(string, string) (pond.Instance, bool) { return s.nodes[0].instance, true })
		r := New(options)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		for number := range uint64(3) {
			manifest := manifestOf(t, number+1, 0, engineConfig("e0", "a1", "1", true), engineConfig("e1", "a1", "1", true))
			h.current.Store(manifest)
			time.Sleep(pollInterval)
			synctest.Wait()
			if got := h.fence.Load(); got != number+1 {
				t.Errorf("engine e1 has manifest %d one poll interval after its publication, want %d", got, number+1)
			}
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want context.Canceled", err)
		}
	})
}
