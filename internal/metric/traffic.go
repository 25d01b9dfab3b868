package metric

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

//go:generate go tool enumer -type=Distance -trimprefix=Distance -transform=title-lower -output=distance_enumer.go

// Distance tells how far another process is.
type Distance int

// Distances.
const (
	DistanceUnknown Distance = iota
	DistanceSameDataCentre
	DistanceSameRegion
	DistanceOtherRegion
)

// Traffic counts the bytes that an instance exchanges, by distance.
type Traffic struct {
	peers   *prometheus.CounterVec
	answers []prometheus.Counter
}

// NewTraffic returns counters, registered with m.
func NewTraffic(m *Metrics) *Traffic {
	t := &Traffic{
		peers: counter("peer_bytes_total",
			"Bytes on connections that this instance opened to other instances, by distance and direction.", "distance", "direction"),
	}
	answers := counter("answer_bytes_total", "Bytes of answers from backend servers, by distance.", "distance")
	for _, distance := range DistanceValues() {
		t.answers = append(t.answers, answers.WithLabelValues(distance.String()))
	}
	m.registry.MustRegister(t.peers, answers)
	return t
}

// Answer returns the counter of the bytes of answers over a distance.
func (t *Traffic) Answer(distance Distance) prometheus.Counter { return t.answers[distance] }

// Conn returns a connection whose bytes are counted as traffic between instances.
func (t *Traffic) Conn(conn net.Conn, distance Distance) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     t.peers.WithLabelValues(distance.String(), "sent"),
		received: t.peers.WithLabelValues(distance.String(), "received"),
	}
}

type countedConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(float64(n))
	return n, err
}
