package sched

import "time"

const (
	// slowBaselineRatio is the ratio to the pool's median baseline gap above which an engine counts as slow.
	// Deployments mix engines, some of which take 1.3 times as long for a token.
	slowBaselineRatio = 1.22

	// normalBaselineRatio is the ratio below which a slow engine counts as normal again. Gaps grow with the requests in a batch, so at the
	// crest of a wave the median comes close to the baseline of a slow engine with few requests.
	normalBaselineRatio = 1.1

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
	// less for shorter ones. An output of 100 tokens meets about one of the disturbances.
	slowLongLoad       = 0.6
	slowFullLoadTokens = 100

	// slowPrefillLoad is added to the load of a slow engine with long runs for a request whose prompt has to be read: any engine with room
	// goes before it.
	slowPrefillLoad = 1.0
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

// updateSlowBaseline decides whether the engine counts as slow.
func (e *engine) updateSlowBaseline(m medians) {
	best, known := e.latency.baseline.best()
	if !known || m.baselineEngines < minObservedEngines {
		e.slowBaseline = false
		return
	}
	limit := slowBaselineRatio
	if e.slowBaseline {
		limit = normalBaselineRatio
	}
	e.slowBaseline = float64(best) > limit*float64(m.baseline)
}

// slowEngineLoad is the additional load that keeps long requests and prefill apart on slow engines.
//
// Engines read prompts in chunks between the tokens of running requests, and co-located work makes them 2.5 times slower for moments. On
// most engines both together stay within the allowed gap of 180 ms for an event of four tokens. On one that takes 1.3 times as long they
// reach 200 ms, and every request that runs there is late. So the longer a request is expected to run, the more it prefers other engines,
// and no prompt is read on a slow engine with long runs while another engine has room. Of 71 outputs with too long a gap on a calm day with
// 51 engines, 44 were on engines known to be slow.
func (e *engine) slowEngineLoad(r *request, prefill bool) float64 {
	if !e.slowBaseline {
		return 0
	}
	load := slowLongLoad * min(float64(r.predictedOutput)/slowFullLoadTokens, 1)
	if prefill && e.runningLong > 0 {
		load += slowPrefillLoad
	}
	return load
}
