package sched

import "time"

const (
	// slowBaselineRatio is the ratio to the pool's median baseline gap above which an engine counts as slow.
	// Deployments mix engines, some of which take 1.3 times as long for a token.
	slowBaselineRatio = 1.22

	// baselineWindow is the length of the windows over which the smallest gaps are taken. It is longer than the
	// disturbances by co-located work, which last up to a second.
	baselineWindow = 2500 * time.Millisecond

	// baselineRank is the rank, from the smallest, of the gap that is the baseline of a window. Single gaps are
	// measured too short when the network delays the event before them.
	baselineRank = 3

	// minBaselineSamples is the number of gaps from which the baseline of an engine is known. An engine yields ten gaps
	// a second for each run, and the first ones are longer than usual while it prefills the prompts of several new
	// runs.
	minBaselineSamples = 8

	// slowLongLoad is added to the load of a slow engine for outputs of slowFullLoadTokens and more, and proportionally
	// less for shorter ones. slowShortLoad is added for short requests if long ones run there. An output of 100 tokens
	// meets about one of the disturbances.
	slowLongLoad       = 0.6
	slowFullLoadTokens = 100
	slowShortLoad      = 0.4
)

// baselineGap estimates the time between tokens of an engine without disturbances. Unlike the mean it excludes short
// delays by prefill and co-located work, so it tells a slow engine from a disturbed one. An engine that long requests
// avoid yields few gaps, so the last baseline is kept until there is a new one.
type baselineGap struct {
	current   smallestGaps
	previous  time.Duration // baseline of the last window that had one; zero for none
	samples   int           // up to minBaselineSamples
	windowEnd time.Time     // end of the current window
}

// smallestGaps holds the smallest gaps of a window in ascending order.
type smallestGaps struct {
	gaps  [baselineRank]time.Duration
	count int
}

func (g *smallestGaps) add(gap time.Duration) {
	at := g.count
	for at > 0 && g.gaps[at-1] > gap {
		at--
	}
	if at == baselineRank {
		return
	}
	g.count = min(g.count+1, baselineRank)
	copy(g.gaps[at+1:g.count], g.gaps[at:g.count-1])
	g.gaps[at] = gap
}

// ranked returns the gap at baselineRank, or zero if there were fewer gaps.
func (g *smallestGaps) ranked() time.Duration {
	if g.count < baselineRank {
		return 0
	}
	return g.gaps[baselineRank-1]
}

func (b *baselineGap) observe(gap time.Duration, now time.Time) {
	if !now.Before(b.windowEnd) {
		if ranked := b.current.ranked(); ranked > 0 {
			b.previous = ranked
		}
		b.current, b.windowEnd = smallestGaps{}, now.Add(baselineWindow)
	}
	b.samples = min(b.samples+1, minBaselineSamples)
	b.current.add(gap)
}

// best returns the smaller baseline of the current and the previous window, and false if it is not known.
func (b *baselineGap) best() (time.Duration, bool) {
	if b.samples < minBaselineSamples {
		return 0, false
	}
	smallest := b.current.ranked()
	if smallest == 0 || b.previous > 0 && b.previous < smallest {
		smallest = b.previous
	}
	return smallest, smallest > 0
}

// slowEngineLoad is the additional load that keeps long requests and prefill apart on slow engines.
//
// Engines emit no tokens for running requests while they prefill a prompt, and co-located work makes them 2.5 times
// slower for moments. On most engines both together stay within the allowed gap of 180 ms for an event of four tokens.
// On one that takes 1.3 times as long they reach 200 ms, and every request that runs there is late. So the longer a
// request is expected to run, the more it prefers other engines, and requests of a few tokens, whose prefill also
// causes pauses, prefer slow engines without long requests.
func (e *engine) slowEngineLoad(r *request) float64 {
	if !e.slowBaseline {
		return 0
	}
	load := slowLongLoad * min(float64(r.predictedOutput)/slowFullLoadTokens, 1)
	if r.queue == queueShort && e.runningLong > 0 {
		load += slowShortLoad
	}
	return load
}
