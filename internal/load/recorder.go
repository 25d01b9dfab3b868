package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count microseconds up to maxLatency with three significant digits.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// maxViolations bounds the violations that a report lists in full.
	maxViolations = 10
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range, and the value is clamped here.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatency.Microseconds()))
}

// kindStats are the results of one kind of request.
type kindStats struct {
	offered, complete, onTime int
	tokens                    int64
	// wait, firstToken, answerTime and timePerToken count from the intended send time, firstTokenFromSend from the send.
	wait, firstToken, firstTokenFromSend, answerTime, timePerToken *hdrhistogram.Histogram
}

// recorder collects the results of a run. It is safe for concurrent use.
type recorder struct {
	plan Plan

	mu             sync.Mutex
	kinds          map[Kind]*kindStats
	tokenGaps      *hdrhistogram.Histogram
	sendDelay      *hdrhistogram.Histogram
	refusals       map[string]int
	failures       map[string]int
	violations     []string
	violationCount int
	retries        int
	resumes        int
	peak           PeakReport
	timeline       []SecondReport
	charges        []chargeLog
}

func newRecorder(plan Plan) *recorder {
	r := &recorder{
		plan:      plan,
		kinds:     make(map[Kind]*kindStats),
		tokenGaps: newHistogram(),
		sendDelay: newHistogram(),
		refusals:  make(map[string]int),
		failures:  make(map[string]int),
		timeline:  make([]SecondReport, int(plan.Duration/time.Second)+1),
	}
	for _, kind := range KindValues() {
		r.kinds[kind] = &kindStats{
			wait:               newHistogram(),
			firstToken:         newHistogram(),
			firstTokenFromSend: newHistogram(),
			answerTime:         newHistogram(),
			timePerToken:       newHistogram(),
		}
	}
	return r
}

// addTokenGap records the time between two tokens of one answer.
func (r *recorder) addTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.tokenGaps, d)
}

func (r *recorder) add(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.sendDelay, o.sent-o.arrival.At)
	r.retries += o.retries
	r.resumes += o.resumes
	for _, reason := range o.refusals {
		r.refusals[reason]++
	}
	r.addKind(o)
	r.addToTimeline(o)
	if !o.complete {
		r.addFailure(o)
	}
	if o.arrival.Kind == KindCharge {
		r.charges = append(r.charges, o.charge)
	}
}

func (r *recorder) addKind(o *outcome) {
	k := r.kinds[o.arrival.Kind]
	k.offered++
	k.tokens += int64(o.tokens)
	recordDuration(k.wait, o.waitTime())
	if o.firstToken > 0 {
		recordDuration(k.firstToken, o.firstToken-o.arrival.At)
		recordDuration(k.firstTokenFromSend, o.firstToken-o.sent)
	}
	if !o.complete {
		return
	}
	k.complete++
	recordDuration(k.answerTime, o.ended-o.arrival.At)
	if o.tokens > 0 {
		recordDuration(k.timePerToken, (o.ended-o.arrival.At)/time.Duration(o.tokens))
	}
	if o.onTime() {
		k.onTime++
	}
}

func (r *recorder) addToTimeline(o *outcome) {
	second := &r.timeline[o.arrival.At/time.Second]
	second.Offered++
	from, to := r.plan.Peak()
	inPeak := o.arrival.At >= from && o.arrival.At < to
	if inPeak {
		r.peak.Offered++
	}
	switch {
	case o.onTime():
		second.OnTime++
		if inPeak {
			r.peak.OnTime++
		}
	case !o.complete:
		second.Failed++
	}
}

func (r *recorder) addFailure(o *outcome) {
	if o.violation == "" {
		r.failures[o.failure]++
		return
	}
	r.violationCount++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, o.violation)
	}
}
