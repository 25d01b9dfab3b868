package sched

import "math"

const (
	// priorHintError is the standard deviation of the logarithm of length over estimate before any was seen, as callers of
	// the present deployments have it, and priorHintWeight the number of outputs that outweigh it.
	priorHintError  = 1.2
	priorHintWeight = 20

	// maxHintSamples is the number of outputs at which the memory of errors is halved, so that it follows a change.
	maxHintSamples = 1024

	// leastHintError keeps one good streak from ruling out all other lengths.
	leastHintError = 0.2
)

// hints tells how far callers' estimates of their outputs are off.
//
// The load pattern: outputs vary by a factor of 30 between the tenth and the ninetieth percentile, so that a forecast by
// learned lengths alone treats a letter of 100 tokens like one of 1,700: it keeps memory free that the first never uses,
// and fills engines on which the second is preempted. Estimates are right at the median and off by a factor of 3.3 at one
// standard deviation; weighed against the learned lengths, they still tell these apart.
type hints struct {
	squares float64 // sum of the squared logarithms of length over estimate
	count   float64
}

// add learns from a finished output.
func (h *hints) add(hint, tokens int) {
	if hint <= 0 || tokens <= 0 {
		return
	}
	if h.count >= maxHintSamples {
		h.squares, h.count = h.squares/2, h.count/2
	}
	off := math.Log(float64(tokens) / float64(hint))
	h.squares += off * off
	h.count++
}

// deviation returns the standard deviation of the logarithm of length over estimate.
func (h *hints) deviation() float64 {
	prior := priorHintError * priorHintError * priorHintWeight
	return max(math.Sqrt((prior+h.squares)/(priorHintWeight+h.count)), leastHintError)
}

// weigh returns the lengths with each count weighted by how well it agrees with the estimate, scaled to the same total.
func (h *hints) weigh(known *lengths, hint int) lengths {
	var weighted lengths
	deviation := h.deviation()
	wanted := math.Log(float64(hint))
	sum := float32(0)
	for bucket, count := range known.counts {
		if count == 0 {
			continue
		}
		off := (math.Log(float64(max(bucketEdge(bucket), 1))) - wanted) / deviation
		weighted.counts[bucket] = count * float32(math.Exp(-off*off/2))
		sum += weighted.counts[bucket]
	}
	if sum <= 0 {
		return *known // The estimate is out of reach of all that was learned.
	}
	scale := known.total / sum
	for bucket := range weighted.counts {
		weighted.counts[bucket] *= scale
	}
	weighted.total = known.total
	return weighted
}
