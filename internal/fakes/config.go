package fakes

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the configuration service.
const (
	maxManifestBytes  = 1 << 20
	maxManifestWait   = 30 * time.Second
	configReadsPerSec = 2000
	configReadsAtOnce = 2000
	revisionHeader    = "X-Revision"
	readRetryAfter    = "1" // seconds
)

type published struct {
	revision uint64
	body     []byte
	at       time.Time
}

// ConfigService is the stand-in of the configuration service: one value that is read, watched and, by the publisher,
// written.
type ConfigService struct {
	faultSet
	mux     *http.ServeMux
	limiter *rate.Limiter

	lock    sync.Mutex
	values  []published
	calls   uint64
	refused uint64
	// updated is closed and replaced at each publication and each fault.
	updated chan struct{}
}

// ConfigCalls is the answer of GET /calls.
type ConfigCalls struct {
	// Calls counts reads and watches, refused ones included.
	Calls uint64 `json:"calls"`
	// Refused counts the calls above the rate limit.
	Refused uint64 `json:"refused"`
}

// NewConfigService returns a service without a value.
func NewConfigService() *ConfigService {
	c := &ConfigService{
		mux:     http.NewServeMux(),
		limiter: rate.NewLimiter(configReadsPerSec, configReadsAtOnce),
		updated: make(chan struct{}),
	}
	c.changed = func(Fault) { c.announce() }
	c.mux.HandleFunc("GET /v1/manifest", c.serveRead)
	c.mux.HandleFunc("PUT /v1/manifest", c.servePublish)
	c.mux.HandleFunc("GET /calls", c.serveCalls)
	c.mux.HandleFunc("POST /faults", c.serveFaults)
	c.mux.HandleFunc("POST /reset", c.serveReset)
	return c
}

// ServeHTTP implements http.Handler.
func (c *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Publish stores a value and returns its revision.
func (c *ConfigService) Publish(body []byte) uint64 {
	c.lock.Lock()
	revision := uint64(len(c.values) + 1)
	c.values = append(c.values, published{revision: revision, body: body, at: time.Now()})
	c.lock.Unlock()
	c.announce()
	return revision
}

// Calls returns the calls counted since the start or the last reset.
func (c *ConfigService) Calls() ConfigCalls {
	c.lock.Lock()
	defer c.lock.Unlock()
	return ConfigCalls{Calls: c.calls, Refused: c.refused}
}

func (c *ConfigService) announce() {
	c.lock.Lock()
	defer c.lock.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// current returns the value that readers see under the active faults, and a channel closed at the next change.
func (c *ConfigService) current(now time.Time) (published, chan struct{}) {
	stale, isStale := c.get(FaultStale, now)
	older := c.has(FaultOlder, now)
	c.lock.Lock()
	defer c.lock.Unlock()
	last := len(c.values) - 1
	for isStale && last > 0 && c.values[last].at.After(stale.began) {
		last--
	}
	if older && last > 0 {
		last--
	}
	if last < 0 {
		return published{}, c.updated
	}
	return c.values[last], c.updated
}

func (c *ConfigService) count() bool {
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
	allowed := c.count()
	if c.has(FaultDown, time.Now()) {
		abort()
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

// await returns the value once its revision is above after. It reports false if the wait ends before.
func (c *ConfigService) await(r *http.Request, after uint64, wait time.Duration) (published, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, updated := c.current(time.Now())
		if value.revision > after {
			return value, true
		}
		if c.has(FaultDown, time.Now()) {
			abort()
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

// serveReset clears faults and counts. Published values stay, so that revisions never decrease.
func (c *ConfigService) serveReset(w http.ResponseWriter, _ *http.Request) {
	c.set(Fault{Kind: FaultNone}, time.Now())
	c.lock.Lock()
	defer c.lock.Unlock()
	c.calls, c.refused = 0, 0
	w.WriteHeader(http.StatusNoContent)
}
