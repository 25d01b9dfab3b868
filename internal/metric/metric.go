package metric

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// Namespace is the prefix of all metric names.
	Namespace = "dragonflypond"

	// maxPriorityLevel bounds the number of label values that a manifest can add; higher priorities share the last level.
	maxPriorityLevel = 9
)

// Buckets in seconds. They are dense around the targets of 0.42 s for the first token and 46 ms between tokens.
var (
	waitBuckets     = []float64{.001, .005, .02, .05, .1, .2, .3, .42, .6, 1, 2, 5, 10, 30, 60}
	gapBuckets      = []float64{.001, .005, .01, .02, .03, .046, .07, .1, .2, .5, 1, 2, 5, 10}
	durationBuckets = []float64{.05, .1, .25, .5, 1, 2, 5, 10, 20, 60, 120, 300, 600, 1800, 3600}
)

// Metrics holds the registry of an instance and the metrics of callers' requests. It is safe for concurrent use.
type Metrics struct {
	registry   *prometheus.Registry
	queueWait  *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	tokens     *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	recoveries *prometheus.CounterVec
}

// ClassMetrics holds the metrics of one priority level and work class.
type ClassMetrics struct {
	QueueWait  prometheus.Observer
	FirstToken prometheus.Observer
	TokenGap   prometheus.Observer
	Duration   prometheus.Observer
	Tokens     prometheus.Counter
}

// New returns metrics with a new registry.
func New() *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		queueWait:  newHistogram("queue_wait_seconds", "Time from the request to its placement.", waitBuckets),
		firstToken: newHistogram("first_token_seconds", "Time from the request to its first token.", waitBuckets),
		tokenGap:   newHistogram("token_gap_seconds", "Time between two tokens of a stream.", gapBuckets),
		duration:   newHistogram("request_seconds", "Time from the request to the end of its answer.", durationBuckets),
		tokens:     newCounter("tokens_total", "Tokens delivered to callers.", "priority", "class"),
		refusals:   newCounter("refusals_total", "Requests refused, by reason.", "reason"),
		recoveries: newCounter("recoveries_total", "Interrupted generations, by what the relay did.", "action"),
	}
	m.registry.MustRegister(m.queueWait, m.firstToken, m.tokenGap, m.duration, m.tokens, m.refusals, m.recoveries)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry, to which other packages add their metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler returns the HTTP handler that exports the registry.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// ForClass returns the metrics of a priority level and a work class.
func (m *Metrics) ForClass(priority int, class pond.Class) *ClassMetrics {
	labels := []string{priorityLevel(priority), class.String()}
	return &ClassMetrics{
		QueueWait:  m.queueWait.WithLabelValues(labels...),
		FirstToken: m.firstToken.WithLabelValues(labels...),
		TokenGap:   m.tokenGap.WithLabelValues(labels...),
		Duration:   m.duration.WithLabelValues(labels...),
		Tokens:     m.tokens.WithLabelValues(labels...),
	}
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(reason pond.Reason) { m.refusals.WithLabelValues(reason.String()).Inc() }

// CountRecovery counts what the relay did about an interrupted generation: "resume", "failover", "rerun", "abandon" or
// "release".
func (m *Metrics) CountRecovery(action string) { m.recoveries.WithLabelValues(action).Inc() }

func priorityLevel(priority int) string {
	return strconv.Itoa(min(max(priority, 0), maxPriorityLevel))
}

func newHistogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: buckets,
	}, []string{"priority", "class"})
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}
