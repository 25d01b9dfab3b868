package metric

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestCardinality guards against a number of time series that grows with the priorities in a manifest.
func TestCardinality(t *testing.T) {
	m := New()
	for priority := -100; priority < 10_000; priority++ {
		for _, class := range pond.ClassValues() {
			m.ForClass(priority, class).FirstToken.Observe(1)
		}
	}
	if got, want := testutil.CollectAndCount(m.firstToken), (maxPriorityLevel+1)*len(pond.ClassValues()); got != want {
		t.Errorf("%d series, want %d", got, want)
	}
}
