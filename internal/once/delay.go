package once

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the share of answers that arrive before a hedge starts.
	hedgePercentile = 95
	// initialHedgeDelay applies until a service has answered delaySamples times.
	initialHedgeDelay = 100 * time.Millisecond
	// delaySamples is the number of answers from which a delay is computed; older answers are forgotten, so that the
	// delay follows the service.
	delaySamples = 128

	minRecorded = int64(100)                // 100 µs
	maxRecorded = int64(time.Minute / 1000) // one minute in µs
	digits      = 2
)

// hedgeDelay learns after which time an answer of one service is late. It is safe for concurrent use.
type hedgeDelay struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	delay     time.Duration
}

func newHedgeDelay() *hedgeDelay {
	return &hedgeDelay{
		histogram: hdrhistogram.New(minRecorded, maxRecorded, digits),
		delay:     initialHedgeDelay,
	}
}

func (h *hedgeDelay) record(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value outside the range of the histogram is clamped, so the error cannot occur.
	_ = h.histogram.RecordValue(min(max(took.Microseconds(), minRecorded), maxRecorded))
	if h.histogram.TotalCount() < delaySamples {
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
