package fleet

import (
	"errors"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// fakeDecoder decodes the value of a record: "ready", "leaving", "reborn" (a new start) or "first start, leaving" for a backend server, and the
// version of a catalogue under the key "catalogue". Any other value is an invalid entry.
type fakeDecoder struct{}

func (fakeDecoder) Catalogue(record feed.Record) (*route.Catalogue, error) {
	if record.Key != "catalogue" {
		return nil, nil
	}
	return route.New(route.Content{
		Version:  uint64(record.Value[0]),
		Services: []route.Service{{Name: "llm", Engine: &route.EngineSpec{Slots: 4, MemoryTokens: 1000, SupportsMoves: true, TokenBytes: 1000, LinkBitsPerSecond: 8e9}}},
	}), nil
}

// Evacuation takes the data centre from a key "evacuate/NAME".
func (fakeDecoder) Evacuation(record feed.Record) (string, bool) {
	return strings.CutPrefix(record.Key, "evacuate/")
}

func (fakeDecoder) Backend(record feed.Record) (route.Backend, bool, error) {
	if record.Key == "catalogue" || strings.HasPrefix(record.Key, "evacuate/") {
		return route.Backend{}, false, nil
	}
	backend := route.Backend{ID: record.Key, Service: "llm", Address: "10.0.0.1:1", DataCentre: "north-a"}
	switch string(record.Value) {
	case "ready", "":
	case "leaving":
		backend.Leaving = true
	case "reborn":
		backend.StartedAtMillis = 2
	case "first start, leaving":
		backend.StartedAtMillis, backend.Leaving = 1, true
	default:
		return backend, true, errors.New("damaged")
	}
	return backend, true, nil
}

// put returns a record of the backend server e1.
func put(value string, revision uint64) feed.Record {
	return feed.Record{Key: "e1", Value: []byte(value), Revision: revision}
}

func newTestFleet(now *time.Time) *Fleet {
	return newTestFleetWithClock(func() time.Time { return *now })
}

func newTestFleetWithClock(clock func() time.Time) *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Options{
		Decoder: fakeDecoder{}, Regions: map[string][]string{"north": {"north-a"}},
		Clock: clock, Log: log,
	})
	f.Apply([]feed.Record{{Key: "catalogue", Value: []byte{1}, Revision: 1}}, feed.Knowledge{})
	return f
}

// TestEntriesOfOlderCopy guards against work for a backend server that has left or is leaving, because the store has come back from an
// older copy that lists it as ready, and against dropping one that is alive and missing in the copy.
func TestEntriesOfOlderCopy(t *testing.T) {
	restored := func(value string) feed.Record {
		return feed.Record{Key: "e1", Value: []byte(value), Revision: 2, Restored: true}
	}
	gone := feed.Record{Key: "e1", Revision: 9, Deleted: true}
	tests := []struct {
		name      string
		before    []feed.Record
		after     []feed.Record
		want      bool
		wantLater bool // three seconds later
	}{
		{"ready", []feed.Record{put("ready", 5)}, []feed.Record{restored("ready")}, true, true},
		{"leaving, ready in the copy", []feed.Record{put("leaving", 5)}, []feed.Record{restored("ready")}, false, false},
		{"leaving, ready again in the same era", []feed.Record{put("leaving", 5), put("ready", 6)}, nil, false, false},
		{"leaving, then started anew", []feed.Record{put("leaving", 5)}, []feed.Record{put("reborn", 3)}, true, true},
		{"gone, ready in the copy", []feed.Record{put("ready", 5), gone}, []feed.Record{restored("ready")}, false, false},
		{"gone, ready in the copy until the entry expires", []feed.Record{put("ready", 5), gone}, []feed.Record{restored("ready"), gone}, false, false},
		{"gone, registered again after the return", []feed.Record{put("ready", 5), gone}, []feed.Record{restored("ready"), put("ready", 3)}, true, true},
		{"a later start than in the copy", []feed.Record{put("reborn", 5)}, []feed.Record{restored("first start, leaving")}, true, true},
		{"missing in the copy", []feed.Record{put("ready", 5)}, []feed.Record{{Key: "e1", Revision: 2, Deleted: true, Restored: true}}, true, false},
		{"removed since the copy was made", []feed.Record{put("ready", 5)}, []feed.Record{{Key: "e1", Revision: 2, Deleted: true}}, false, false},
		{"missing in the copy, then registered again", []feed.Record{put("ready", 5)},
			[]feed.Record{{Key: "e1", Revision: 2, Deleted: true, Restored: true}, put("ready", 3)}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := newTestFleet(&now)
			f.Apply(test.before, feed.Knowledge{})
			f.Apply(test.after, feed.Knowledge{})
			if got := f.Accepting("e1"); got != test.want {
				t.Errorf("accepting %v, want %v", got, test.want)
			}
			now = now.Add(3 * time.Second)
			if got := f.Accepting("e1"); got != test.wantLater {
				t.Errorf("accepting %v three seconds later, want %v", got, test.wantLater)
			}
		})
	}
}

