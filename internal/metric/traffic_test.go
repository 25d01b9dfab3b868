package metric

import (
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestTraffic guards against bytes that are counted for the wrong direction or distance.
func TestTraffic(t *testing.T) {
	traffic := NewTraffic(New())
	near, far := net.Pipe()
	counted := traffic.CountConn(near, DistanceOtherRegion)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 3))
		_, _ = far.Write([]byte("answer"))
		_ = far.Close()
	}()
	if _, err := counted.Write([]byte("ask")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(counted); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		direction string
		want      float64
	}{{"sent", 3}, {"received", 6}}
	for _, test := range tests {
		if got := testutil.ToFloat64(traffic.peerBytes.WithLabelValues("otherRegion", test.direction)); got != test.want {
			t.Errorf("%g bytes %s, want %g", got, test.direction, test.want)
		}
	}
	traffic.ResponseBytes(DistanceSameRegion).Add(7)
	if got := testutil.ToFloat64(traffic.ResponseBytes(DistanceSameRegion)); got != 7 {
		t.Errorf("%g bytes of responses, want 7", got)
	}
}
