package front

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// BenchmarkLimits measures the time of one admission and the memory of an account's limits with 10,000 accounts.
func BenchmarkLimits(b *testing.B) {
	const count = 10_000
	accounts := make([]spec.Account, count)
	for i := range accounts {
		accounts[i] = spec.NewAccount(fmt.Sprintf("account-%d", i), 1, 1, 1000, 1000)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var l limits
	now := time.Now()
	for _, account := range accounts {
		leave, err := l.enter(account, now)
		if err != nil {
			b.Fatal(err)
		}
		leave()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		i++
		if leave, err := l.enter(accounts[i%count], now.Add(time.Duration(i)*time.Microsecond)); err == nil {
			leave()
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/account")
}
