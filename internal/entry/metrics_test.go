package entry

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/watch"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestStatusMetrics guards against a status value that is missing from the metrics, and against a metric that exports
// the value of another one.
func TestStatusMetrics(t *testing.T) {
	status := Status{
		Manifest: ManifestStatus{
			Number: 7, Confirmed: true, ServiceReads: 5,
			Reports: watch.ManifestFaults{Invalid: 2, Conflicts: 3, Rollbacks: 4},
		},
		Instances: []InstanceStatus{{State: pond.InstanceLive}, {State: pond.InstanceLeaving}},
		Closed:    []string{"a", "b"},
		Work:      WorkStatus{OpenGenerations: 6, CallRecords: 8, CallTombstones: 9, AnswerBytes: 12, AnswersDropped: 13},
		Bytes:     MembershipTraffic{Sent: 10, Received: 11},
	}
	tests := []struct {
		name string
		want float64
	}{
		{name: "manifest_number", want: 7},
		{name: "manifest_confirmed", want: 1},
		{name: "manifest_invalid_total", want: 2},
		{name: "manifest_conflicts_total", want: 3},
		{name: "manifest_rollbacks_total", want: 4},
		{name: "config_reads_total", want: 5},
		{name: "instances_live", want: 1},
		{name: "backends_closed", want: 2},
		{name: "open_generations", want: 6},
		{name: "call_records", want: 8},
		{name: "call_tombstones", want: 9},
		{name: "held_answer_bytes", want: 12},
		{name: "answers_dropped_total", want: 13},
		{name: "membership_sent_bytes_total", want: 10},
		{name: "membership_received_bytes_total", want: 11},
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(metric.NewSnapshotCollector("test", func() Status { return status }, statusMetrics))
	if got, err := testutil.GatherAndCount(registry); err != nil || got != len(tests) {
		t.Fatalf("%d metrics, error %v; want %d", got, err, len(tests))
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		m := family.GetMetric()[0]
		values[family.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	for _, test := range tests {
		if got := values["test_"+test.name]; got != test.want {
			t.Errorf("%s: got %g, want %g", test.name, got, test.want)
		}
	}
}
