package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
)

// BenchmarkApply measures one change of a deployment with thousands of backend servers.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := newTestFleet(&now)
			var records []feed.Record
			for i := range servers {
				records = append(records, feed.Record{Key: fmt.Sprint("server", i), Value: []byte("ready"), Revision: uint64(i + 2)})
			}
			f.Apply(records, feed.Knowledge{})
			revision := uint64(servers + 2)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				f.Apply([]feed.Record{{Key: fmt.Sprint("server", revision%uint64(servers)), Value: []byte("leaving"), Revision: revision}}, feed.Knowledge{})
			}
		})
	}
}
