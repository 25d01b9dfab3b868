package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// figures is a snapshot of what an instance believes and has to do.
type figures struct {
	confirmedAge, disturbedAge time.Duration // negative for never
	revision, version          uint64
	ready                      bool
	open                       int
	live                       int
	waitingShort, waitingLong  int
	running                    int
	engines, avoided           int
	reserved, usable           int
	dropped                    int64
	sent, received             uint64
}

// instanceFigures are the metrics of an instance's beliefs, queues and losses.
var instanceFigures = []metric.Figure[figures]{
	{Name: "records_confirmed_age_seconds", Help: "Time since the copy of the published records was known to be current; -1 for never.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return age(f.confirmedAge) }},
	{Name: "store_disturbed_age_seconds", Help: "Time since the store was last known not to answer; -1 for never.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return age(f.disturbedAge) }},
	{Name: "records_revision", Help: "Revision of the copy of the published records.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.revision) }},
	{Name: "configuration_version", Help: "Version of the configuration in effect; 0 for none.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.version) }},
	{Name: "ready", Help: "1 while callers should come to this instance.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return metric.Truth(f.ready) }},
	{Name: "open_requests", Help: "Requests in progress.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.open) }},
	{Name: "instances_live", Help: "Entry instances that this one considers live, itself included.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.live) }},
	{Name: "placement_waiting_short", Help: "Short generations that wait for an engine in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.waitingShort) }},
	{Name: "placement_waiting_long", Help: "Long generations that wait for an engine in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.waitingLong) }},
	{Name: "placement_running", Help: "Generations that run on engines of the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.running) }},
	{Name: "placement_engines", Help: "Engines in the pools of this instance.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.engines) }},
	{Name: "placement_engines_avoided", Help: "Engines that get no work because they are much slower than the others.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.avoided) }},
	{Name: "placement_reserved_tokens", Help: "Engine memory that running generations are expected to need.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.reserved) }},
	{Name: "placement_usable_tokens", Help: "Engine memory that placement may use.",
		Type: prometheus.GaugeValue, Value: func(f *figures) float64 { return float64(f.usable) }},
	{Name: "log_lines_dropped_total", Help: "Log lines that were not written, because of their rate or of a slow reader.",
		Type: prometheus.CounterValue, Value: func(f *figures) float64 { return float64(f.dropped) }},
	{Name: "membership_sent_bytes_total", Help: "Bytes of membership datagrams sent.",
		Type: prometheus.CounterValue, Value: func(f *figures) float64 { return float64(f.sent) }},
	{Name: "membership_received_bytes_total", Help: "Bytes of membership datagrams received.",
		Type: prometheus.CounterValue, Value: func(f *figures) float64 { return float64(f.received) }},
}

func age(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

func (i *Instance) figures() figures {
	now := clock.Now()
	members := i.members.Snapshot()
	f := figures{
		confirmedAge: sinceKnown(i.feed.ConfirmedAt(), now),
		disturbedAge: sinceKnown(i.feed.StoreOutageAt(), now),
		revision:     i.feed.Revision(),
		ready:        i.ready(),
		open:         i.relay.Open(),
		dropped:      i.log.DroppedLines(),
		sent:         members.SentBytes,
		received:     members.ReceivedBytes,
	}
	if catalogue := i.fleet.Catalogue(); catalogue != nil {
		f.version = catalogue.Version()
	}
	for _, instance := range members.Instances {
		if instance.State() == pond.InstanceLive {
			f.live++
		}
	}
	for _, stats := range i.placer.Stats() {
		f.waitingShort += stats.WaitingShort
		f.waitingLong += stats.WaitingLong
		f.running += stats.Running
		f.engines += stats.Engines
		f.avoided += stats.Avoided
		f.reserved += stats.Reserved
		f.usable += stats.Usable
	}
	return f
}

func sinceKnown(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// distanceOf returns how far the instance with a peer address is.
func (i *Instance) distanceOf(address string) metric.Distance {
	for _, instance := range i.members.Instances() {
		if instance.PeerAddress() == address {
			return i.fleet.Distance(i.settings.DataCentre, instance.DataCentre())
		}
	}
	return metric.DistanceUnknown
}

// pullCounter counts the questions for published records. Each question to the store is one of its calls, but for a
// snapshot, which takes one for each page.
func pullCounter(m *metric.Metrics) func(feed.Upstream, feed.PullResult) {
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