// TestHeldServerIsUsedAgain guards against a backend server that is alive and never used again, because it was listed anew before the
// older copy of the store was read: its entry is not written again.
func TestHeldServerIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleetWithClock(time.Now)
		var changes atomic.Int32
		f.OnChange(func() { changes.Add(1) })
		f.Apply([]feed.Record{put("ready", 5), {Key: "e1", Revision: 9, Deleted: true}}, feed.Knowledge{})
		f.Apply([]feed.Record{{Key: "e1", Value: []byte("ready"), Revision: 3, Restored: true}}, feed.Knowledge{StoreOutageAt: time.Now()})
		time.Sleep(restoredHold + time.Millisecond)
		synctest.Wait()
		if !f.Accepting("e1") || changes.Load() != 3 {
			t.Errorf("accepting %v after the hold, %d changes told; want true and three", f.Accepting("e1"), changes.Load())
		}
	})
}

// TestAccepting guards against new work for a backend server that leaves, is gone or reports that it leaves, and
// against dropping one whose entry only expired during a store outage.
func TestAccepting(t *testing.T) {
	gone := feed.Record{Key: "e1", Revision: 9, Deleted: true}
	tests := []struct {
		name      string
		steps     func(f *Fleet, now time.Time)
		want      bool
		wantLater bool // three seconds later
	}{
		{"ready", func(f *Fleet, _ time.Time) { f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{}) }, true, true},
		{"leaving", func(f *Fleet, _ time.Time) {
			f.Apply([]feed.Record{put("ready", 2), put("leaving", 3)}, feed.Knowledge{})
		}, false, false},
		{"gone without notice", func(f *Fleet, _ time.Time) { f.Apply([]feed.Record{put("ready", 2), gone}, feed.Knowledge{}) }, false, false},
		{"expired in an outage", func(f *Fleet, now time.Time) {
			f.Apply([]feed.Record{put("ready", 2), gone}, feed.Knowledge{StoreOutageAt: now})
		}, true, false},
		{"expired and registered again", func(f *Fleet, now time.Time) {
			f.Apply([]feed.Record{put("ready", 2), gone, put("ready", 10)}, feed.Knowledge{StoreOutageAt: now})
		}, true, true},
		{"leaving, then expired in an outage", func(f *Fleet, now time.Time) {
			f.Apply([]feed.Record{put("leaving", 2), gone}, feed.Knowledge{StoreOutageAt: now})
		}, false, false},
		{"reports that it leaves", func(f *Fleet, _ time.Time) {
			f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
			f.MarkLeaving("e1")
		}, false, false},
		{"started again after it reported that it leaves", func(f *Fleet, _ time.Time) {
			f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
			f.MarkLeaving("e1")
			f.Apply([]feed.Record{put("reborn", 3)}, feed.Knowledge{})
		}, true, true},
		{"invalid entry", func(f *Fleet, _ time.Time) { f.Apply([]feed.Record{put("ready", 2), put("?", 3)}, feed.Knowledge{}) }, false, false},
		{"written again after an invalid entry", func(f *Fleet, _ time.Time) {
			f.Apply([]feed.Record{put("ready", 2), put("?", 3), put("ready", 4)}, feed.Knowledge{})
		}, true, true},
		{"invalid entry of another server", func(f *Fleet, _ time.Time) {
			f.Apply([]feed.Record{put("ready", 2), {Key: "e2", Value: []byte("?"), Revision: 3}}, feed.Knowledge{})
			if got := f.RejectedEntries(); got != 1 {
				t.Errorf("%d entries rejected, want 1", got)
			}
		}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := newTestFleet(&now)
			test.steps(f, now)
			if got := f.Accepting("e1"); got != test.want {
				t.Errorf("accepting %v, want %v", got, test.want)
			}
			now = now.Add(3 * time.Second)
			if got := f.Accepting("e1"); got != test.wantLater {
				t.Errorf("accepting %v three seconds later, want %v", got, test.wantLater)
			}
			if _, known := f.Backend("e1"); !known {
				t.Error("the backend server is unknown, so its runs cannot be moved away")
			}
		})
	}
}

// TestConfigurationOrder guards against a configuration that is replaced by an older version.
func TestConfigurationOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newTestFleet(&now)
	for _, version := range []byte{5, 3, 5} {
		f.Apply([]feed.Record{{Key: "catalogue", Value: []byte{version}, Revision: uint64(10 + version)}}, feed.Knowledge{})
	}
	if got := f.Catalogue().Version(); got != 5 {
		t.Errorf("version %d in effect, want 5", got)
	}
}

