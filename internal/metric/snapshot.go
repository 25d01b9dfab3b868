package metric

import "github.com/prometheus/client_golang/prometheus"

// SnapshotMetric describes a metric whose value is read from a snapshot S.
type SnapshotMetric[S any] struct {
	Name, Help string
	Type       prometheus.ValueType
	Value      func(s *S) float64
}

// snapshotCollector exports metrics that are read from a snapshot. It implements prometheus.Collector.
type snapshotCollector[S any] struct {
	snapshot     func() S
	metrics      []SnapshotMetric[S]
	descriptions []*prometheus.Desc
}

// NewSnapshotCollector returns a collector that takes one snapshot for each scrape, so that its metrics are consistent
// with each other.
func NewSnapshotCollector[S any](namespace string, snapshot func() S, metrics []SnapshotMetric[S]) prometheus.Collector {
	c := &snapshotCollector[S]{snapshot: snapshot, metrics: metrics}
	for _, m := range metrics {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(namespace+"_"+m.Name, m.Help, nil, nil))
	}
	return c
}

// Describe implements prometheus.Collector.
func (c *snapshotCollector[S]) Describe(out chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *snapshotCollector[S]) Collect(out chan<- prometheus.Metric) {
	snapshot := c.snapshot()
	for i, m := range c.metrics {
		out <- prometheus.MustNewConstMetric(c.descriptions[i], m.Type, m.Value(&snapshot))
	}
}

// BoolValue returns 1 if b is true and 0 otherwise.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
