package once

import (
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// recorder takes one call through the rules in steady state: each call drops the oldest of a constant number of records.
type recorder struct {
	core     *core
	manifest *spec.Manifest
	now      time.Time
	step     time.Duration
	serial   int
}

func newRecorder(b *testing.B, records int) *recorder {
	now := time.Unix(1000, 0)
	keys := &keyring{
		ref: pond.InstanceRef{ID: "attiki-1", Incarnation: 0xfedcba9876543210}, macKey: make([]byte, 32), started: now,
		validity: DefaultKeyValidity,
	}
	return &recorder{
		core:     &core{keys: keys, table: newTable(), limits: newLimits(), maxAnswerBytes: 1 << 30},
		manifest: manifestOf(b, 1<<30, 0, "127.0.0.1:1"),
		now:      now,
		step:     (DefaultKeyValidity + answerRetention) / time.Duration(records),
	}
}

func (r *recorder) record(b *testing.B, body []byte) {
	r.now = r.now.Add(r.step)
	r.serial++
	call := charge(r.core.keys.issue(testAccount, r.now)+":"+strconv.Itoa(r.serial), "")
	call.Body = body
	key, err := r.core.keys.parse(call.Key, testAccount)
	if err != nil {
		b.Fatal(err)
	}
	t := terms{manifest: r.manifest, confirmed: true, now: r.now}
	d := r.core.accept(&call, key, t)
	if !d.run || r.core.clear(d.record, r.now.Add(time.Minute), t) != nil {
		b.Fatal("the call was refused")
	}
	r.core.finish(d.record, result{answer: pond.Answer{Status: http.StatusOK, Body: []byte("paid")}})
}

// BenchmarkRecord measures issue, check, record, clear and finish of one call, without the send.
func BenchmarkRecord(b *testing.B) {
	body := make([]byte, 200)
	for _, records := range []int{1000, 10_000, 100_000} {
		b.Run(strconv.Itoa(records), func(b *testing.B) {
			before := heapBytes()
			r := newRecorder(b, records)
			for range records {
				r.record(b, body)
			}
			perRecord := float64(heapBytes()-before) / float64(records)
			b.ReportAllocs()
			for b.Loop() {
				r.record(b, body)
			}
			b.ReportMetric(perRecord, "heap-B/record")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCall measures one keyed call on loopback with one call at a time: run at the executor itself, forwarded and
// run, and forwarded to a record that has ended.
func BenchmarkCall(b *testing.B) {
	r := newReplica(b, false)
	x, y := pair(b, manifestOf(b, 1<<30, 0, r.address()))
	prefix := x.Issue(testAccount, time.Now())
	serial := 0
	for name, executor := range map[string]*Executor{"local": x, "forwarded": y, "repeat": y} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if name != "repeat" {
					serial++
				}
				if _, err := executor.Handle(b.Context(), charge(fmt.Sprint(prefix, ":", serial), "5 euros")); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
