package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// statusMetric is one figure of the status page that is also a metric.
type statusMetric struct {
	name      string
	help      string
	valueType prometheus.ValueType
	value     func(s *Status) float64
}

var statusMetrics = []statusMetric{
	{"manifest_number", "Publisher's number of the manifest in effect.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(s.Manifest.Number) }},
	{"manifest_confirmed", "1 while new work is accepted under the manifest in effect.", prometheus.GaugeValue,
		func(s *Status) float64 { return truth(s.Manifest.Confirmed) }},
	{"manifest_invalid_total", "Published values that are no valid manifest.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Manifest.Reports.Invalid) }},
	{"manifest_conflicts_total", "Manifests with a known number and other content.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Manifest.Reports.Conflicts) }},
	{"manifest_rollbacks_total", "Manifests with a lower number at a higher revision.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Manifest.Reports.Rollbacks) }},
	{"config_reads_total", "Calls to the configuration service.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Manifest.ServiceReads) }},
	{"instances_live", "Entry instances that this one considers live.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(s.live()) }},
	{"backends_closed", "Backend servers that accept no work.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(len(s.Closed)) }},
	{"open_generations", "Generations that callers wait for or read.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(s.Work.OpenGenerations) }},
	{"call_records", "Records of calls that may not be repeated.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(s.Work.CallRecords) }},
	{"call_tombstones", "Run keys that were refused and will never run.", prometheus.GaugeValue,
		func(s *Status) float64 { return float64(s.Work.CallTombstones) }},
	{"membership_sent_bytes_total", "Bytes of membership datagrams sent.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Bytes.Sent) }},
	{"membership_received_bytes_total", "Bytes of membership datagrams received.", prometheus.CounterValue,
		func(s *Status) float64 { return float64(s.Bytes.Received) }},
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// live counts the live instances.
func (s *Status) live() int {
	live := 0
	for _, instance := range s.Instances {
		if instance.State == pond.InstanceLive {
			live++
		}
	}
	return live
}

// statusCollector exposes the status page as metrics. It implements prometheus.Collector.
type statusCollector struct {
	status       func() Status
	descriptions []*prometheus.Desc
}

func newStatusCollector(namespace string, status func() Status) *statusCollector {
	c := &statusCollector{status: status}
	for _, m := range statusMetrics {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(namespace+"_"+m.name, m.help, nil, nil))
	}
	return c
}

// Describe implements prometheus.Collector.
func (c *statusCollector) Describe(out chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *statusCollector) Collect(out chan<- prometheus.Metric) {
	status := c.status()
	for i, m := range statusMetrics {
		out <- prometheus.MustNewConstMetric(c.descriptions[i], m.valueType, m.value(&status))
	}
}
