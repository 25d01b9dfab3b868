package sched

import "math/bits"

const (
	// Lengths below 2^subBits have a bucket each; above, each octave has 2^subBits buckets, so a bucket's upper edge
	// is at most 12.5 % above a length in it.
	subBits       = 3
	lengthOctaves = 15
	lengthBuckets = (lengthOctaves + 1) << subBits

	// All counts are halved at this total, so that the sketch follows a change of the workload within a few thousand
	// outputs.
	maxLengthSamples = 2048

	// Fewer samples than this do not determine a high quantile.
	minLengthSamples = 20

	// The remainder of an output that is longer than every learned one is assumed to be half of the emitted tokens.
	unseenRemainderDivisor = 2
	minUnseenRemainder     = 32
)

// lengthSketch is a quantile sketch of finished output lengths with relative accuracy. A DDSketch is not used because
// its conditional quantile allocates and takes 1.5 µs against 0.09 µs here (BenchmarkConditionalQuantile).
type lengthSketch struct {
	counts [lengthBuckets]float32
	total  float32
}

func lengthBucket(tokens int) int {
	if tokens < 1<<subBits {
		return max(tokens, 0)
	}
	octave := bits.Len(uint(tokens)) - subBits - 1
	sub := tokens>>octave - 1<<subBits
	return min((octave+1)<<subBits+sub, lengthBuckets-1)
}

// bucketEdge returns the greatest length in a bucket.
func bucketEdge(bucket int) int {
	if bucket < 1<<subBits {
		return bucket
	}
	octave := bucket>>subBits - 1
	sub := bucket&(1<<subBits-1) + 1<<subBits
	return (sub+1)<<octave - 1
}

// forecast returns the tokens that a request is expected to hold at its peak, given that the output has not ended after
// the emitted tokens, and the variance at that time. Each greater length is weighted by the share of outputs that reach
// it.
func (l *lengthSketch) forecast(prompt, emitted, maxOutput int) (tokens int, variance float64) {
	first := 0
	if emitted > 0 {
		first = lengthBucket(emitted)
	}
	tail := float32(0)
	for _, count := range l.counts[first:] {
		tail += count
	}
	if tail < 1 {
		return prompt + min(unseenLength(emitted), maxOutput), 0
	}
	maxExpected, reachAtMax, left := 0.0, 1.0, tail
	for bucket := first; bucket < lengthBuckets && left > 0; bucket++ {
		size := prompt + max(min(bucketEdge(bucket), maxOutput), emitted)
		reach := float64(left / tail)
		if expected := float64(size) * reach; expected > maxExpected {
			maxExpected, reachAtMax = expected, reach
		}
		left -= l.counts[bucket]
	}
	// At the peak the request holds maxExpected/reachAtMax tokens with the probability reachAtMax, and none otherwise.
	return int(maxExpected) + 1, maxExpected * maxExpected * (1 - reachAtMax) / reachAtMax
}

// unseenLength returns the assumed total length of an output that is longer than every learned one.
func unseenLength(emitted int) int {
	return emitted + max(emitted/unseenRemainderDivisor, minUnseenRemainder)
}

func (l *lengthSketch) add(tokens int) {
	if l.total >= maxLengthSamples {
		for i := range l.counts {
			l.counts[i] /= 2
		}
		l.total /= 2
	}
	l.counts[lengthBucket(tokens)]++
	l.total++
}

// hasEnoughSamples reports whether the sketch holds enough samples for a prediction.
func (l *lengthSketch) hasEnoughSamples() bool { return l != nil && l.total >= minLengthSamples }

// quantile returns the quantile of the total length, given that the output has not ended after the emitted tokens.
func (l *lengthSketch) quantile(q float64, emitted int) int {
	first := 0
	if emitted > 0 {
		first = lengthBucket(emitted)
	}
	tail := float32(0)
	for _, count := range l.counts[first:] {
		tail += count
	}
	if tail < 1 {
		return unseenLength(emitted)
	}
	rank := float32(q) * tail
	sum := float32(0)
	for i, count := range l.counts[first:] {
		if sum += count; sum >= rank && count > 0 {
			return max(bucketEdge(first+i), emitted+1)
		}
	}
	return max(bucketEdge(lengthBuckets-1), emitted+1)
}
