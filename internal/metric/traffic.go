package metric

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

//go:generate go tool enumer -type=Distance -trimprefix=Distance -transform=title-lower -output=distance_enumer.go

// Distance is how far away another process is.
type Distance int

// Distances, in ascending order after DistanceUnknown.
const (
	DistanceUnknown Distance = iota
	DistanceSameDataCentre
	DistanceSameRegion
	DistanceOtherRegion
)

// Traffic counts the bytes exchanged with other instances and received from backend servers, by distance.
type Traffic struct {
	peerBytes     *prometheus.CounterVec
	responseBytes []prometheus.Counter
}

// NewTraffic returns traffic counters that are registered with m.
func NewTraffic(m *Metrics) *Traffic {
	t := &Traffic{
		peerBytes: newCounter("peer_bytes_total",
			"Bytes on connections that this instance opened to other instances, by distance and direction.", "distance", "direction"),
	}
	responseBytes := newCounter("answer_bytes_total", "Bytes of answers from backend servers, by distance.", "distance")
	for _, distance := range DistanceValues() {
		t.responseBytes = append(t.responseBytes, responseBytes.WithLabelValues(distance.String()))
	}
	m.registry.MustRegister(t.peerBytes, responseBytes)
	return t
}

// NewConnections returns a counter of attempts to connect to backend servers by result, registered with m.
func NewConnections(m *Metrics) *prometheus.CounterVec {
	connections := newCounter("backend_connections_total", "Attempts to connect to backend servers, by result.", "result")
	m.registry.MustRegister(connections)
	return connections
}

// ResponseBytes returns the counter for the bytes of responses from backend servers at a distance.
func (t *Traffic) ResponseBytes(d Distance) prometheus.Counter { return t.responseBytes[d] }

// CountConn wraps a connection to another instance so that its bytes are counted.
func (t *Traffic) CountConn(conn net.Conn, distance Distance) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     t.peerBytes.WithLabelValues(distance.String(), "sent"),
		received: t.peerBytes.WithLabelValues(distance.String(), "received"),
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
