package relay

import (
	"errors"
	"io"
	"sync"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

//go:generate go tool enumer -type=sourceState -trimprefix=source -transform=title-lower -output=sourcestate_enumer.go

// sourceState is what is known about the run on one engine. It only advances, unless the engine has refused the only order to stop the run: an engine
// that was told to stop a run may have done so, whatever is ordered later.
type sourceState int

// States of a run, in their order.
const (
	// sourceRunning is a run that the engine was not told to stop.
	sourceRunning sourceState = iota
	// sourceStopping is a run that the engine was told to stop, with an outcome that is not known.
	sourceStopping
	// sourceStopped is a run that the engine has stopped.
	sourceStopped
	// sourceEnded is a run that had ended by itself when the engine was told to stop it.
	sourceEnded
)

var errRunStopped = errors.New("the run was stopped for a move and could not go on elsewhere")

// source is the run of a stream on one engine. It is safe for concurrent use.
type source struct {
	backend route.Backend
	attempt attempt

	mu    sync.Mutex
	state sourceState
	stops int // orders to stop the run that were sent and not refused
	open  int // orders to stop the run that got no answer, as far as is known
}

func newSource(backend route.Backend, a attempt) *source {
	return &source{backend: backend, attempt: a}
}

func (s *source) body() io.ReadCloser { return s.attempt.rest }

// current returns the state of the run.
func (s *source) current() sourceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// mayBeStopped reports whether the run was stopped, as far as is known.
func (s *source) mayBeStopped() bool {
	state := s.current()
	return state == sourceStopping || state == sourceStopped
}

// orderStop records that the engine is about to be told to stop the run. It returns false if it must not be, because the run is over.
func (s *source) orderStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state > sourceStopping {
		return false
	}
	s.state = sourceStopping
	s.stops++
	s.open++
	return true
}

// stopAnswered records what the engine has answered to the order to stop the run. That it has no such run means that the run had ended by itself only
// if no earlier order can have stopped it.
func (s *source) stopAnswered(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal *CopyError
	if err == nil || errors.As(err, &refusal) {
		s.open--
	}
	switch {
	case s.state > sourceStopping:
	case err == nil, refusal != nil && refusal.Handle != "":
		s.state = sourceStopped
	case refusal != nil && refusal.NoRun && s.stops == 1:
		s.state = sourceEnded
	case refusal != nil && refusal.Busy:
		if s.stops--; s.stops == 0 {
			s.state = sourceRunning
		}
	}
}

// inherit takes over from an earlier run of the request on the same engine what an order that got no answer may still do.
func (s *source) inherit(earlier *source) {
	earlier.mu.Lock()
	open := earlier.open
	earlier.mu.Unlock()
	if open == 0 || earlier.backend.ID != s.backend.ID {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = sourceStopping
	s.stops += open
	s.open += open
}

// checkEnd returns an error if the run was stopped, so that the orderly end of its stream is not that of the answer. While the outcome of an order to
// stop it is not known, a length or chunks show that an answer is whole.
func (s *source) checkEnd() error {
	state := s.current()
	if state == sourceStopped || state == sourceStopping && s.attempt.unframed {
		return errRunStopped
	}
	return nil
}
