package feed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTime = time.Unix(1000, 0)

func at(revision uint64) Position { return Position{Revision: revision} }

func noNumber(Record) uint64 { return 0 }

func record(key string, revision uint64) Record {
	return Record{Key: key, Value: []byte(fmt.Sprint(key, revision)), Revision: revision}
}

func deletion(key string, revision uint64) Record {
	return Record{Key: key, Revision: revision, Deleted: true}
}

// TestApply guards against a replica that goes back to older records, keeps deleted ones, or restores them.
func TestApply(t *testing.T) {
	tests := []struct {
		name     string
		batches  []Batch
		want     map[string]uint64 // key to revision
		revision uint64
	}{
		{
			name: "changes in order",
			batches: []Batch{
				{Snapshot: true, Position: at(5), Records: []Record{record("a", 3), record("b", 5)}},
				{Position: at(7), Records: []Record{record("a", 6), deletion("b", 7)}},
			},
			want: map[string]uint64{"a": 6}, revision: 7,
		},
		{
			name: "an older batch changes nothing",
			batches: []Batch{
				{Snapshot: true, Position: at(9), Records: []Record{record("a", 8)}},
				{Snapshot: true, Position: at(5), Records: []Record{record("a", 3), record("b", 5)}},
			},
			want: map[string]uint64{"a": 8}, revision: 9,
		},
		{
			name: "a snapshot removes what it does not hold",
			batches: []Batch{
				{Snapshot: true, Position: at(5), Records: []Record{record("a", 3), record("b", 5)}},
				{Snapshot: true, Position: at(8), Records: []Record{record("a", 3)}},
			},
			want: map[string]uint64{"a": 3}, revision: 8,
		},
		{
			name: "a page of a snapshot may hold a key whose deletion is already known",
			batches: []Batch{
				{Snapshot: true, Position: at(5), Records: []Record{record("a", 5)}},
				{Position: at(7), Records: []Record{deletion("a", 7)}},
				{Snapshot: true, Position: at(7), Records: []Record{record("a", 5)}},
			},
			want: map[string]uint64{}, revision: 7,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newReplica(noNumber)
			for _, batch := range test.batches {
				r.apply(batch)
			}
			if len(r.records) != len(test.want) || r.position.Revision != test.revision {
				t.Errorf("%d records at revision %d, want %d at %d", len(r.records), r.position.Revision, len(test.want), test.revision)
			}
			for key, revision := range test.want {
				if got := r.records[key].Revision; got != revision {
					t.Errorf("record %q has revision %d, want %d", key, got, revision)
				}
			}
		})
	}
}

// TestConfirmation guards against keys that stay valid because a source at a lower revision confirms the replica.
func TestConfirmation(t *testing.T) {
	r := newReplica(noNumber)
	r.apply(Batch{Snapshot: true, Position: at(9), ConfirmedAt: testTime})
	r.apply(Batch{Position: at(5), ConfirmedAt: testTime.Add(time.Minute)})
	if !r.confirmedAt.Equal(testTime) {
		t.Errorf("confirmed at %v by a source at a lower revision, want %v", r.confirmedAt, testTime)
	}
	r.apply(Batch{Position: at(9), ConfirmedAt: testTime.Add(time.Second)})
	if !r.confirmedAt.Equal(testTime.Add(time.Second)) {
		t.Errorf("confirmed at %v, want a second later", r.confirmedAt)
	}
}

// TestFollowerConverges guards against followers that diverge from their source. Random changes are applied to a model
// of the store, a replica reads it, and a follower reads the replica, each at random times and with the history dropped
// at random.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newReplica(noNumber)
		store.position.Revision = 1
		reader, follower := newReplica(noNumber), newReplica(noNumber)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				next := store.position.Revision + 1
				change := record(key, next)
				change.Deleted = rapid.Bool().Draw(t, "deleted")
				store.apply(Batch{Position: at(next), Records: []Record{change}})
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					store.history, store.historyBase = nil, store.position.Revision
				}
				reader.apply(store.changesSince(Cursor{Position: reader.position}))
			case 3:
				follower.apply(reader.changesSince(Cursor{Position: follower.position}))
			}
		}
		reader.apply(store.changesSince(Cursor{Position: reader.position}))
		follower.apply(reader.changesSince(Cursor{Position: follower.position}))
		if len(follower.records) != len(store.records) {
			t.Fatalf("the follower has %d records, the store %d", len(follower.records), len(store.records))
		}
		for key, want := range store.records {
			if got := follower.records[key]; got.Revision != want.Revision {
				t.Fatalf("record %q has revision %d at the follower, %d in the store", key, got.Revision, want.Revision)
			}
		}
	})
}

// TestHistoryBytes guards against changes of large values that fill the memory, and against followers that get no newest value when
// older ones are dropped.
func TestHistoryBytes(t *testing.T) {
	const (
		changes = 600
		size    = 448 << 10
	)
	tests := []struct {
		name string
		key  func(change int) string
		// wantSnapshot is true if a follower that lacks half of the changes gets a snapshot.
		wantSnapshot bool
		wantRecords  int
	}{
		{"one key", func(int) string { return "config" }, false, 1},
		{"one key beside small ones", func(change int) string {
			if change%2 == 0 {
				return fmt.Sprint("small", change)
			}
			return "config"
		}, false, changes/4 + 1},
		{"many keys", func(change int) string { return fmt.Sprint("config", change%20) }, true, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newReplica(noNumber)
			r.apply(Batch{Snapshot: true, Position: at(1)})
			large := make([]byte, size)
			for change := 1; change <= changes; change++ {
				record := Record{Key: test.key(change), Value: large, Revision: uint64(change) + 1}
				if strings.HasPrefix(record.Key, "small") {
					record.Value = []byte("x")
				}
				r.apply(Batch{Position: at(record.Revision), Records: []Record{record}})
				kept := 0
				for _, record := range r.history {
					kept += record.size()
				}
				if kept > historyBytes || kept != r.historySize {
					t.Fatalf("after %d changes %d bytes are kept and %d counted, at most %d allowed", change, kept, r.historySize, historyBytes)
				}
			}
			batch := r.changesSince(Cursor{Position: at(1 + changes/2)})
			if batch.Snapshot != test.wantSnapshot || len(batch.Records) != test.wantRecords {
				t.Errorf("snapshot %t of %d records, want %t, %d", batch.Snapshot, len(batch.Records), test.wantSnapshot, test.wantRecords)
			}
			if newest := r.changesSince(Cursor{Position: at(changes)}); newest.Snapshot || len(newest.Records) != 1 {
				t.Errorf("a follower that lacks the last change gets %d records, snapshot %t", len(newest.Records), newest.Snapshot)
			}
		})
	}
}

// BenchmarkApplyChange measures one change of a small value while the history is full.
func BenchmarkApplyChange(b *testing.B) {
	r := newReplica(noNumber)
	r.apply(Batch{Snapshot: true, Position: at(1)})
	revision := uint64(1)
	change := func() {
		revision++
		r.apply(Batch{Position: at(revision), Records: []Record{record(fmt.Sprint("server", revision%3000), revision)}})
	}
	for range 2 * historyLimit {
		change()
	}
	b.ReportAllocs()
	for b.Loop() {
		change()
	}
}
