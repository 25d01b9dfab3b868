package calls

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

// recorder runs calls through the state machine at a constant number of records: each call evicts the oldest one.
type recorder struct {
	machine  *stateMachine
	manifest *spec.Manifest
	now      time.Time
	step     time.Duration
	serial   int
}

func newRecorder(b *testing.B, records int) *recorder {
	now := time.Unix(1000, 0)
	keys := &keyIssuer{
		ref: pond.InstanceRef{ID: "attiki-1", Incarnation: 0xfedcba9876543210}, macKey: make([]byte, 32), started: now,
		validity: DefaultKeyValidity,
	}
	return &recorder{
		machine:  &stateMachine{keys: keys, table: newRecordTable(), limits: newLimits(), maxAnswerBytes: 1 << 30},
		manifest: manifestOf(b, 1<<30, 0, "127.0.0.1:1"),
		now:      now,
		step:     (DefaultKeyValidity + answerRetention) / time.Duration(records),
	}
}

func (r *recorder) record(b *testing.B, body []byte) {
	r.now = r.now.Add(r.step)
	r.serial++
	call := chargeCall(r.machine.keys.issue(testAccount, r.now)+":"+strconv.Itoa(r.serial), "")
	call.Body = body
	key, err := r.machine.keys.parse(call.Key, testAccount)
	if err != nil {
		b.Fatal(err)
	}
	snap := snapshot{manifest: r.manifest, confirmed: true, now: r.now}
	d := r.machine.admit(&call, key, snap)
	if !d.mustSend || r.machine.checkSend(d.record, r.now.Add(time.Minute), snap) != nil {
		b.Fatal("the call was refused")
	}
	r.machine.finish(d.record, result{answer: pond.Answer{Status: http.StatusOK, Body: []byte("paid")}})
}

// BenchmarkRecord measures one call from issuing its key to storing its result, without the send.
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

// BenchmarkCall measures sequential keyed calls over loopback: handled by the executor itself, forwarded to it, and
// forwarded as repeats of a finished call.
func BenchmarkCall(b *testing.B) {
	r := newFakeReplica(b, false)
	x, y := startPair(b, manifestOf(b, 1<<30, 0, r.address()))
	prefix := x.Issue(testAccount, time.Now())
	serial := 0
	for name, executor := range map[string]*Executor{"local": x, "forwarded": y, "repeat": y} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if name != "repeat" {
					serial++
				}
				if _, err := executor.Handle(b.Context(), chargeCall(fmt.Sprint(prefix, ":", serial), "5 euros")); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
