package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

// NewCallerLimits registers a counter of what the limits for callers refuse or close, and returns the function that counts.
func NewCallerLimits(m *Metrics) func(listener string, reason bound.Reason) {
	limited := newCounter("callers_limited_total", "Requests refused and connections closed because of the limits for callers.", "listener", "reason")
	m.registry.MustRegister(limited)
	return func(listener string, reason bound.Reason) { limited.WithLabelValues(listener, reason.String()).Inc() }
}

// RegisterHeadBytes registers the memory of request heads.
func RegisterHeadBytes(m *Metrics, headBytes func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: Namespace, Name: "request_head_bytes", Help: "Estimated memory of request heads beyond a small share for each.",
	}, func() float64 { return float64(headBytes()) }))
}

// RegisterConnections registers the number of open connections of a listener.
func RegisterConnections(m *Metrics, listener string, open func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: Namespace, Name: "caller_connections", Help: "Open connections, by listener.", ConstLabels: prometheus.Labels{"listener": listener},
	}, func() float64 { return float64(open()) }))
}
