package sched

import "time"

const (
	// slowPace is the ratio to the pool's median pace from which an engine counts as slow. Deployments mix engines of
	// which some take 1.3 times as long for a token.
	slowPace = 1.22

	// paceWindow is the width of the windows over which the least gaps are taken. It is longer than the disturbances by
	// co-located work, which take up to a second.
	paceWindow = 2500 * time.Millisecond

	// paceRank is the rank, from the least, of the gap that counts in a window. Single gaps come out too short when the
	// network holds back the event before them.
	paceRank = 3

	// paceSamples is the number of gaps from which the pace of an engine counts as known. An engine shows ten a second for
	// each of its runs, and the first ones are longer than usual while it reads the prompts of several new runs.
	paceSamples = 8

	// longOnSlowLoad is added to the load of a slow engine for outputs of slowFullTokens and more, a part of it for shorter
	// ones, and shortOnSlowLoad for short work if long work runs there. An output of 100 tokens meets about one of the
	// disturbances.
	longOnSlowLoad  = 0.6
	slowFullTokens  = 100
	shortOnSlowLoad = 0.4
)

// pace is the time between tokens of an engine that nothing disturbs. Unlike the mean it does not contain what prompts and
// co-located work add for moments, so it tells a slow engine from a disturbed one. An engine that long work avoids shows few
// gaps, so the last pace counts until there is another one.
type pace struct {
	present leastGaps
	former  time.Duration // the pace of the last window that had one; zero for none
	samples int           // up to paceSamples
	endsAt  time.Time     // end of the present window
}

// leastGaps holds the least gaps of a window in ascending order.
type leastGaps struct {
	gaps  [paceRank]time.Duration
	count int
}

func (l *leastGaps) add(gap time.Duration) {
	at := l.count
	for at > 0 && l.gaps[at-1] > gap {
		at--
	}
	if at == paceRank {
		return
	}
	l.count = min(l.count+1, paceRank)
	copy(l.gaps[at+1:l.count], l.gaps[at:l.count-1])
	l.gaps[at] = gap
}

// pace returns the gap that counts, or zero if there were too few.
func (l *leastGaps) pace() time.Duration {
	if l.count < paceRank {
		return 0
	}
	return l.gaps[paceRank-1]
}

func (p *pace) observe(gap time.Duration, now time.Time) {
	if !now.Before(p.endsAt) {
		if present := p.present.pace(); present > 0 {
			p.former = present
		}
		p.present, p.endsAt = leastGaps{}, now.Add(paceWindow)
	}
	p.samples = min(p.samples+1, paceSamples)
	p.present.add(gap)
}

// best returns the pace, and false if it is not known.
func (p *pace) best() (time.Duration, bool) {
	if p.samples < paceSamples {
		return 0, false
	}
	least := p.present.pace()
	if least == 0 || p.former > 0 && p.former < least {
		least = p.former
	}
	return least, least > 0
}

// paceLoad keeps long work and the reading of prompts apart on slow engines.
//
// The load pattern: engines pause the tokens of running requests while they read a prompt, and co-located work makes them
// 2.5 times slower for moments. On most engines both together stay within the allowed gap of 180 ms for an event of four
// tokens; on one that takes 1.3 times as long they reach 200 ms, and every request that runs there is late. So work goes
// to the other engines the longer it is expected to run, and that of a few tokens, whose prompts cause the pauses too, to
// slow engines without long work.
func (e *engine) paceLoad(r *request) float64 {
	if !e.slowPace {
		return 0
	}
	load := longOnSlowLoad * min(float64(r.predicted)/slowFullTokens, 1)
	if r.queue == queueShort && e.runningLong > 0 {
		load += shortOnSlowLoad
	}
	return load
}
