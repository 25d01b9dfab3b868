package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// moveRank orders the requests that should leave an engine.
//
// Even on calm days a sixth of the engines is reclaimed every few seconds, at a notice of one and a half to two
// seconds, and each runs several long outputs of many seconds. The copies of one engine share its link, so one request
// moves at a time: copying the next one would delay the last part of the current one, during which its output pauses.
// Requests that finish within the notice go last; among the others, those that save the most work per copied token go
// first.
type moveRank struct {
	// endsInTime is true if the output is expected to finish before the engine is gone.
	endsInTime bool
	// started is false until the first token; an engine cannot copy a request that it has not started.
	started bool
	// gain is the work saved per copied token.
	gain float64
}

func (a moveRank) before(b moveRank) bool {
	switch {
	case a.started != b.started:
		return a.started
	case a.endsInTime != b.endsInTime:
		return b.endsInTime
	default:
		return a.gain > b.gain
	}
}

func (s *Scheduler) moveRank(r *request, now time.Time) moveRank {
	if s.off(pond.MechanismMoveOrder) {
		return moveRank{started: r.emitted > 0, gain: -float64(r.serial)}
	}
	e := s.engines.At(r.engine)
	remaining := max(min(r.predictedOutput, r.maxOutput)-r.emitted, 1)
	timeLeft := time.Duration(0)
	if !e.leavingAt.IsZero() {
		timeLeft = e.leavingAt.Add(s.rates.usableNotice()).Sub(now)
	}
	work := float64(r.promptTokens) + s.outputWeight()*float64(r.emitted+remaining)
	return moveRank{
		endsInTime: time.Duration(remaining)*s.tokenGap() < timeLeft,
		started:    r.emitted > 0,
		gain:       work / float64(max(r.promptTokens+r.emitted, 1)),
	}
}

// copyDelaysOthers reports whether a slow copy of the run would take time that the engine's other runs need.
//
// Copying all of a full engine of 34,000 tokens takes 1.9 s, more than the notice. In three calm days of one service
// (fada-cartas) 9 of 119 runs were lost because copies to other data centres, which take twice as long, went before
// them.
func (s *Scheduler) copyDelaysOthers(source table.Slot, r *request, now time.Time) bool {
	e := s.engines.At(source)
	if e.leavingAt.IsZero() {
		return false
	}
	timeLeft := e.leavingAt.Add(s.rates.usableNotice()).Sub(now)
	return time.Duration(e.tokensToCopy+r.promptTokens+r.emitted)*s.policy.TokenCopyTime > timeLeft
}
