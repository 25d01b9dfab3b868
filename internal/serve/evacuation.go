package serve

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/metric"
)

// evacuationCollector exports which data centres are evacuated and what still runs there. It implements prometheus.Collector.
type evacuationCollector struct {
	instance      *Instance
	age, requests *prometheus.Desc
}

func newEvacuationCollector(i *Instance) *evacuationCollector {
	labels := []string{"data_centre"}
	return &evacuationCollector{
		instance: i,
		age: prometheus.NewDesc(metric.Namespace+"_evacuation_age_seconds",
			"Time since this instance learned that a data centre is evacuated.", labels, nil),
		requests: prometheus.NewDesc(metric.Namespace+"_evacuation_requests",
			"Requests of this instance that backend servers in an evacuated data centre may be working on.", labels, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *evacuationCollector) Describe(out chan<- *prometheus.Desc) { out <- c.age; out <- c.requests }

// Collect implements prometheus.Collector.
func (c *evacuationCollector) Collect(out chan<- prometheus.Metric) {
	evacuations := c.instance.fleet.Evacuations()
	if len(evacuations) == 0 {
		return
	}
	requests := make(map[string]int)
	for id, n := range c.instance.relay.OpenByBackend() {
		if server, ok := c.instance.fleet.Backend(id); ok {
			requests[server.DataCentre] += n
		}
	}
	now := clock.Now()
	for dataCentre, since := range evacuations {
		out <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, now.Sub(since).Seconds(), dataCentre)
		out <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(requests[dataCentre]), dataCentre)
	}
}

// evacuatedAddress returns the ID of the backend server with an address, and whether its data centre is evacuated.
func (i *Instance) evacuatedAddress(address string) (backend string, evacuated bool) {
	server, known := i.fleet.ByAddress(address)
	return server.ID, known && i.fleet.Evacuated(server.DataCentre)
}
