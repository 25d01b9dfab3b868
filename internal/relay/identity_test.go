package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestIdentity guards against one identity of requests that are not the same, and against two of the same request that comes again.
func TestIdentity(t *testing.T) {
	type request struct{ method, host, target, account, key, body, id, deadline string }
	base := request{"POST", "h", "/p/x?q=1", "acme", "key-1", "body", "id-1", "900"}
	long := strings.Repeat("x", 2*replayLimit)
	tests := []struct {
		name   string
		change func(r *request)
		same   bool
	}{
		{"another attempt", func(r *request) { r.id, r.deadline = "id-2", "100" }, true},
		{"another key of the caller", func(r *request) { r.key = "key-2" }, true},
		{"another caller", func(r *request) { r.account = "other" }, false},
		{"another method", func(r *request) { r.method = "PUT" }, false},
		{"another host", func(r *request) { r.host = "i" }, false},
		{"another path", func(r *request) { r.target = "/p/y?q=1" }, false},
		{"another query", func(r *request) { r.target = "/p/x?q=2" }, false},
		{"another body", func(r *request) { r.body = "ybod" }, false},
		{"no body", func(r *request) { r.body = "" }, false},
		{"fields that run into each other", func(r *request) { r.host, r.target = "h/p", "/x?q=1" }, false},
		{"a long body", func(r *request) { r.body = long }, false},
	}
	promptOf := func(parts ...string) string {
		x := &exchange{in: httptest.NewRequest(http.MethodPost, "/", nil), call: &Call{Prompt: &Prompt{Tokens: 5, SharedParts: parts}}}
		return x.identity()
	}
	for _, parts := range [][]string{nil, {"a"}, {"a", "c"}, {"b", "a"}} {
		if promptOf(parts...) == promptOf("a", "b") {
			t.Errorf("prompts with the parts %v and [a b] have one identity", parts)
		}
	}
	identityOf := func(t *testing.T, r request) string {
		in := httptest.NewRequest(r.method, "http://h"+r.target, strings.NewReader(r.body))
		body, err := readBody(in, 0, func() {})
		if err != nil {
			t.Fatal(err)
		}
		x := &exchange{in: in, body: body, account: r.account, call: &Call{ID: r.id, Host: r.host, Key: r.key}}
		return x.identity()
	}
	want := identityOf(t, base)
	for _, test := range tests {
		changed := base
		test.change(&changed)
		if same := identityOf(t, changed) == want; same != test.same {
			t.Errorf("%s: the same identity %v, want %v", test.name, same, test.same)
		}
	}
	longer := base
	longer.body = long + "y"
	longest := base
	longest.body = long
	if identityOf(t, longer) == identityOf(t, longest) {
		t.Error("long bodies of two lengths have one identity")
	}
}

// TestRequestCrashesReplicas guards against a request that ends one replica after the other, as a repeat or when its caller comes again,
// against "not run" for one that ran, and against sound requests that are refused meanwhile. Each replica ends at its first such request.
func TestRequestCrashesReplicas(t *testing.T) {
	tests := []struct {
		name         string
		kind         route.Kind
		wantStatuses []int
	}{
		// The first arrival is repeated once: 502 for two crashes, 502 for the third.
		{"idempotent", route.KindIdempotent, []int{502, 502, 503, 503, 503}},
		{"at most once", route.KindAtMostOnce, []int{502, 502, 502, 503, 503}},
		{"stream", route.KindStream, []int{502, 502, 502, 503, 503}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var backends []*fakeBackend
			for range 6 {
				backends = append(backends, newFakeBackend(t, resetConnection))
			}
			var engine *route.EngineSpec
			if test.kind == route.KindStream {
				engine = &route.EngineSpec{EventTokens: 4}
			}
			bed := newTestBed(t, test.kind, engine, backends...)
			for arrival, want := range test.wantStatuses {
				bed.placer.next = arrival
				status, _ := bed.post(t, "key")
				if status != want {
					t.Errorf("arrival %d: status %d, want %d", arrival, status, want)
				}
				for deadline := time.Now().Add(time.Second); bed.relay.options.Requests.Crashes() < min(arrival+1, 3) && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
			}
			sent := 0
			for _, b := range backends {
				sent += b.requestCount()
			}
			if sent != 3 {
				t.Errorf("%d requests reached replicas, want 3", sent)
			}
		})
	}
}

// TestExperimentsBesideAnotherRequestEnd guards against experiments without end with a request that crashes replicas, while another request
// is at each of them.
func TestExperimentsBesideAnotherRequestEnd(t *testing.T) {
	const arrivals, admitted, experiments = 9, 3, 2
	var backends []*fakeBackend
	for range arrivals + 1 {
		backends = append(backends, newFakeBackend(t, resetConnection))
	}
	bed := newTestBed(t, route.KindIdempotent, nil, backends...)
	began := time.Now()
	var arrival atomic.Int64
	bed.relay.options.Requests = newTestGuardAt((*hazard.Table).CheckRequest, true, func() time.Time {
		return began.Add(time.Duration(arrival.Load()) * time.Minute / arrivals) // An experiment has 3 s.
	})
	for i := range backends {
		bed.relay.options.Requests.Settle(t.Context(), hazard.NewReport(fmt.Sprint("b", i), 0, "", true, []string{"another request"}))
	}
	for range arrivals {
		bed.placer.next = int(arrival.Load())
		bed.post(t, "key")
		arrival.Add(1)
	}
	sent := 0
	for _, b := range backends {
		sent += b.requestCount()
	}
	if sent != admitted+experiments {
		t.Errorf("%d requests reached replicas, want %d", sent, admitted+experiments)
	}
}

// TestSoundRequestBesideCrash guards against a request that is refused or not repeated after the accident of one replica, and against
// evidence that stays after an answer.
func TestSoundRequestBesideCrash(t *testing.T) {
	first, second := newFakeBackend(t, resetConnection), newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindIdempotent, nil, first, second)
	for range 6 {
		if status, _ := bed.post(t, "key"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if bed.relay.options.Requests.Crashes() != 1 {
		t.Fatalf("%d crashes are known, want 1", bed.relay.options.Requests.Crashes())
	}
}
