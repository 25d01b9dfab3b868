package fakes

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits and header values of the configuration service.
const (
	maxManifestBytes = 1 << 20
	maxManifestWait  = 30 * time.Second
	configReadRate   = 2000
	configReadBurst  = 2000
	revisionHeader   = "X-Revision"
	readRetryAfter   = "1" // seconds
)

type publishedValue struct {
	revision    uint64
	body        []byte
	publishedAt time.Time
}

// ConfigService is the stand-in for the configuration service. It stores one value, which clients read and watch and
// the publisher writes.
type ConfigService struct {
	faultSet
	mux     *http.ServeMux
	limiter *rate.Limiter

	lock    sync.Mutex
	values  []publishedValue
	calls   uint64
	refused uint64
	// updated is closed and replaced after each publication and each change of faults, to wake watchers.
	updated chan struct{}
}

// ConfigCalls is the response to GET /calls.
type ConfigCalls struct {
	// Calls is the number of reads and watches, including refused ones.
	Calls uint64 `json:"calls"`
	// Refused is the number of calls rejected by the rate limit.
	Refused uint64 `json:"refused"`
}

// NewConfigService returns a service that has no value yet.
func NewConfigService() *ConfigService {
	c := &ConfigService{
		mux:     http.NewServeMux(),
		limiter: rate.NewLimiter(configReadRate, configReadBurst),
		updated: make(chan struct{}),
	}
	c.onChange = func(Fault) { c.notifyWatchers() }
	c.mux.HandleFunc("GET /v1/manifest", c.serveRead)
	c.mux.HandleFunc("PUT /v1/manifest", c.servePublish)
	c.mux.HandleFunc("GET /calls", c.serveCalls)
	c.mux.HandleFunc("POST /faults", c.serveFaults)
	c.mux.HandleFunc("POST /reset", c.serveReset)
	return c
}

// ServeHTTP implements http.Handler.
func (c *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Publish stores a value, wakes watchers and returns the revision of the value.
func (c *ConfigService) Publish(body []byte) uint64 {
	c.lock.Lock()
	revision := uint64(len(c.values) + 1)
	c.values = append(c.values, publishedValue{revision: revision, body: body, publishedAt: time.Now()})
	c.lock.Unlock()
	c.notifyWatchers()
	return revision
}

// Calls returns the call counts since the start or the last reset.
func (c *ConfigService) Calls() ConfigCalls {
	c.lock.Lock()
	defer c.lock.Unlock()
	return ConfigCalls{Calls: c.calls, Refused: c.refused}
}

func (c *ConfigService) notifyWatchers() {
	c.lock.Lock()
	defer c.lock.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// current returns the value that readers see under the active faults, and a channel that is closed on the next change.
func (c *ConfigService) current(now time.Time) (publishedValue, chan struct{}) {
	stale, isStale := c.get(FaultStale, now)
	older := c.has(FaultOlder, now)
	c.lock.Lock()
	defer c.lock.Unlock()
	index := len(c.values) - 1
	for isStale && index > 0 && c.values[index].publishedAt.After(stale.startedAt) {
		index--
	}
	if older && index > 0 {
		index--
	}
	if index < 0 {
		return publishedValue{}, c.updated
	}
	return c.values[index], c.updated
}

// allowCall counts a call and reports whether the rate limit allows it.
func (c *ConfigService) allowCall() bool {
	allowed := c.limiter.Allow()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls++
	if !allowed {
		c.refused++
	}
	return allowed
}

func (c *ConfigService) serveRead(w http.ResponseWriter, r *http.Request) {
	allowed := c.allowCall()
	if c.has(FaultDown, time.Now()) {
		abortConnection()
	}
	if !allowed {
		w.Header().Set("Retry-After", readRetryAfter)
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	value, ok := c.await(r, after, min(wait, maxManifestWait))
	switch {
	case !ok && value.revision == 0:
		http.Error(w, "no value was published", http.StatusNotFound)
	case !ok:
		w.Header().Set(revisionHeader, strconv.FormatUint(value.revision, 10))
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(revisionHeader, strconv.FormatUint(value.revision, 10))
		_, _ = w.Write(value.body)
	}
}

// await returns the value as soon as its revision is above after. It returns the current value and false if wait
// elapses or the client disconnects first.
func (c *ConfigService) await(r *http.Request, after uint64, wait time.Duration) (publishedValue, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, updated := c.current(time.Now())
		if value.revision > after {
			return value, true
		}
		if c.has(FaultDown, time.Now()) {
			abortConnection()
		}
		select {
		case <-updated:
		case <-timer.C:
			return value, false
		case <-r.Context().Done():
			return value, false
		}
	}
}

func (c *ConfigService) servePublish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(c.Publish(body), 10))
	w.WriteHeader(http.StatusNoContent)
}

func (c *ConfigService) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Calls())
}

// serveReset clears faults and call counts. It keeps published values, so that revisions never decrease.
func (c *ConfigService) serveReset(w http.ResponseWriter, _ *http.Request) {
	c.set(Fault{Kind: FaultNone}, time.Now())
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls, c.refused = 0, 0
	w.WriteHeader(http.StatusNoContent)
}
