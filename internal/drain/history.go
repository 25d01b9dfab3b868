package drain

import (
	"sync"
	"time"
)

const (
	// historySize is the number of requests of a service by which the next ones are judged.
	historySize = 128

	// expectedQuantile is the share of the recorded requests that took no longer than expected.
	expectedQuantile = 0.95

	// Expected of the requests to a service of which none is recorded. A full engine that is slowed for a moment takes 15 ms per token.
	defaultCall       = time.Second
	defaultFirstEvent = time.Second
	defaultPace       = 15 * time.Millisecond

	// Expected of the moves of a service of which none is recorded. The copy of 0.9 GB to another data centre takes 0.6 s; pauses of 9 to 16 ms
	// were measured beside engines with room.
	defaultCopy  = 600 * time.Millisecond
	defaultPause = 200 * time.Millisecond
)

// History keeps how long the latest requests to each service took, and which ones have no answer yet. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*serviceHistory
}

// serviceHistory holds the requests to one service.
type serviceHistory struct {
	calls       *answers
	firstEvents *answers
	// copies are the first parts of moves, during which the run goes on, and pauses the rest, until an event from the other engine.
	copies, pauses *answers
	paces          *ring[time.Duration]
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: make(map[string]*serviceHistory)} }

// BeginCall records that a plain request is sent to a backend server of a service.
func (h *History) BeginCall(service string, at time.Time) *Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).calls.begin(h, at)
}

// BeginGeneration records that a generation is sent to an engine of a service. The first event of its stream is its answer.
func (h *History) BeginGeneration(service string, at time.Time) *Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).firstEvents.begin(h, at)
}

// BeginCopy records that the first copy of a run for a move begins. The end of the copy is its answer.
func (h *History) BeginCopy(service string, at time.Time) *Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).copies.begin(h, at)
}

// BeginPause records that a run is about to be stopped for a move. The first event from the other engine is its answer.
func (h *History) BeginPause(service string, at time.Time) *Send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).pauses.begin(h, at)
}

// RecordPace records the time per token of a part of a stream.
func (h *History) RecordPace(service string, perToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).paces.add(perToken)
}

// Call returns the time that a plain request to a service is expected to take if it is sent now.
func (h *History) Call(service string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).calls.expected(now, defaultCall)
}

// Generation returns the time that a generation of a number of tokens is expected to take from the request to an engine to its end, if it is
// sent now.
func (h *History) Generation(service string, tokens int, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	return s.firstEvents.expected(now, defaultFirstEvent) + s.rest(tokens)
}

func (s *serviceHistory) rest(tokens int) time.Duration {
	return time.Duration(tokens) * quantile(s.paces.values, expectedQuantile, defaultPace)
}

// Rest returns the time that a generation which has begun is expected to take for a further number of tokens.
func (h *History) Rest(service string, tokens int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).rest(tokens)
}

// Move returns the time that a move is expected to take from its order to the first event from the other engine.
func (h *History) Move(service string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	return s.copies.expected(now, defaultCopy) + s.pauses.expected(now, defaultPause)
}

// Pause returns the part of Move from the moment at which the run is stopped.
func (h *History) Pause(service string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).pauses.expected(now, defaultPause)
}

// service returns the history of a service. The lock must be held.
func (h *History) service(name string) *serviceHistory {
	s, ok := h.services[name]
	if !ok {
		s = &serviceHistory{
			calls:       newAnswers(),
			firstEvents: newAnswers(),
			copies:      newAnswers(),
			pauses:      newAnswers(),
			paces:       newRing[time.Duration](historySize),
		}
		h.services[name] = s
	}
	return s
}
