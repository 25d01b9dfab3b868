package fakes

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a watch that misses a publication, returns early, or responds 304 without a revision.
func TestConfigWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewConfigService()
		if resp := call(t.Context(), c, "GET", "/v1/manifest", ""); resp.Code != http.StatusNotFound {
			t.Errorf("before the first publication: status %d", resp.Code)
		}
		call(t.Context(), c, "PUT", "/v1/manifest", "one")
		resp := call(t.Context(), c, "GET", "/v1/manifest?after=0&wait=30s", "")
		if resp.Body.String() != "one" || resp.Header().Get("X-Revision") != "1" {
			t.Errorf("read: body %q, revision %q", resp.Body, resp.Header().Get("X-Revision"))
		}
		begin := time.Now()
		watch := startCall(t.Context(), c, "GET", "/v1/manifest?after=1&wait=30s", "")
		time.Sleep(5 * time.Second)
		c.Publish([]byte("two"))
		resp = <-watch
		if resp.Body.String() != "two" || resp.Header().Get("X-Revision") != "2" || time.Since(begin) != 5*time.Second {
			t.Errorf("watch: body %q after %v", resp.Body, time.Since(begin))
		}
		begin = time.Now()
		resp = call(t.Context(), c, "GET", "/v1/manifest?after=2&wait=10s", "")
		if resp.Code != http.StatusNotModified || resp.Header().Get("X-Revision") != "2" || time.Since(begin) != 10*time.Second {
			t.Errorf("watch without a new revision: status %d after %v", resp.Code, time.Since(begin))
		}
		if got := c.Calls().Calls; got != 4 {
			t.Errorf("calls: got %d, want 4", got)
		}
	})
}

// Guards against faults of the configuration service that do not affect readers or that outlast their end.
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
				injectFault(t, t.Context(), c, test.fault)
				time.Sleep(time.Second)
				c.Publish([]byte("three"))
				resp := call(t.Context(), c, "GET", "/v1/manifest", "")
				if resp.aborted != test.aborted || resp.Body.String() != test.body {
					t.Errorf("aborted %v, body %q", resp.aborted, resp.Body)
				}
				injectFault(t, t.Context(), c, `{"kind":"none"}`)
				if resp := call(t.Context(), c, "GET", "/v1/manifest", ""); resp.Body.String() != "three" {
					t.Errorf("after the fault: body %q", resp.Body)
				}
			})
		})
	}
}

// Guards against a configuration service without the rate limit of the platform, which would hide an excess of reads.
func TestConfigLimitsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewConfigService()
		c.Publish([]byte("one"))
		for range configReadBurst {
			call(t.Context(), c, "GET", "/v1/manifest", "")
		}
		if resp := call(t.Context(), c, "GET", "/v1/manifest", ""); resp.Code != http.StatusTooManyRequests {
			t.Errorf("read above the limit: status %d", resp.Code)
		}
		if want := (ConfigCalls{Calls: configReadBurst + 1, Refused: 1}); c.Calls() != want {
			t.Errorf("calls: got %+v, want %+v", c.Calls(), want)
		}
	})
}

// Guards against an instance list that shows changes without lag or responds while it is down.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewInstanceList(time.Second)
		firstName := func() string {
			entries := decodeBody[[]ListEntry](t, call(t.Context(), l, "GET", "/v1/instances", ""))
			if len(entries) == 0 {
				return ""
			}
			return entries[0].Name
		}
		wantFirst := func(name string) {
			t.Helper()
			if got := firstName(); got != name {
				t.Errorf("got %q, want %q", got, name)
			}
		}
		wantFirst("")
		call(t.Context(), l, "PUT", "/v1/instances", `[{"name":"a","kind":"instance"}]`)
		wantFirst("a")
		time.Sleep(time.Minute)
		l.Set([]ListEntry{{Name: "b"}})
		wantFirst("a")
		time.Sleep(time.Second)
		wantFirst("b")
		injectFault(t, t.Context(), l, `{"kind":"lag","delay":"30s"}`)
		wantFirst("a")
		injectFault(t, t.Context(), l, `{"kind":"down"}`)
		if resp := call(t.Context(), l, "GET", "/v1/instances", ""); !resp.aborted {
			t.Error("the instance list responded while it was down")
		}
	})
}

// Guards against executions that are not counted if the caller gets no response, and against counting refused calls.
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
				injectFault(t, t.Context(), s, test.fault)
				begin := time.Now()
				resp := call(t.Context(), s, "POST", "/charges/7", "{}")
				if resp.aborted != test.aborted || resp.Code != test.status || time.Since(begin) != test.took {
					t.Errorf("aborted %v, status %d after %v", resp.aborted, resp.Code, time.Since(begin))
				}
				counts := decodeBody[map[string]int](t, call(t.Context(), s, "GET", "/executions", ""))
				if counts["POST /charges/7"] != test.executed {
					t.Errorf("executions: got %v, want %d", counts, test.executed)
				}
			})
		})
	}
}

// Guards against counting only one execution if the service runs a call twice under one key.
func TestServiceCountsByKey(t *testing.T) {
	s := NewService("portal")
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), "POST", "/charges/7", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", "prefix:7")
		s.ServeHTTP(discardWriter{}, r)
	}
	if got := s.Executions()["prefix:7"]; got != 2 {
		t.Errorf("executions: got %d, want 2", got)
	}
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// Guards against a weight store without its rate limit, which would hide a burst of loads.
func TestWeightStoreLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWeightStore(2)
		want := []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}
		for i, status := range want {
			if resp := call(t.Context(), s, "GET", "/v1/weights/m-1", ""); resp.Code != status {
				t.Errorf("load %d: status %d, want %d", i, resp.Code, status)
			}
		}
		time.Sleep(30 * time.Second)
		if resp := call(t.Context(), s, "GET", "/v1/weights/m-1", ""); resp.Code != http.StatusOK {
			t.Errorf("load after 30 s: status %d", resp.Code)
		}
		if wantLoads := (WeightLoads{Loads: 3, Refused: 1}); s.Loads() != wantLoads {
			t.Errorf("loads: got %+v, want %+v", s.Loads(), wantLoads)
		}
	})
}
