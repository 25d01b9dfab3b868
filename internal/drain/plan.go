package drain

import "time"

const (
	// maxSilence is how long a sound backend server may fall silent in the middle of a request.
	maxSilence = 1500 * time.Millisecond

	// The time before the exit that is reserved for the final answers of requests that have none yet: answerTime for each, within the bounds.
	answerReserve    = 300 * time.Millisecond
	maxAnswerReserve = time.Second
	answerTime       = time.Millisecond
)

// Plan holds the times of one shutdown.
type Plan struct {
	exitAt time.Time
}

// NewPlan returns the plan of a shutdown that ends at exitAt.
func NewPlan(exitAt time.Time) Plan { return Plan{exitAt: exitAt} }

// ExitAt returns the time at which open connections are closed.
func (p Plan) ExitAt() time.Time { return p.exitAt }

// AnswerBy returns the time by which a request without any response gets its final one, if there are few.
func (p Plan) AnswerBy() time.Time { return p.exitAt.Add(-answerReserve) }

// AnswersFrom returns the time from which a number of requests without any response get their final ones.
func (p Plan) AnswersFrom(unanswered int) time.Time {
	reserve := time.Duration(unanswered) * answerTime
	return p.exitAt.Add(-min(max(reserve, answerReserve), maxAnswerReserve))
}

// LatestMove returns the time after which a move that takes the given time is not begun any more. A run on an engine that ends soon is lost
// without the move, so that it needs no margin for a silent moment of the target.
func (p Plan) LatestMove(need time.Duration, sourceEnds bool) time.Time {
	if sourceEnds {
		return p.AnswerBy().Add(-need)
	}
	return p.LatestStart(need)
}

// LatestStart returns the time after which a request that takes the given time is not sent to a backend server any more.
func (p Plan) LatestStart(need time.Duration) time.Time { return p.AnswerBy().Add(-maxSilence - need) }
