package fakes

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a watch that misses a publication, answers early, or answers 304 without a revision.
func TestConfigWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewConfigService()
		if a := call(t.Context(), c, "GET", "/v1/manifest", ""); a.Code != http.StatusNotFound {
			t.Errorf("before the first publication: status %d", a.Code)
		}
		call(t.Context(), c, "PUT", "/v1/manifest", "one")
		a := call(t.Context(), c, "GET", "/v1/manifest?after=0&wait=30s", "")
		if a.Body.String() != "one" || a.Header().Get("X-Revision") != "1" {
			t.Errorf("read: body %q, revision %q", a.Body, a.Header().Get("X-Revision"))
		}
		begin := time.Now()
		watch := start(t.Context(), c, "GET", "/v1/manifest?after=1&wait=30s", "")
		time.Sleep(5 * time.Second)
		c.Publish([]byte("two"))
		a = <-watch
		if a.Body.String() != "two" || a.Header().Get("X-Revision") != "2" || time.Since(begin) != 5*time.Second {
			t.Errorf("watch: body %q after %v", a.Body, time.Since(begin))
		}
		begin = time.Now()
		a = call(t.Context(), c, "GET", "/v1/manifest?after=2&wait=10s", "")
		if a.Code != http.StatusNotModified || a.Header().Get("X-Revision") != "2" || time.Since(begin) != 10*time.Second {
			t.Errorf("watch without news: status %d after %v", a.Code, time.Since(begin))
		}
		if got := c.Calls().Calls; got != 4 {
			t.Errorf("calls: got %d, want 4", got)
		}
	})
}

// Guards against faults of the configuration service that readers don't see or that survive their end.
func TestConfigFaults(t *testing.T) {
	tests := []struct {
		fault   string
		aborted bool
		body    string
	}{
		{`{"kind":"down"}`, true, ""},
		{`{"kind":"stale"}`, false, "two"},
		{`{"kind":"older"}`, false, "two"},
		{`{"kind":"none"}`, false, "three"},
	}
	for _, test := range tests {
		t.Run(test.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewConfigService()
				c.Publish([]byte("one"))
				c.Publish([]byte("two"))
				time.Sleep(time.Second)
				inject(t, t.Context(), c, test.fault)
				time.Sleep(time.Second)
				c.Publish([]byte("three"))
				a := call(t.Context(), c, "GET", "/v1/manifest", "")
				if a.aborted != test.aborted || a.Body.String() != test.body {
					t.Errorf("aborted %v, body %q", a.aborted, a.Body)
				}
				inject(t, t.Context(), c, `{"kind":"none"}`)
				if a := call(t.Context(), c, "GET", "/v1/manifest", ""); a.Body.String() != "three" {
					t.Errorf("after the fault: body %q", a.Body)
				}
			})
		})
	}
}

// Guards against a configuration service without the platform's rate limit, which would hide a flood of reads.
func TestConfigLimitsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewConfigService()
		c.Publish([]byte("one"))
		for range configReadsAtOnce {
			call(t.Context(), c, "GET", "/v1/manifest", "")
		}
		if a := call(t.Context(), c, "GET", "/v1/manifest", ""); a.Code != http.StatusTooManyRequests {
			t.Errorf("read above the limit: status %d", a.Code)
		}
		if got := (ConfigCalls{Calls: configReadsAtOnce + 1, Refused: 1}); c.Calls() != got {
			t.Errorf("calls: got %+v, want %+v", c.Calls(), got)
		}
	})
}

// Guards against a list that shows changes at once or answers while it is down.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewInstanceList(time.Second)
		first := func() string {
			entries := decode[[]ListEntry](t, call(t.Context(), l, "GET", "/v1/instances", ""))
			if len(entries) == 0 {
				return ""
			}
			return entries[0].Name
		}
		want := func(name string) {
			t.Helper()
			if got := first(); got != name {
				t.Errorf("got %q, want %q", got, name)
			}
		}
		want("")
		call(t.Context(), l, "PUT", "/v1/instances", `[{"name":"a","kind":"instance"}]`)
		want("a")
		time.Sleep(time.Minute)
		l.Set([]ListEntry{{Name: "b"}})
		want("a")
		time.Sleep(time.Second)
		want("b")
		inject(t, t.Context(), l, `{"kind":"lag","delay":"30s"}`)
		want("a")
		inject(t, t.Context(), l, `{"kind":"down"}`)
		if a := call(t.Context(), l, "GET", "/v1/instances", ""); !a.aborted {
			t.Error("the list answered while it was down")
		}
	})
}

// Guards against executions that are not counted when the caller gets no answer, and against refused calls that are.
func TestServiceCountsExecutions(t *testing.T) {
	tests := []struct {
		fault    string
		executed int
		aborted  bool
		status   int
		took     time.Duration
	}{
		{`{"kind":"none"}`, 1, false, http.StatusOK, 0},
		{`{"kind":"refuse"}`, 0, false, http.StatusServiceUnavailable, 0},
		{`{"kind":"leave"}`, 0, false, http.StatusServiceUnavailable, 0},
		{`{"kind":"down"}`, 0, true, http.StatusOK, 0},
		{`{"kind":"delay","delay":"2s"}`, 1, false, http.StatusOK, 2 * time.Second},
		{`{"kind":"closeAfter"}`, 1, true, http.StatusOK, 0},
	}
	for _, test := range tests {
		t.Run(test.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewService("portal")
				inject(t, t.Context(), s, test.fault)
				begin := time.Now()
				a := call(t.Context(), s, "POST", "/charges/7", "{}")
				if a.aborted != test.aborted || a.Code != test.status || time.Since(begin) != test.took {
					t.Errorf("aborted %v, status %d after %v", a.aborted, a.Code, time.Since(begin))
				}
				counts := decode[map[string]int](t, call(t.Context(), s, "GET", "/executions", ""))
				if counts["POST /charges/7"] != test.executed {
					t.Errorf("executions: got %v, want %d", counts, test.executed)
				}
			})
		})
	}
}

// Guards against a call that is counted once though the service ran it twice under one key.
func TestServiceCountsByKey(t *testing.T) {
	s := NewService("portal")
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), "POST", "/charges/7", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", "prefix:7")
		s.ServeHTTP(discard{}, r)
	}
	if got := s.Executions()["prefix:7"]; got != 2 {
		t.Errorf("executions: got %d, want 2", got)
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// Guards against a weight store without its rate limit, which would hide a burst of loads.
func TestWeightStoreLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWeightStore(2)
		want := []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for i, status := range want {
			if a := call(t.Context(), s, "GET", "/v1/weights/m-1", ""); a.Code != status {
				t.Errorf("load %d: status %d, want %d", i, a.Code, status)
			}
		}
		time.Sleep(30 * time.Second)
		if a := call(t.Context(), s, "GET", "/v1/weights/m-1", ""); a.Code != http.StatusOK {
			t.Errorf("load after 30 s: status %d", a.Code)
		}
		if got := (WeightLoads{Loads: 3, Refused: 1}); s.Loads() != got {
			t.Errorf("loads: got %+v, want %+v", s.Loads(), got)
		}
	})
}
