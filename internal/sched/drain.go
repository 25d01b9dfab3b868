package sched

import "time"

const (
	// drainWindow is the time constant of the measured drain rate.
	drainWindow = 2 * time.Second

	// A typical output length is the mean of about this many finished outputs.
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
	typical  float64 // mean tokens of an output that ended
}

func (d *drain) started(r *request, cost float64) {
	r.admitted, r.booked = r.queue, cost
	part := &d.parts[r.admitted]
	part.running++
	part.booked += cost
}

func (d *drain) ended(r *request) {
	part := &d.parts[r.admitted]
	part.running--
	part.booked -= r.booked
	part.freed += r.booked
	if r.shown == 0 {
		return
	}
	if part.typical == 0 {
		part.typical = float64(r.shown)
	}
	part.typical += (float64(r.shown) - part.typical) / typicalSamples
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

// rate returns the tokens a second that become free for a queue. The measured rate is too low right after a rise of
// demand, so the rate that the running requests imply counts too: their cost over the time that such outputs take.
func (d *drain) rate(kind queueKind, gap, assumedGap time.Duration) float64 {
	if gap == 0 {
		gap = assumedGap
	}
	long := d.parts[queueLong].current(gap)
	if kind == queueLong {
		return long
	}
	return long + d.parts[queueShort].current(gap)
}

func (p *drainPart) current(gap time.Duration) float64 {
	if p.running == 0 || p.typical == 0 {
		return p.measured
	}
	lifetime := p.typical * gap.Seconds()
	return max(p.measured, p.booked/max(lifetime, gap.Seconds()))
}