// TestManifest guards against a manifest that differs from the listed engines and their limits.
func TestManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newTestFleet(&now)
	f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
	backends := f.Current().Backends()
	if len(backends) != 1 || backends[0].Region() != "north" || backends[0].MaxRunning() != 4 || backends[0].Leaving() {
		t.Errorf("engines %+v, want e1 in north with 4 slots", backends)
	}
	if got := f.Current().Policy().TokenCopyTime(); got != time.Microsecond {
		t.Errorf("a token takes %v to copy, want 1 µs: 1,000 bytes over 8 Gbit/s", got)
	}
}

// TestSuspend guards against new work for a backend server that does not answer although it is listed, against
// suspending the last one of a service, and against suspensions that outlast an answer or a new start.
func TestSuspend(t *testing.T) {
	tests := []struct {
		name   string
		others bool // another backend server of the service is ready
		after  func(f *Fleet, now *time.Time)
		want   bool
	}{
		{"suspended", true, func(*Fleet, *time.Time) {}, false},
		{"suspension over", true, func(_ *Fleet, now *time.Time) { *now = now.Add(2 * time.Second) }, true},
		{"answers again", true, func(f *Fleet, _ *time.Time) { f.Resume("e1") }, true},
		{"started again", true, func(f *Fleet, _ *time.Time) { f.Apply([]feed.Record{put("reborn", 9)}, feed.Knowledge{}) }, true},
		{"entry unchanged", true, func(f *Fleet, _ *time.Time) { f.Apply([]feed.Record{put("ready", 9)}, feed.Knowledge{}) }, false},
		{"the only one", false, func(*Fleet, *time.Time) {}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := newTestFleet(&now)
			records := []feed.Record{put("ready", 2)}
			if test.others {
				records = append(records, feed.Record{Key: "e2", Value: []byte("ready"), Revision: 3})
			}
			f.Apply(records, feed.Knowledge{})
			changes := 0
			f.OnChange(func() { changes++ })
			if !f.Suspend("e1", now.Add(time.Second)) {
				t.Error("a listed backend server counts as not listed")
			}
			if test.others && changes != 1 {
				t.Errorf("%d changes announced, want 1", changes)
			}
			test.after(f, &now)
			listed := f.AcceptingBackends("llm")
			inList := slices.ContainsFunc(listed, func(b route.Backend) bool { return b.ID == "e1" })
			if got := f.Accepting("e1"); got != test.want || inList != test.want {
				t.Errorf("accepting %t, in the list %t, want %t", got, inList, test.want)
			}
		})
	}
	now := time.Unix(1000, 0)
	// Both backend servers do not answer, and the other one leaves meanwhile. Found by soak seed 118: all engines stayed
	// suspended, and a third of the requests was refused.
	f := newTestFleet(&now)
	f.Apply([]feed.Record{put("ready", 2), {Key: "e2", Value: []byte("ready"), Revision: 3}}, feed.Knowledge{})
	f.Suspend("e1", now.Add(time.Second))
	f.Apply([]feed.Record{{Key: "e2", Value: []byte("leaving"), Revision: 4}}, feed.Knowledge{})
	if f.Suspend("e1", now.Add(2*time.Second)); !f.Accepting("e1") {
		t.Error("the last backend server stays suspended")
	}
	if newTestFleet(&now).Suspend("unknown", now) {
		t.Error("an unknown backend server counts as listed")
	}
}

// TestManifestIsBuiltOnDemand guards against a change that is missing in the manifest, and against thousands of backend servers whose changes take all
// the time of the process.
func TestManifestIsBuiltOnDemand(t *testing.T) {
	tests := []struct {
		name  string
		took  time.Duration // by the build before the change
		after time.Duration // from that build to the question
		want  bool          // the change is known
	}{
		{"cheap", time.Millisecond, 0, true},
		{"expensive, at once", 20 * time.Millisecond, 59 * time.Millisecond, false},
		{"expensive, later", 20 * time.Millisecond, 60 * time.Millisecond, true},
		{"very expensive, later", time.Second, 250 * time.Millisecond, true},
		{"the clock was set back", time.Second, -time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now, step := time.Unix(1000, 0), time.Duration(0)
			f := newTestFleetWithClock(func() time.Time {
				now = now.Add(step)
				return now
			})
			f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
			step = test.took / 2 // The clock is read when the build begins, within it, and at its end.
			if _, known := f.Current().Backend("e1"); !known {
				t.Fatal("the first manifest lacks the backend server")
			}
			step = 0
			now = now.Add(test.after)
			f.Apply([]feed.Record{put("leaving", 3)}, feed.Knowledge{})
			backend, _ := f.Current().Backend("e1")
			if backend.Leaving() != test.want {
				t.Errorf("the manifest says that the backend server leaves: %t, want %t", backend.Leaving(), test.want)
			}
		})
	}
}
