package fakes

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxServiceBody is the maximum size in bytes of the body of a call to a plain service.
const maxServiceBody = 1 << 20

// Service is the stand-in for one replica of a plain service. It counts executions, so that a test detects calls that
// ran twice.
type Service struct {
	faultSet
	name string
	mux  *http.ServeMux

	lock       sync.Mutex
	executions map[string]int
}

// ServiceResponse is the body of the response to a call.
type ServiceResponse struct {
	Service string `json:"service"`
	// Key is the key under which the execution was counted.
	Key string `json:"key"`
	// Execution is the number of executions under the key, including this one.
	Execution int `json:"execution"`
	// Received is the length of the request body in bytes.
	Received int `json:"received"`
}

// NewService returns a replica of the service with the given name.
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

// Executions returns the number of executions by key. The key is the Idempotency-Key header, or "METHOD PATH" for calls
// without one.
func (s *Service) Executions() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	switch {
	case s.has(FaultDie, now), s.has(FaultDown, now):
		abortConnection()
	case s.has(FaultLeave, now):
		respondLeaving(w)
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
	s.applyDelay(r)
	response := s.execute(r, len(body))
	if s.has(FaultCloseAfter, time.Now()) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, response)
}

// applyDelay waits for the delay of FaultDelay. The call runs afterwards even if its connection is closed, as in a
// service that has already accepted it.
func (s *Service) applyDelay(r *http.Request) {
	fault, ok := s.get(FaultDelay, time.Now())
	if !ok {
		return
	}
	timer := time.NewTimer(parseDuration(fault.Delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Service) execute(r *http.Request, received int) ServiceResponse {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.executions[key]++
	return ServiceResponse{Service: s.name, Key: key, Execution: s.executions[key], Received: received}
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
