package calls

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the latency percentile after which a hedge starts.
	hedgePercentile = 95
	// initialHedgeDelay applies until a service has answered hedgeDelaySamples times.
	initialHedgeDelay = 100 * time.Millisecond
	// hedgeDelaySamples is the number of answers from which a delay is computed; older answers are dropped, so that the
	// delay follows the current latency of the service.
	hedgeDelaySamples = 128

	minLatencyMicros  = int64(100)                // 100 µs
	maxLatencyMicros  = int64(time.Minute / 1000) // one minute in µs
	significantDigits = 2
)

// hedgeDelay estimates the delay before hedging from the latencies of one service. It is safe for concurrent use.
type hedgeDelay struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	delay     time.Duration
}

func newHedgeDelay() *hedgeDelay {
	return &hedgeDelay{
		histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		delay:     initialHedgeDelay,
	}
}

func (h *hedgeDelay) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is clamped to the range of the histogram, so the error cannot occur.
	_ = h.histogram.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	if h.histogram.TotalCount() < hedgeDelaySamples {
		return
	}
	h.delay = time.Duration(h.histogram.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	h.histogram.Reset()
}

func (h *hedgeDelay) current() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay
}
