package metric

import "github.com/prometheus/client_golang/prometheus"

// Figure is one number of a snapshot S that is also a metric.
type Figure[S any] struct {
	Name, Help string
	Type       prometheus.ValueType
	Value      func(s *S) float64
}

// figures exposes the figures of a snapshot. It implements prometheus.Collector.
type figures[S any] struct {
	snapshot     func() S
	figures      []Figure[S]
	descriptions []*prometheus.Desc
}

// NewFigures returns a collector that takes one snapshot for each question. All its figures are of the same moment.
func NewFigures[S any](namespace string, snapshot func() S, list []Figure[S]) prometheus.Collector {
	c := &figures[S]{snapshot: snapshot, figures: list}
	for _, f := range list {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(namespace+"_"+f.Name, f.Help, nil, nil))
	}
	return c
}

// Describe implements prometheus.Collector.
func (c *figures[S]) Describe(out chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *figures[S]) Collect(out chan<- prometheus.Metric) {
	snapshot := c.snapshot()
	for i, f := range c.figures {
		out <- prometheus.MustNewConstMetric(c.descriptions[i], f.Type, f.Value(&snapshot))
	}
}

// Truth returns 1 for true and 0 for false.
func Truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
