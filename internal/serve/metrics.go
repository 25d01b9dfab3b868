package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/place"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// instanceStats is a snapshot of the state and load of an instance.
type instanceStats struct {
	confirmedAge, storeOutageAge   time.Duration // negative for never
	revision, configurationVersion uint64
	storeEra                       uint64
	ready                          bool
	openRequests                   int
	liveInstances                  int
	startingInstances              int
	otherReleases                  int
	waitingShort, waitingLong      int
	running                        int
	engines, avoidedEngines        int
	slowEngines                    int
	reservedTokens, usableTokens   int
	droppedLogLines                int64
	engineCrashes, unreached       int
	coldBackends                   int
	rejectedEntries, adapterPanics int
	requestCrashes                 int
	carriedTunnels                 int
	spill                          place.SpillStats
	sentBytes, receivedBytes       uint64
}

// instanceMetrics are the metrics that are read from instanceStats.
var instanceMetrics = []metric.SnapshotMetric[instanceStats]{
	{Name: "records_confirmed_age_seconds", Help: "Time since the copy of the published records was known to be current; -1 for never.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return ageSeconds(s.confirmedAge) }},
	{Name: "store_disturbed_age_seconds", Help: "Time since the store was last known not to answer; -1 for never.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return ageSeconds(s.storeOutageAge) }},
	{Name: "records_revision", Help: "Revision of the copy of the published records.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.revision) }},
	{Name: "store_era", Help: "Number of times that the store has come back from an older copy, as it states itself.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.storeEra) }},
	{Name: "configuration_version", Help: "Version of the configuration in effect; 0 for none.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.configurationVersion) }},
	{Name: "ready", Help: "1 while callers should come to this instance.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return metric.BoolValue(s.ready) }},
	{Name: "open_requests", Help: "Requests in progress.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.openRequests) }},
	{Name: "instances_live", Help: "Entry instances that this one considers live, itself included.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.liveInstances) }},
	{Name: "instances_starting", Help: "Other instances that are live and have not been ready for callers since their start, as they say themselves.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.startingInstances) }},
	{Name: "instances_other_release", Help: "Other instances that are of another release than this one.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.otherReleases) }},
	{Name: "placement_waiting_short", Help: "Short generations that wait for an engine in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.waitingShort) }},
	{Name: "placement_waiting_long", Help: "Long generations that wait for an engine in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.waitingLong) }},
	{Name: "placement_running", Help: "Generations that run on engines of the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.running) }},
	{Name: "placement_engines", Help: "Engines in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.engines) }},
	{Name: "placement_engines_avoided", Help: "Engines that get no work because they are much slower than the others.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.avoidedEngines) }},
	{Name: "placement_engines_slow", Help: "Engines whose tokens take longer than those of the others by themselves; long requests avoid them.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.slowEngines) }},
	{Name: "placement_reserved_tokens", Help: "Engine memory that running generations are expected to need.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.reservedTokens) }},
	{Name: "placement_usable_tokens", Help: "Engine memory that placement may use.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.usableTokens) }},
	{Name: "spill_sent_total", Help: "Generations of this instance that were sent to another region, where they start earlier.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Sent) }},
	{Name: "spill_returned_total", Help: "Generations of this instance that returned from another region without an engine.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Returned) }},
	{Name: "spill_decided_total", Help: "Generations that this instance, as the home of a pool, has sent to other regions.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.Sent) }},
	{Name: "spill_unaffordable_total", Help: "Generations that stayed because the budget of the link between regions was used up.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.Unaffordable) }},
	{Name: "spill_received_total", Help: "Generations of other regions that were offered to this instance as the home of a pool.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.Received) }},
	{Name: "spill_granted_total", Help: "Generations that this instance, as the home of a pool, has offered to take from other regions.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.GrantedRequests) }},
	{Name: "spill_answers_total", Help: "Answers of homes in other regions about what they can take.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.Answers) }},
	{Name: "spill_failures_total", Help: "Questions to homes in other regions that were not answered.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.Homes.Failures) }},
	{Name: "spill_link_bytes_total", Help: "Bytes that this instance, as a home, has charged to the link between regions.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.spill.LinkBytes) }},
	{Name: "spill_link_rate_bytes", Help: "Bytes per second that this instance, as a home, may charge to the link between regions.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return s.spill.LinkRate }},
	{Name: "spill_exchange_age_seconds", Help: "Age of the oldest figures of another region that this instance has as a home; -1 for none.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return ageSeconds(s.spill.Age) }},
	{Name: "engine_crashes", Help: "Crashes of engines under requests that this instance remembers.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.engineCrashes) }},
	{Name: "request_crashes", Help: "Crashes of backend servers under whole requests that this instance remembers.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.requestCrashes) }},
	{Name: "backends_unreached", Help: "Backend servers at which connections of this instance failed since one was reached.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.unreached) }},
	{Name: "backends_cold", Help: "Backend servers that are cold and have a limit for that time.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.coldBackends) }},
	{Name: "backend_entries_rejected_total", Help: "Published entries of backend servers that were not usable.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.rejectedEntries) }},
	{Name: "adapter_panics_total", Help: "Panics while messages of other programs were decoded.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.adapterPanics) }},
	{Name: "tunnels_carried", Help: "Connections to backend servers that this instance carries for others.",
		Type: prometheus.GaugeValue, Value: func(s *instanceStats) float64 { return float64(s.carriedTunnels) }},
	{Name: "log_lines_dropped_total", Help: "Log lines that were not written, because of their rate or of a slow reader.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.droppedLogLines) }},
	{Name: "membership_sent_bytes_total", Help: "Bytes of membership datagrams sent.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.sentBytes) }},
	{Name: "membership_received_bytes_total", Help: "Bytes of membership datagrams received.",
		Type: prometheus.CounterValue, Value: func(s *instanceStats) float64 { return float64(s.receivedBytes) }},
}

func ageSeconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

func (i *Instance) collectStats() instanceStats {
	now := clock.Now()
	members := i.members.Snapshot()
	stats := instanceStats{
		confirmedAge:    ageOf(i.feed.ConfirmedAt(), now),
		storeOutageAge:  ageOf(i.feed.StoreOutageAt(), now),
		revision:        i.feed.Revision(),
		storeEra:        i.feed.Era(),
		ready:           i.ready(),
		openRequests:    i.relay.Open(),
		droppedLogLines: i.log.DroppedLines(),
		engineCrashes:   i.hazards.Crashes(),
		requestCrashes:  i.requestHazards.Crashes(),
		unreached:       i.dialer.Unreached(),
		rejectedEntries: i.fleet.RejectedEntries(),
		adapterPanics:   int(i.container.panics.Load()),
		carriedTunnels:  i.tunnels.Carried(),
		spill:           i.placer.SpillStats(),
		sentBytes:       members.SentBytes,
		receivedBytes:   members.ReceivedBytes,
	}
	if catalogue := i.fleet.Catalogue(); catalogue != nil {
		stats.configurationVersion = catalogue.Version()
		for _, service := range catalogue.Services() {
			stats.coldBackends += len(i.fleet.ColdBackends(service.Name))
		}
	}
	for _, instance := range members.Instances {
		if instance.State() == pond.InstanceLive {
			stats.liveInstances++
			if instance.Starting() && instance.ID() != members.Self.ID() {
				stats.startingInstances++
			}
		}
	}
	for _, release := range i.members.Releases() {
		if release.Number != peerpb.Release {
			stats.otherReleases++
		}
	}
	for _, pool := range i.placer.Stats() {
		stats.waitingShort += pool.WaitingShort
		stats.waitingLong += pool.WaitingLong
		stats.running += pool.Running
		stats.engines += pool.Engines
		stats.avoidedEngines += pool.Avoided
		stats.slowEngines += pool.Slow
		stats.reservedTokens += pool.Reserved
		stats.usableTokens += pool.Usable
	}
	return stats
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// distanceTo returns the distance to the instance with the given peer address.
func (i *Instance) distanceTo(address string) metric.Distance {
	for _, instance := range i.members.Instances() {
		if instance.PeerAddress() == address {
			return i.fleet.Distance(i.settings.DataCentre, instance.DataCentre())
		}
	}
	return metric.DistanceUnknown
}

// newPullCounter returns a function that counts pulls of published records. Each pull from the store is one call to it,
// except for a snapshot, which takes one call for each page.
func newPullCounter(m *metric.Metrics) func(feed.Upstream, feed.PullResult) {
	pulls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metric.Namespace, Name: "record_pulls_total",
		Help: "Questions for published records, by kind of source and result.",
	}, []string{"source", "result"})
	m.Registry().MustRegister(pulls)
	return func(upstream feed.Upstream, result feed.PullResult) {
		source := "instance"
		if upstream.IsStore {
			source = "store"
		}
		pulls.WithLabelValues(source, result.String()).Inc()
	}
}
