package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
)

// TestBackoff guards against a back-off that is shortened by a later answer, forgotten with an entry that comes back or with a start of the
// server that may have asked for it and is listed later, or applied to a start that cannot have, and against one that also keeps other
// instances from the server.
func TestBackoff(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name     string
		backoffs []time.Duration // each asked for half a second after the one before
		then     []feed.Record
		// complete is the time from the last back-off until the list was last known to be complete before the records.
		complete time.Duration
		after    time.Duration // from the first back-off
		want     bool
	}{
		{"none", nil, nil, 0, 0, false},
		{"within", []time.Duration{3 * second}, nil, 0, 2 * second, true},
		{"over", []time.Duration{3 * second}, nil, 0, 3 * second, false},
		{"lengthened", []time.Duration{second, 3 * second}, nil, 0, 3 * second, true},
		{"not shortened", []time.Duration{3 * second, second / 10}, nil, 0, 2 * second, true},
		{"new start", []time.Duration{3 * second}, []feed.Record{put("reborn", 3)}, 9 * second, 2 * second, false},
		{"new start, list complete until the word", []time.Duration{3 * second}, []feed.Record{put("reborn", 3)}, 0, 2 * second, true},
		{"new start, list not complete for long", []time.Duration{3 * second}, []feed.Record{put("reborn", 3)}, -9 * second, 2 * second, true},
		{"new start, listed a heartbeat after the word", []time.Duration{3 * second}, []feed.Record{put("reborn", 3)}, entryDelay + second/10, 2 * second, false},
		{"removed and back", []time.Duration{3 * second}, []feed.Record{{Key: "e1", Revision: 3, Deleted: true}, put("ready", 4)}, 9 * second, 2 * second, true},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		f := newTestFleet(&now)
		f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
		begun := now
		for i, backoff := range test.backoffs {
			now = begun.Add(time.Duration(i) * second / 2)
			f.ApplySignal("e1", Signal{Backoff: backoff}, SourceRequest)
		}
		f.Apply(test.then, feed.Knowledge{CompleteAt: now.Add(test.complete)})
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
// shows it, when its entry comes back after an outage of the store, and when it was a start that the list did not show yet. A start that
// cannot have said it gets requests.
func TestSignaledLeaving(t *testing.T) {
	const second = time.Second
	removed := []feed.Record{{Key: "e1", Revision: 3, Deleted: true}}
	tests := []struct {
		name string
		then []feed.Record
		// later holds records that are applied after the server has been forgotten, if it was removed.
		later []feed.Record
		// complete is the time from the word until the list was last known to be complete before the records.
		complete time.Duration
		want     bool
	}{
		{"still listed", nil, nil, 0, false},
		{"listed again", []feed.Record{put("ready", 3)}, nil, 9 * second, false},
		{"removed and back", append(slices.Clone(removed), put("ready", 4)), nil, 9 * second, false},
		{"new start", []feed.Record{put("reborn", 3)}, nil, 9 * second, true},
		{"new start, list complete until the word", []feed.Record{put("reborn", 3)}, nil, 0, false},
		{"new start, list not complete for long", []feed.Record{put("reborn", 3)}, nil, -9 * second, false},
		{"new start, listed a heartbeat after the word", []feed.Record{put("reborn", 3)}, nil, entryDelay + second/10, true},
		{"removed, forgotten and back", removed, []feed.Record{put("ready", 4)}, 9 * second, false},
		{"removed, forgotten and a new start", removed, []feed.Record{put("reborn", 4)}, 9 * second, true},
		{"removed, forgotten and a new start, list not complete", removed, []feed.Record{put("reborn", 4)}, -second, false},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		f := newTestFleet(&now)
		f.Apply([]feed.Record{put("ready", 2)}, feed.Knowledge{})
		notified := 0
		f.OnChange(func() { notified++ })
		f.ApplySignal("e1", Signal{Leaving: true}, SourceRequest)
		f.ApplySignal("e1", Signal{Leaving: true}, SourceRequest)
		if notified != 1 {
			t.Errorf("%s: %d notifications, want 1", test.name, notified)
		}
		known := feed.Knowledge{CompleteAt: now.Add(test.complete)}
		f.Apply(test.then, known)
		now = now.Add(goneRetention + second)
		f.Apply([]feed.Record{{Key: "other", Revision: 3}}, known)
		f.Apply(test.later, known)
		if f.Accepting("e1") != test.want {
			t.Errorf("%s: accepting %t, want %t", test.name, f.Accepting("e1"), test.want)
		}
	}
}

// TestLeavingOfUnlistedServer guards against a server that gets new requests although it said that it leaves in a response that came so late
// that the server was not known any more.
func TestLeavingOfUnlistedServer(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newTestFleet(&now)
	f.Apply([]feed.Record{put("ready", 2), {Key: "e1", Revision: 3, Deleted: true}}, feed.Knowledge{})
	now = now.Add(goneRetention + time.Second)
	f.Apply([]feed.Record{{Key: "other", Revision: 3}}, feed.Knowledge{})
	f.ApplySignal("e1", Signal{Leaving: true}, SourceRequest)
	f.Apply([]feed.Record{put("ready", 4)}, feed.Knowledge{CompleteAt: now.Add(9 * time.Second)})
	if f.Accepting("e1") {
		t.Error("a server that is listed again gets new requests, and has said that it leaves")
	}
}

// TestReusedAddress guards against an instance that takes a backend server for the one that had its address before, and whose entry lasts: as
// a helper it would connect others to a server that has told it that it leaves.
func TestReusedAddress(t *testing.T) {
	for range 20 { // The order of a map differs each time.
		now := time.Unix(1000, 0)
		f := newTestFleet(&now)
		f.Apply([]feed.Record{put("ready", 2), {Key: "e2", Value: []byte("reborn"), Revision: 3}}, feed.Knowledge{})
		if server, ok := f.ByAddress("10.0.0.1:1"); !ok || server.ID != "e2" {
			t.Fatalf("the address leads to %q, want the server that started last", server.ID)
		}
	}
}
