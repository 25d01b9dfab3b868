package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=FaultKind -trimprefix=Fault -transform=title-lower -text -output=faultkind_enumer.go

// FaultKind names a fault that a stand-in can be told to show.
type FaultKind int

// Kinds of faults. A stand-in ignores the kinds that it doesn't know.
const (
	// FaultNone clears every fault.
	FaultNone FaultKind = iota
	// FaultDie closes the listener and every connection without an answer. It can't be cleared.
	FaultDie
	// FaultFreeze stops all work and leaves connections open.
	FaultFreeze
	// FaultSlow multiplies the time of each step by Factor.
	FaultSlow
	// FaultDrop closes streams: all open ones once, or each with probability Share at each event if Share is set.
	FaultDrop
	// FaultDuplicate sends events twice, each with probability Share, or all of them if Share is zero.
	FaultDuplicate
	// FaultLeave refuses new work with 503 and X-Leaving: true.
	FaultLeave
	// FaultRefuse answers 503 without running the call.
	FaultRefuse
	// FaultDelay waits Delay before a call is run.
	FaultDelay
	// FaultCloseAfter runs the call and closes the connection instead of an answer.
	FaultCloseAfter
	// FaultDown closes connections without an answer.
	FaultDown
	// FaultStale hides values that are published after the fault began.
	FaultStale
	// FaultOlder answers with the value before the newest one.
	FaultOlder
	// FaultLag delays the view by Delay.
	FaultLag
)

// Fault is the body of POST /faults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Duration is how long the fault lasts, such as "5s"; empty means until it is cleared.
	Duration string `json:"duration,omitempty"`
	// Factor multiplies step times for FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// Share is the probability of the fault at each event, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// Delay is a duration such as "200ms" for FaultDelay and FaultLag.
	Delay string `json:"delay,omitempty"`
}

// duration parses a duration field of a fault that check has accepted.
func duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

func (f Fault) check() error {
	for _, text := range []string{f.Duration, f.Delay} {
		if text == "" {
			continue
		}
		if _, err := time.ParseDuration(text); err != nil {
			return errors.Wrap(err, "fault")
		}
	}
	if f.Kind == FaultSlow && f.Factor <= 0 {
		return errors.Errorf("fault slow: factor is %g, must be greater than 0", f.Factor)
	}
	return nil
}

type activeFault struct {
	Fault
	began time.Time
	until time.Time
}

// faultSet holds the active faults of one stand-in.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]activeFault
	onDie  func()
	// changed is called after each change, without the lock.
	changed func(Fault)
}

// OnDie sets the function that FaultDie calls; Serve sets it to close the server.
func (s *faultSet) OnDie(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDie = f
}

// Inject switches a fault on, as POST /faults does.
func (s *faultSet) Inject(fault Fault) error {
	if err := fault.check(); err != nil {
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
		active := activeFault{Fault: fault, began: now}
		if d := duration(fault.Duration); d > 0 {
			active.until = now.Add(d)
		}
		s.active[fault.Kind] = active
	}
	onDie, changed := s.onDie, s.changed
	s.mu.Unlock()
	if fault.Kind == FaultDie && onDie != nil {
		onDie()
	}
	if changed != nil {
		changed(fault)
	}
}

func (s *faultSet) get(kind FaultKind, now time.Time) (activeFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, ok := s.active[kind]
	if !ok {
		return activeFault{}, false
	}
	if !fault.until.IsZero() && !now.Before(fault.until) {
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
		// The answer must leave before the connections close.
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

// abort closes the connection of a request without an answer.
func abort() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
