package drain

import "time"

const (
	// recentTime is the age up to which answers count. The latest minAnswers count at any age; beside so many, a single overdue request changes
	// nothing.
	recentTime = 10 * time.Second
	minAnswers = 20

	// openFactor is the time that an overdue request is expected to take in all, as a multiple of the time for which it has been open.
	openFactor = 2
)

// Send is a request that a backend server has. The first call of a method ends the wait for the answer. The methods do nothing on nil.
type Send struct {
	history *History
	answers *answers
	at      time.Time
}

// Answered records that the answer has come.
func (s *Send) Answered(at time.Time) { s.end(func() { s.answers.add(s.at, at) }) }

// GivenUp records that the request ended without an answer. It counts if that took longer than an answer is expected to take.
func (s *Send) GivenUp(at time.Time) {
	s.end(func() {
		if at.Sub(s.at) > s.answers.answered(at, 0) {
			s.answers.add(s.at, at)
		}
	})
}

// NotRun records that the backend server did not run the request, which tells nothing about others.
func (s *Send) NotRun() { s.end(func() {}) }

func (s *Send) end(record func()) {
	if s == nil {
		return
	}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if _, open := s.answers.open[s]; open {
		delete(s.answers.open, s)
		record()
	}
}

// answers holds the requests of one kind to one service. The history's lock protects it.
type answers struct {
	took *ring[answer]
	open map[*Send]struct{}
}

// answer is how long one request took.
type answer struct {
	at   time.Time
	took time.Duration
}

func newAnswers() *answers {
	return &answers{took: newRing[answer](historySize), open: make(map[*Send]struct{})}
}

func (a *answers) begin(h *History, at time.Time) *Send {
	s := &Send{history: h, answers: a, at: at}
	a.open[s] = struct{}{}
	return s
}

func (a *answers) add(sentAt, at time.Time) { a.took.add(answer{at: at, took: at.Sub(sentAt)}) }

// expected returns the time that a request is expected to take. A request that has been open for longer than the answered ones took is
// expected to take as long again, so that backend servers that become slow or silent change the expectation before they answer.
func (a *answers) expected(now time.Time, fallback time.Duration) time.Duration {
	usual := a.answered(now, fallback)
	took := a.recent(now)
	for s := range a.open {
		if age := now.Sub(s.at); age > usual {
			took = append(took, openFactor*age)
		}
	}
	return max(quantile(took, expectedQuantile, fallback), usual)
}

// answered returns the time that the answered requests did not exceed, or fallback without any.
func (a *answers) answered(now time.Time, fallback time.Duration) time.Duration {
	return quantile(a.recent(now), expectedQuantile, fallback)
}

// recent returns how long the requests took that count.
func (a *answers) recent(now time.Time) []time.Duration {
	var took []time.Duration
	for n, one := range a.took.latest() {
		if n >= minAnswers && now.Sub(one.at) > recentTime {
			break
		}
		took = append(took, one.took)
	}
	return took
}
