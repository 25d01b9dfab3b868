package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// statusMetrics are the values of the status page that are also exported as metrics.
var statusMetrics = []metric.SnapshotMetric[Status]{
	{Name: "manifest_number", Help: "Publisher's number of the manifest in effect.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.Manifest.Number) }},
	{Name: "manifest_confirmed", Help: "1 while new work is accepted under the manifest in effect.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return metric.BoolValue(s.Manifest.Confirmed) }},
	{Name: "manifest_invalid_total", Help: "Published values that are no valid manifest.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Manifest.Reports.Invalid) }},
	{Name: "manifest_conflicts_total", Help: "Manifests with a known number and other content.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Manifest.Reports.Conflicts) }},
	{Name: "manifest_rollbacks_total", Help: "Manifests with a lower number at a higher revision.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Manifest.Reports.Rollbacks) }},
	{Name: "config_reads_total", Help: "Calls to the configuration service.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Manifest.ServiceReads) }},
	{Name: "instances_live", Help: "Entry instances that this one considers live.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.countLive()) }},
	{Name: "backends_closed", Help: "Backend servers that accept no work.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(len(s.Closed)) }},
	{Name: "open_generations", Help: "Generations that callers wait for or read.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.Work.OpenGenerations) }},
	{Name: "call_records", Help: "Records of calls that may not be repeated.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.Work.CallRecords) }},
	{Name: "call_tombstones", Help: "Run keys that were refused and will never run.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.Work.CallTombstones) }},
	{Name: "held_answer_bytes", Help: "Answers that are held until they are complete and written, beyond a small share for each.", Type: prometheus.GaugeValue,
		Value: func(s *Status) float64 { return float64(s.Work.AnswerBytes) }},
	{Name: "answers_dropped_total", Help: "Answers that were dropped for want of room.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Work.AnswersDropped) }},
	{Name: "membership_sent_bytes_total", Help: "Bytes of membership datagrams sent.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Bytes.Sent) }},
	{Name: "membership_received_bytes_total", Help: "Bytes of membership datagrams received.", Type: prometheus.CounterValue,
		Value: func(s *Status) float64 { return float64(s.Bytes.Received) }},
}

func (s *Status) countLive() int {
	count := 0
	for _, instance := range s.Instances {
		if instance.State == pond.InstanceLive {
			count++
		}
	}
	return count
}
