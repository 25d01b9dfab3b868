package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// leaveNotice is the time from the notice that an engine leaves until its runs may be lost. Engines of the present
	// deployments are gone 1.5 to 2.1 s after the notice.
	leaveNotice = 1400 * time.Millisecond

	// outputWeight is the cost of a generated token in tokens of a prompt. An engine reads 14 tokens of a prompt in the
	// time of a millisecond and makes one token in 7 ms for each of about 10 running requests.
	outputWeight = 10
)

// evacuee ranks a request among those that an engine is to lose.
//
// The load pattern: a sixth of the engines is taken away every few seconds at a notice of one and a half to two seconds,
// on calm days too, and each runs several long outputs of many seconds. The copies of one engine share its link, so one
// request moves at a time: the memory of the next one would delay the last part of the present one, which its caller
// waits for. Requests that end in time by themselves go last; among the others, those with the most work to lose for the
// time of their copy go first.
type evacuee struct {
	// endsInTime is true if the output is expected to end before the engine is gone.
	endsInTime bool
	// started is false as long as no output was seen; an engine cannot copy a request that it has not started.
	started bool
	// gain is the work that is saved for each token that is copied.
	gain float64
}

func (a evacuee) before(b evacuee) bool {
	switch {
	case a.started != b.started:
		return a.started
	case a.endsInTime != b.endsInTime:
		return b.endsInTime
	default:
		return a.gain > b.gain
	}
}

func (s *Scheduler) evacuee(r *request, now time.Time) evacuee {
	e := s.engines.At(r.engine)
	gap := s.medians.gap
	if gap == 0 {
		gap = s.policy.TokenGap
	}
	rest := max(min(r.predicted, r.maxOut)-r.shown, 1)
	left := time.Duration(0)
	if !e.leavingAt.IsZero() {
		left = e.leavingAt.Add(leaveNotice).Sub(now)
	}
	work := float64(r.prompt + outputWeight*(r.shown+rest))
	return evacuee{
		endsInTime: time.Duration(rest)*gap < left,
		started:    r.shown > 0,
		gain:       work / float64(max(r.prompt+r.shown, 1)),
	}
}

// hurried reports whether the copy of a run to another place would take the time that the engine's other runs need.
//
// The load pattern: an engine of 34,000 tokens is full of runs when it is told to leave, and all of its memory takes 1.9 s
// to copy, more than the notice. In three calm days of fada-cartas 9 of 119 runs were lost because copies to other places,
// which take twice as long, went before them.
func (s *Scheduler) hurried(source table.Slot, r *request, now time.Time) bool {
	e := s.engines.At(source)
	if e.leavingAt.IsZero() {
		return false
	}
	left := e.leavingAt.Add(leaveNotice).Sub(now)
	return time.Duration(e.toCopy+r.prompt+r.shown)*s.policy.CopyTime > left
}
