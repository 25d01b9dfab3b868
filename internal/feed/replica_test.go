package feed

import (
	"fmt"
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
