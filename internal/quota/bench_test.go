package quota

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures one decision of a home.
func BenchmarkTake(b *testing.B) {
	ledger, now := NewLedger(), start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		ledger.Take("b", fmt.Sprint("i", i%350), 3.4, now)
	}
}

// BenchmarkPermitAtHome measures a permit with the question to the home, over a pipe, at both ends.
func BenchmarkPermitAtHome(b *testing.B) {
	f := newFleetOfGates(nil, 2)
	asker := f.nodes[0]
	if f.home("b") == asker {
		asker = f.nodes[1]
	}
	asker.gate.Observe("b", LimitOf(1e9), time.Now())
	asker.gate.Permit(context.Background(), "b")
	time.Sleep(2 * maxAskDelay) // The account of the home starts empty.
	b.ReportAllocs()
	for b.Loop() {
		if !asker.gate.Permit(context.Background(), "b").Granted() {
			b.Fatal("a permit was denied")
		}
	}
}
