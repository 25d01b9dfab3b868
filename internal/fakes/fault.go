package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=FaultKind -trimprefix=Fault -transform=title-lower -text -output=faultkind_enumer.go

// FaultKind identifies a fault that can be injected into a stand-in.
type FaultKind int

// Kinds of faults. A stand-in ignores the kinds that it does not support.
const (
	// FaultNone clears every fault.
	FaultNone FaultKind = iota
	// FaultDie closes the listener and every connection without a response. It cannot be cleared.
	FaultDie
	// FaultFreeze stops all work and keeps connections open.
	FaultFreeze
	// FaultSlow multiplies the duration of each step by Factor.
	FaultSlow
	// FaultDrop closes all open streams once. If Share is set, it closes each stream with probability Share at each
	// event instead.
	FaultDrop
	// FaultDuplicate sends each event twice with probability Share, or always if Share is zero.
	FaultDuplicate
	// FaultLeave refuses new work with 503 and X-Leaving: true.
	FaultLeave
	// FaultRefuse responds 503 without running the call.
	FaultRefuse
	// FaultDelay waits for Delay before a call runs.
	FaultDelay
	// FaultCloseAfter runs the call and closes the connection without a response.
	FaultCloseAfter
	// FaultDown closes connections without a response.
	FaultDown
	// FaultStale hides values that are published after the fault started.
	FaultStale
	// FaultOlder serves the value before the newest one.
	FaultOlder
	// FaultLag replaces the lag of the instance list with Delay.
	FaultLag
	// FaultCut resets the connections of the clients with the IP address Source on a link, and each new one.
	FaultCut
)

// Fault is the body of POST /faults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Duration is how long the fault lasts, such as "5s". If empty, the fault lasts until it is cleared.
	Duration string `json:"duration,omitempty"`
	// Factor multiplies step times for FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// Share is the probability of the fault at each event, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// Delay is a duration such as "200ms" for FaultDelay and FaultLag.
	Delay string `json:"delay,omitempty"`
	// Source is the IP address of the clients for FaultCut.
	Source string `json:"source,omitempty"`
}

// parseDuration parses a duration field of a fault that validate has accepted.
func parseDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

func (f Fault) validate() error {
	for _, text := range []string{f.Duration, f.Delay} {
		if text == "" {
			continue
		}
		if _, err := time.ParseDuration(text); err != nil {
			return errors.Wrap(err, "fault")
		}
	}
	if f.Kind == FaultCut && net.ParseIP(f.Source) == nil {
		return errors.Errorf("fault cut: source is %q, must be an IP address", f.Source)
	}
	if f.Kind == FaultSlow && f.Factor <= 0 {
		return errors.Errorf("fault slow: factor is %g, must be greater than 0", f.Factor)
	}
	return nil
}

type activeFault struct {
	Fault
	startedAt time.Time
	expiresAt time.Time
}

// faultSet holds the active faults of one stand-in.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]activeFault
	onDie  func()
	// onChange is called after each change, without the lock.
	onChange func(Fault)
}

// OnDie sets the function that FaultDie calls; Serve sets it to close the server.
func (s *faultSet) OnDie(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDie = f
}

// Inject starts a fault, as POST /faults does.
func (s *faultSet) Inject(fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	s.set(fault, time.Now())
	return nil
}

func (s *faultSet) set(fault Fault, now time.Time) {
	s.mu.Lock()
	if fault.Kind == FaultNone || s.active == nil {
		s.active = make(map[FaultKind]activeFault)
	}
	if fault.Kind != FaultNone {
		active := activeFault{Fault: fault, startedAt: now}
		if d := parseDuration(fault.Duration); d > 0 {
			active.expiresAt = now.Add(d)
		}
		s.active[fault.Kind] = active
	}
	onDie, onChange := s.onDie, s.onChange
	s.mu.Unlock()
	if fault.Kind == FaultDie && onDie != nil {
		onDie()
	}
	if onChange != nil {
		onChange(fault)
	}
}

// get returns the fault of the given kind if it is active at now.
func (s *faultSet) get(kind FaultKind, now time.Time) (activeFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, ok := s.active[kind]
	if !ok {
		return activeFault{}, false
	}
	if !fault.expiresAt.IsZero() && !now.Before(fault.expiresAt) {
		delete(s.active, kind)
		return activeFault{}, false
	}
	return fault, true
}

func (s *faultSet) has(kind FaultKind, now time.Time) bool {
	_, ok := s.get(kind, now)
	return ok
}

// serveFaults handles POST /faults.
func (s *faultSet) serveFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.Kind == FaultDie {
		// The response must be sent before the connections close.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
	}
	if err := s.Inject(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault.Kind != FaultDie {
		w.WriteHeader(http.StatusNoContent)
	}
}

// abortConnection closes the connection of a request without a response. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
