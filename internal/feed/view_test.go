package feed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func record(key string, revision uint64) Record {
	return Record{Key: key, Value: []byte(fmt.Sprint(key, revision)), Revision: revision}
}

func deletion(key string, revision uint64) Record {
	return Record{Key: key, Revision: revision, Deleted: true}
}

// TestApply guards against a copy that goes back to older records, and against a confirmation by a source that is behind.
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
				{Snapshot: true, Revision: 5, Records: []Record{record("a", 3), record("b", 5)}},
				{Revision: 7, Records: []Record{record("a", 6), deletion("b", 7)}},
			},
			want: map[string]uint64{"a": 6}, revision: 7,
		},
		{
			name: "an older batch changes nothing",
			batches: []Batch{
				{Snapshot: true, Revision: 9, Records: []Record{record("a", 8)}},
				{Snapshot: true, Revision: 5, Records: []Record{record("a", 3), record("b", 5)}},
			},
			want: map[string]uint64{"a": 8}, revision: 9,
		},
		{
			name: "a snapshot removes what it does not hold",
			batches: []Batch{
				{Snapshot: true, Revision: 5, Records: []Record{record("a", 3), record("b", 5)}},
				{Snapshot: true, Revision: 8, Records: []Record{record("a", 3)}},
			},
			want: map[string]uint64{"a": 3}, revision: 8,
		},
		{
			name: "a page of a snapshot may hold a key whose deletion is known",
			batches: []Batch{
				{Snapshot: true, Revision: 5, Records: []Record{record("a", 5)}},
				{Revision: 7, Records: []Record{deletion("a", 7)}},
				{Snapshot: true, Revision: 7, Records: []Record{record("a", 5)}},
			},
			want: map[string]uint64{}, revision: 7,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := newView()
			for _, batch := range test.batches {
				v.apply(batch)
			}
			if len(v.records) != len(test.want) || v.revision != test.revision {
				t.Errorf("%d records at revision %d, want %d at %d", len(v.records), v.revision, len(test.want), test.revision)
			}
			for key, revision := range test.want {
				if got := v.records[key].Revision; got != revision {
					t.Errorf("record %q has revision %d, want %d", key, got, revision)
				}
			}
		})
	}
}

// TestConfirmation guards against keys that stay valid by the word of a source that knows less than this copy.
func TestConfirmation(t *testing.T) {
	v := newView()
	v.apply(Batch{Snapshot: true, Revision: 9, ConfirmedAt: epoch})
	v.apply(Batch{Revision: 5, ConfirmedAt: epoch.Add(time.Minute)})
	if !v.confirmedAt.Equal(epoch) {
		t.Errorf("confirmed at %v by a source that is behind, want %v", v.confirmedAt, epoch)
	}
	v.apply(Batch{Revision: 9, ConfirmedAt: epoch.Add(time.Second)})
	if !v.confirmedAt.Equal(epoch.Add(time.Second)) {
		t.Errorf("confirmed at %v, want a second later", v.confirmedAt)
	}
}

// TestFollow guards against followers that differ from their source: a model of the store is changed at random, a copy
// reads it, and a follower reads the copy, each at random times and with the history cut at random.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newView()
		store.revision = 1
		copied, follower := newView(), newView()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				next := store.revision + 1
				change := record(key, next)
				change.Deleted = rapid.Bool().Draw(t, "deleted")
				store.apply(Batch{Revision: next, Records: []Record{change}})
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
					store.history, store.base = nil, store.revision
				}
				copied.apply(store.since(copied.revision))
			case 3:
				follower.apply(copied.since(follower.revision))
			}
		}
		copied.apply(store.since(copied.revision))
		follower.apply(copied.since(follower.revision))
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
