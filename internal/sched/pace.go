package sched

import "time"

const (
	// slowPace is the ratio to the pool's median pace from which an engine counts as slow. Deployments mix engines of
	// which some take 1.3 times as long for a token.
	slowPace = 1.22

	// paceWindow is the width of the two windows over which the least gap is taken. It is longer than the disturbances by
	// co-located work, which take up to a second.
	paceWindow = 2500 * time.Millisecond

	// longOnSlowLoad is added to the load of a slow engine for long work, and shortOnSlowLoad for short work if long work
	// runs there.
	longOnSlowLoad  = 0.4
	shortOnSlowLoad = 0.4
)

// pace is the least time between tokens that an engine has shown lately. Unlike the mean it does not contain what prompts
// and co-located work add for moments, so it tells a slow engine from a disturbed one.
type pace struct {
	windows [2]time.Duration // the least gap of the present window and of the one before; zero for none
	endsAt  time.Time        // end of the present window
}

func (p *pace) observe(gap time.Duration, now time.Time) {
	p.advance(now)
	if p.windows[0] == 0 || gap < p.windows[0] {
		p.windows[0] = gap
	}
}

func (p *pace) advance(now time.Time) {
	if now.Before(p.endsAt) {
		return
	}
	p.windows[1] = p.windows[0]
	if now.Sub(p.endsAt) >= paceWindow {
		p.windows[1] = 0
	}
	p.windows[0], p.endsAt = 0, now.Add(paceWindow)
}

// best returns the least gap of the last windows, and false if there is none.
func (p *pace) best(now time.Time) (time.Duration, bool) {
	if now.Sub(p.endsAt) >= paceWindow {
		return 0, false
	}
	least := p.windows[0]
	if least == 0 || p.windows[1] > 0 && p.windows[1] < least {
		least = p.windows[1]
	}
	return least, least > 0
}

// paceLoad keeps long work and the reading of prompts apart on slow engines.
//
// The load pattern: engines pause the tokens of running requests while they read a prompt, and co-located work makes them
// 2.5 times slower for moments. On most engines both together stay within the allowed gap of 180 ms for an event of four
// tokens; on one that takes 1.3 times as long they reach 200 ms, and every request that runs there is late. So long work
// goes to the other engines, and short work, whose prompts cause the pauses, to slow engines without long work.
func (e *engine) paceLoad(r *request) float64 {
	switch {
	case !e.slowPace:
		return 0
	case r.queue == queueLong:
		return longOnSlowLoad
	case e.runningLong > 0:
		return shortOnSlowLoad
	default:
		return 0
	}
}
