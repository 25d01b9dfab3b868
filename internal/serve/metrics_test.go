package serve

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/place"
	"github.com/dragonflypond/dragonflypond/internal/spill"
)

// TestInstanceMetrics guards against a metric that shows the value of another one, and against an age of 0 for what has
// never been confirmed.
func TestInstanceMetrics(t *testing.T) {
	stats := instanceStats{
		confirmedAge: 1500 * time.Millisecond, storeOutageAge: -1, revision: 2, configurationVersion: 3, ready: true,
		openRequests: 4, liveInstances: 5, waitingShort: 6, waitingLong: 7, running: 8, engines: 9, avoidedEngines: 10,
		reservedTokens: 11, usableTokens: 12, droppedLogLines: 13, sentBytes: 14, receivedBytes: 15, engineCrashes: 16,
		unreached: 17, carriedTunnels: 18, storeEra: 19, requestCrashes: 20, otherReleases: 21, rejectedEntries: 22, adapterPanics: 23, slowEngines: 24,
		startingInstances: 25, coldBackends: 37,
		spill: place.SpillStats{
			Sent: 26, Returned: 27, LinkBytes: 28, LinkRate: 29, Age: 30 * time.Second,
			Homes: spill.Stats{Sent: 31, Received: 32, GrantedRequests: 33, Unaffordable: 34, Answers: 35, Failures: 36},
		},
	}
	tests := []struct {
		name string
		want float64
	}{
		{"records_confirmed_age_seconds", 1.5}, {"store_disturbed_age_seconds", -1}, {"records_revision", 2},
		{"configuration_version", 3}, {"ready", 1}, {"open_requests", 4}, {"instances_live", 5},
		{"placement_waiting_short", 6}, {"placement_waiting_long", 7}, {"placement_running", 8}, {"placement_engines", 9},
		{"placement_engines_avoided", 10}, {"placement_reserved_tokens", 11}, {"placement_usable_tokens", 12},
		{"log_lines_dropped_total", 13}, {"membership_sent_bytes_total", 14}, {"membership_received_bytes_total", 15},
		{"engine_crashes", 16}, {"backends_unreached", 17}, {"tunnels_carried", 18}, {"store_era", 19}, {"request_crashes", 20},
		{"instances_other_release", 21}, {"backend_entries_rejected_total", 22}, {"adapter_panics_total", 23}, {"placement_engines_slow", 24},
		{"instances_starting", 25}, {"backends_cold", 37}, {"spill_sent_total", 26}, {"spill_returned_total", 27}, {"spill_link_bytes_total", 28},
		{"spill_link_rate_bytes", 29}, {"spill_exchange_age_seconds", 30}, {"spill_decided_total", 31}, {"spill_received_total", 32},
		{"spill_granted_total", 33}, {"spill_unaffordable_total", 34}, {"spill_answers_total", 35}, {"spill_failures_total", 36},
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(metric.NewSnapshotCollector("test", func() instanceStats { return stats }, instanceMetrics))
	families, err := registry.Gather()
	if err != nil || len(families) != len(tests) {
		t.Fatalf("%d metrics, error %v; want %d", len(families), err, len(tests))
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

// TestDocumentedMetrics guards against an operators' page that names metrics which do not exist.
func TestDocumentedMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := metric.New()
	metric.NewRequests(m)
	metric.NewTraffic(m)
	newPullCounter(m)
	metric.NewConnections(m)
	metric.NewCallerLimits(m)
	metric.RegisterHeadBytes(m, func() int64 { return 0 })
	metric.RegisterConnections(m, "callers", func() int { return 0 })
	descriptions := make(chan *prometheus.Desc, 1000)
	m.Registry().Describe(descriptions)
	metric.NewSnapshotCollector(metric.Namespace, func() instanceStats { return instanceStats{} }, instanceMetrics).Describe(descriptions)
	newEvacuationCollector(nil).Describe(descriptions)
	close(descriptions)
	known := make(map[string]bool)
	for description := range descriptions {
		known[regexp.MustCompile(`fqName: "([a-z_]+)"`).FindStringSubmatch(description.String())[1]] = true
	}
	names := regexp.MustCompile(`dragonflypond_[a-z_]+[a-z]`).FindAllString(string(page), -1)
	if len(names) < 20 {
		t.Errorf("the page names %d metrics, want at least 20", len(names))
	}
	for _, name := range names {
		if !known[name] {
			t.Errorf("the page names %s, which no instance has", name)
		}
	}
}

// TestPullCounter guards against pulls from other instances that are counted as calls to the store, which are billed.
func TestPullCounter(t *testing.T) {
	m := metric.New()
	count := newPullCounter(m)
	count(feed.Upstream{Name: "store", IsStore: true}, feed.PullChanged)
	count(feed.Upstream{Name: "peer/a"}, feed.PullStale)
	count(feed.Upstream{Name: "peer/a"}, feed.PullStale)
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "dragonflypond_record_pulls_total" {
			continue
		}
		for _, series := range family.GetMetric() {
			got[series.GetLabel()[1].GetValue()+" "+series.GetLabel()[0].GetValue()] = series.GetCounter().GetValue()
		}
	}
	if len(got) != 2 || got["store changed"] != 1 || got["instance stale"] != 2 {
		t.Errorf("counts %v, want 1 of the store and 2 of instances", got)
	}
}
