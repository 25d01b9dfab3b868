package front

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// BenchmarkLimits measures the time to admit one request and the memory for each account with 10,000 accounts.
func BenchmarkLimits(b *testing.B) {
	const count = 10_000
	accounts := make([]spec.Account, count)
	for i := range accounts {
		accounts[i] = spec.NewAccount(fmt.Sprintf("account-%d", i), 1, 1, 1000, 1000)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var l accountLimits
	now := time.Now()
	for _, account := range accounts {
		release, err := l.admit(account, now)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		i++
		if release, err := l.admit(accounts[i%count], now.Add(time.Duration(i)*time.Microsecond)); err == nil {
			release()
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/account")
}
