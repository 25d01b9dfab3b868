package sched

import "time"

const (
	// drainWindow is the time constant of the measured drain rate.
	drainWindow = 2 * time.Second

	// A typical output length is taken over about this many finished outputs.
	typicalSamples = 32
)

// drain measures how fast running work frees reserved tokens.
type drain struct {
	parts [queueCount]drainPart
	at    time.Time
}

type drainPart struct {
	running  int
	booked   float64 // cost of the running requests when they started
	freed    float64 // cost of the requests that ended since the last update
	measured float64 // tokens freed a second
	made     float64 // tokens that outputs have shown lately, those of running ones included
	ends     float64 // outputs that ended meanwhile
}

// typical returns the tokens of a typical output, or zero if none has ended. It is the tokens shown for each output that
// ends. The mean of those that have ended is too low for a while after a start or in a burst, because the long ones still
// run: with it the predicted wait was half of the real one, and requests that could not be served in time were kept.
func (p *drainPart) typical() float64 {
	if p.ends == 0 {
		return 0
	}
	return p.made / p.ends
}

func (d *drain) started(r *request, cost float64) {
	r.admitted, r.booked = r.queue, cost
	part := &d.parts[r.admitted]
	part.running++
	part.booked += cost
}

// ended counts a request that ended. One without a token, such as one that moved to another home, says nothing about
// the rate.
func (d *drain) ended(r *request) {
	part := &d.parts[r.admitted]
	part.running--
	part.booked -= r.booked
	if r.shown > 0 {
		part.freed += r.booked
	}
}

// shown counts tokens of an output.
func (d *drain) shown(r *request, tokens int) { d.parts[r.admitted].made += float64(tokens) }

// finished counts a complete output.
func (d *drain) finished(r *request) {
	const kept = 1 - 1.0/typicalSamples
	part := &d.parts[r.admitted]
	part.made, part.ends = part.made*kept, part.ends*kept+1
}

func (d *drain) update(now time.Time) {
	elapsed := now.Sub(d.at)
	if !d.at.IsZero() && elapsed > 0 {
		weight := float64(elapsed) / float64(elapsed+drainWindow)
		for i := range d.parts {
			part := &d.parts[i]
			part.measured += weight * (part.freed/elapsed.Seconds() - part.measured)
			part.freed = 0
		}
	}
	d.at = now
}

// rate returns the tokens a second that become free for a queue, or zero if that is not known. The measured rate is too
// low while the engines are not full, so the rate that full engines would have counts too: the cost of the running
// requests and the free room, each over the time that such outputs take.
func (d *drain) rate(kind queueKind, free float64, gap time.Duration) float64 {
	own, other := &d.parts[kind], &d.parts[1-kind]
	typical, otherTypical := own.typical(), other.typical()
	if typical == 0 {
		typical = otherTypical
	}
	if otherTypical == 0 {
		otherTypical = typical
	}
	if typical == 0 {
		return 0
	}
	implied := (own.booked + free) / (max(typical, 1) * gap.Seconds())
	if kind == queueLong && own.running > 0 {
		return max(own.measured, implied)
	}
	implied += other.booked / (max(otherTypical, 1) * gap.Seconds())
	return max(own.measured+other.measured, implied)
}

// meanCost returns the mean cost of the running requests, or the given one if none runs.
func (d *drain) meanCost(none float64) float64 {
	running := d.parts[queueShort].running + d.parts[queueLong].running
	if running == 0 {
		return none
	}
	return (d.parts[queueShort].booked + d.parts[queueLong].booked) / float64(running)
}
