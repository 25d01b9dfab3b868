package fakes

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxServiceBody bounds the body of a call to a plain service.
const maxServiceBody = 1 << 20

// Service is the stand-in of a plain service. It counts each execution, so that a test can find calls that ran twice.
type Service struct {
	faultSet
	name string
	mux  *http.ServeMux

	lock       sync.Mutex
	executions map[string]int
}

// ServiceAnswer is the body of each answer.
type ServiceAnswer struct {
	Service string `json:"service"`
	// Key is the key under which the execution was counted.
	Key string `json:"key"`
	// Execution is how many times the key has run, this time included.
	Execution int `json:"execution"`
	// Received is the length of the request body in bytes.
	Received int `json:"received"`
}

// NewService returns a service; each of its replicas is a Service of its own.
func NewService(name string) *Service {
	s := &Service{name: name, mux: http.NewServeMux(), executions: make(map[string]int)}
	s.mux.HandleFunc("/", s.serveCall)
	s.mux.HandleFunc("GET /executions", s.serveExecutions)
	s.mux.HandleFunc("POST /faults", s.serveFaults)
	s.mux.HandleFunc("POST /reset", s.serveReset)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Executions returns how many times each key has run. The key is the Idempotency-Key header, or "METHOD PATH" for
// calls without one.
func (s *Service) Executions() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	switch {
	case s.has(FaultDie, now), s.has(FaultDown, now):
		abort()
	case s.has(FaultLeave, now):
		refuseLeaving(w)
		return
	case s.has(FaultRefuse, now):
		http.Error(w, "the service refuses calls", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delay(r)
	answer := s.execute(r, len(body))
	if s.has(FaultCloseAfter, time.Now()) {
		abort()
	}
	writeJSON(w, http.StatusOK, answer)
}

// delay waits as FaultDelay says. The call runs afterwards even if its connection is gone, as in a service that has
// already accepted it.
func (s *Service) delay(r *http.Request) {
	fault, ok := s.get(FaultDelay, time.Now())
	if !ok {
		return
	}
	timer := time.NewTimer(duration(fault.Delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Service) execute(r *http.Request, received int) ServiceAnswer {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.executions[key]++
	return ServiceAnswer{Service: s.name, Key: key, Execution: s.executions[key], Received: received}
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}

func (s *Service) serveReset(w http.ResponseWriter, _ *http.Request) {
	s.set(Fault{Kind: FaultNone}, time.Now())
	s.lock.Lock()
	defer s.lock.Unlock()
	clear(s.executions)
	w.WriteHeader(http.StatusNoContent)
}
