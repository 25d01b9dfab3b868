package fakes

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// weightBytes is the size of the response body that represents the weights of a model.
const weightBytes = 4096

// WeightStore is the stand-in for the rate-limited weight store.
type WeightStore struct {
	faultSet
	mux     *http.ServeMux
	limiter *rate.Limiter
	loads   atomic.Int64
	refused atomic.Int64
}

// WeightLoads is the response to GET /loads.
type WeightLoads struct {
	Loads   int64 `json:"loads"`
	Refused int64 `json:"refused"`
}

// NewWeightStore returns a store that allows loadsPerMinute loads a minute, with a burst of the same number.
func NewWeightStore(loadsPerMinute int) *WeightStore {
	s := &WeightStore{
		mux:     http.NewServeMux(),
		limiter: rate.NewLimiter(rate.Limit(float64(loadsPerMinute)/time.Minute.Seconds()), loadsPerMinute),
	}
	s.mux.HandleFunc("GET /v1/weights/{name}", s.serveWeights)
	s.mux.HandleFunc("GET /loads", s.serveLoads)
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("POST /reset", s.serveReset)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Loads returns the number of served and of refused loads since the start or the last reset.
func (s *WeightStore) Loads() WeightLoads {
	return WeightLoads{Loads: s.loads.Load(), Refused: s.refused.Load()}
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, _ *http.Request) {
	if s.has(FaultDown, time.Now()) {
		abortConnection()
	}
	if !s.limiter.Allow() {
		s.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the rate of loads is above the limit", http.StatusTooManyRequests)
		return
	}
	s.loads.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, weightBytes))
}

func (s *WeightStore) serveLoads(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Loads())
}

func (s *WeightStore) serveReset(w http.ResponseWriter, _ *http.Request) {
	s.set(Fault{Kind: FaultNone}, time.Now())
	s.loads.Store(0)
	s.refused.Store(0)
	w.WriteHeader(http.StatusNoContent)
}
