package fleet

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
)

// TestBackoff guards against a back-off that is shortened by a later answer, forgotten with an entry that comes back, or
// applied to another start of the server, and against one that also keeps other instances from the server.
func TestBackoff(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name     string
		backoffs []time.Duration // each asked for half a second after the one before
		then     []feed.Record
		after    time.Duration // from the first back-off
		want     bool
	}{
		{"none", nil, nil, 0, false},
		{"within", []time.Duration{3 * second}, nil, 2 * second, true},
		{"over", []time.Duration{3 * second}, nil, 3 * second, false},
		{"lengthened", []time.Duration{second, 3 * second}, nil, 3 * second, true},
		{"not shortened", []time.Duration{3 * second, second / 10}, nil, 2 * second, true},
		{"new start", []time.Duration{3 * second}, []feed.Record{put("reborn", 3)}, 2 * second, false},
		{"removed and back", []time.Duration{3 * second}, []feed.Record{{Key: "e1", Revision: 3, Deleted: true}, put("ready", 4)}, 2 * second, true},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		f := newTestFleet(&now)
		f.Apply([]feed.Record{put("ready", 2)}, time.Time{})
		begun := now
		for i, backoff := range test.backoffs {
			now = begun.Add(time.Duration(i) * second / 2)
			f.ApplySignal("e1", Signal{Backoff: backoff}, SourceRequest)
		}
		f.Apply(test.then, time.Time{})
		now = begun.Add(test.after)
		_, backingOff := f.BackoffUntil("e1")
		ids, _ := f.BackingOff("llm")
		if backingOff != test.want || (len(ids) == 1) != test.want || !f.Accepting("e1") {
			t.Errorf("%s: backingOff %t, listed %v, accepting %t; want %t and accepting", test.name, backingOff, ids, f.Accepting("e1"), test.want)
		}
	}
	now := time.Unix(1000, 0)
	if f := newTestFleet(&now); f.ApplySignal("unknown", Signal{Backoff: second}, SourceRequest) {
		t.Error("a back-off of a server that is not known is kept")
	}
}

// TestSignaledLeaving guards against a server that gets new requests although it said that it leaves: while the list still
// shows it, and when its entry comes back after an outage of the store.
func TestSignaledLeaving(t *testing.T) {
	tests := []struct {
		name string
		then []feed.Record
		// later holds records that are applied after the server has been forgotten, if it was removed.
		later []feed.Record
		want  bool
	}{
		{"still listed", nil, nil, false},
		{"listed again", []feed.Record{put("ready", 3)}, nil, false},
		{"removed and back", []feed.Record{{Key: "e1", Revision: 3, Deleted: true}, put("ready", 4)}, nil, false},
		{"new start", []feed.Record{put("reborn", 3)}, nil, true},
		{"removed, forgotten and back", []feed.Record{{Key: "e1", Revision: 3, Deleted: true}}, []feed.Record{put("ready", 4)}, false},
		{"removed, forgotten and a new start", []feed.Record{{Key: "e1", Revision: 3, Deleted: true}}, []feed.Record{put("reborn", 4)}, true},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		f := newTestFleet(&now)
		f.Apply([]feed.Record{put("ready", 2)}, time.Time{})
		notified := 0
		f.OnChange(func() { notified++ })
		f.ApplySignal("e1", Signal{Leaving: true}, SourceRequest)
		f.ApplySignal("e1", Signal{Leaving: true}, SourceRequest)
		if notified != 1 {
			t.Errorf("%s: %d notifications, want 1", test.name, notified)
		}
		f.Apply(test.then, time.Time{})
		now = now.Add(goneRetention + time.Second)
		f.Apply([]feed.Record{{Key: "other", Revision: 3}}, time.Time{})
		f.Apply(test.later, time.Time{})
		if f.Accepting("e1") != test.want {
			t.Errorf("%s: accepting %t, want %t", test.name, f.Accepting("e1"), test.want)
		}
	}
}
