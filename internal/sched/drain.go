package sched

import "time"

const (
	// drainWindow is the time constant of the exponential average of the drain rate.
	drainWindow = 2 * time.Second

	// The typical output length is averaged over about this many finished outputs.
	typicalSamples = 32
)

// drain measures how fast running requests release reserved tokens.
type drain struct {
	queues    [queueCount]queueDrain
	updatedAt time.Time
}

type queueDrain struct {
	running      int
	runningCost  float64 // cost of the running requests when they started
	releasedCost float64 // cost of the requests that ended since the last update
	measuredRate float64 // tokens released per second
	emitted      float64 // decayed count of emitted tokens, those of running requests included
	outputs      float64 // decayed count of finished outputs
}

// typicalTokens returns the tokens emitted per finished output, or zero if none has finished. The mean length of
// finished outputs is too low for a while after a start or in a burst, because long outputs still run: with it the
// predicted wait was half of the real one, and requests that could not be served in time stayed queued.
func (q *queueDrain) typicalTokens() float64 {
	if q.outputs == 0 {
		return 0
	}
	return q.emitted / q.outputs
}

func (d *drain) addRunning(r *request, cost float64) {
	r.startQueue, r.startCost = r.queue, cost
	q := &d.queues[r.startQueue]
	q.running++
	q.runningCost += cost
}

// removeRunning removes a request that ended. One without a token, such as one that another scheduler took over, is not
// counted in the rate.
func (d *drain) removeRunning(r *request) {
	q := &d.queues[r.startQueue]
	q.running--
	q.runningCost -= r.startCost
	if r.emitted > 0 {
		q.releasedCost += r.startCost
	}
}

// addTokens counts emitted tokens.
func (d *drain) addTokens(r *request, tokens int) { d.queues[r.startQueue].emitted += float64(tokens) }

// addOutput counts a complete output.
func (d *drain) addOutput(r *request) {
	const decay = 1 - 1.0/typicalSamples
	q := &d.queues[r.startQueue]
	q.emitted, q.outputs = q.emitted*decay, q.outputs*decay+1
}

func (d *drain) updateRates(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if !d.updatedAt.IsZero() && elapsed > 0 {
		weight := float64(elapsed) / float64(elapsed+drainWindow)
		for i := range d.queues {
			q := &d.queues[i]
			q.measuredRate += weight * (q.releasedCost/elapsed.Seconds() - q.measuredRate)
			q.releasedCost = 0
		}
	}
	d.updatedAt = now
}

// rate returns the tokens per second that are released for a queue, or zero if unknown. The measured rate is too low
// while the engines are not full, so the result is at least the rate of full engines: the cost of the running requests
// and the free tokens, each divided by the duration of a typical output.
func (d *drain) rate(kind queueKind, free float64, gap time.Duration) float64 {
	own, other := &d.queues[kind], &d.queues[1-kind]
	typical, otherTypical := own.typicalTokens(), other.typicalTokens()
	if typical == 0 {
		typical = otherTypical
	}
	if otherTypical == 0 {
		otherTypical = typical
	}
	if typical == 0 {
		return 0
	}
	implied := (own.runningCost + free) / (max(typical, 1) * gap.Seconds())
	if kind == queueLong && own.running > 0 {
		return max(own.measuredRate, implied)
	}
	implied += other.runningCost / (max(otherTypical, 1) * gap.Seconds())
	return max(own.measuredRate+other.measuredRate, implied)
}

// meanCost returns the mean cost of the running requests, or fallback if none runs.
func (d *drain) meanCost(fallback float64) float64 {
	running := d.queues[queueShort].running + d.queues[queueLong].running
	if running == 0 {
		return fallback
	}
	return (d.queues[queueShort].runningCost + d.queues[queueLong].runningCost) / float64(running)
}
