package feed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 35}) }

// numberOf is the number of a record under the key "n": its first byte.
func numberOf(record Record) uint64 {
	if record.Key != "n" || record.Deleted || len(record.Value) == 0 {
		return 0
	}
	return uint64(record.Value[0])
}

func numbered(number byte, revision uint64) Record {
	return Record{Key: "n", Value: []byte{number}, Revision: revision}
}

func inEra(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// TestOlderCopy guards against a replica that ignores what the store holds since it has come back from an older copy, and against one
// that gives up a numbered record, which the operator was told is in force.
func TestOlderCopy(t *testing.T) {
	before := Batch{Snapshot: true, Position: inEra(1, 9), Records: []Record{record("a", 8), record("b", 3), numbered(5, 7)}}
	tests := []struct {
		name        string
		batches     []Batch
		want        []string // keys, numbered records with their number
		wantChanged []string // keys of the changes of the last batch, removals with a minus, or ? if the copy may only lack the record
		position    Position
	}{
		{"the copy replaces the records", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{record("b", 3), record("c", 6), numbered(5, 2)}},
		}, []string{"b", "c", "n5"}, []string{"?a", "c"}, inEra(2, 6)},
		{"removed since the copy was made", []Batch{
			{Snapshot: true, Position: inEra(2, 9), Records: []Record{record("a", 8), numbered(5, 2)}},
		}, []string{"a", "n5"}, []string{"-b"}, inEra(2, 9)},
		{"a smaller number in the copy", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{numbered(4, 2)}},
		}, []string{"n5"}, []string{"?a", "?b"}, inEra(2, 6)},
		{"no numbered record in the copy", []Batch{{Snapshot: true, Position: inEra(2, 6)}}, []string{"n5"}, []string{"?a", "?b"}, inEra(2, 6)},
		{"a smaller number written again", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{numbered(3, 2)}},
			{Position: inEra(2, 7), Records: []Record{numbered(4, 7)}},
		}, []string{"n5"}, nil, inEra(2, 7)},
		{"a greater number with a revision given out before", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{numbered(3, 2)}},
			{Position: inEra(2, 7), Records: []Record{numbered(6, 7)}},
		}, []string{"n6"}, []string{"n"}, inEra(2, 7)},
		{"one that cannot be read", []Batch{{Position: inEra(1, 10), Records: []Record{{Key: "n", Revision: 10}}}},
			[]string{"a", "b", "n5"}, []string{"n"}, inEra(1, 10)},
		{"a greater number after one that cannot be read", []Batch{
			{Position: inEra(1, 10), Records: []Record{{Key: "n", Revision: 10}}},
			{Position: inEra(1, 11), Records: []Record{numbered(6, 11)}},
		}, []string{"a", "b", "n6"}, []string{"n"}, inEra(1, 11)},
		{"changes without a snapshot", []Batch{{Position: inEra(2, 10), Records: []Record{record("c", 10)}}},
			[]string{"a", "b", "n5"}, nil, inEra(1, 9)},
		{"an earlier era after the later one", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{record("b", 3)}},
			{Snapshot: true, Position: inEra(1, 20), Records: []Record{record("a", 20)}},
		}, []string{"b", "n5"}, nil, inEra(2, 6)},
		{"two returns", []Batch{
			{Snapshot: true, Position: inEra(2, 6), Records: []Record{record("b", 3)}},
			{Snapshot: true, Position: inEra(3, 2), Records: []Record{record("a", 2)}},
		}, []string{"a", "n5"}, []string{"?b", "a"}, inEra(3, 2)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newReplica(numberOf)
			r.apply(before)
			var changed []string
			for _, batch := range test.batches {
				changed = nil
				for _, record := range r.apply(batch) {
					switch {
					case record.Deleted && record.Restored:
						record.Key = "?" + record.Key
					case record.Deleted:
						record.Key = "-" + record.Key
					}
					changed = append(changed, record.Key)
				}
			}
			slices.Sort(changed)
			var keys []string
			for key, record := range r.records {
				if number := numberOf(record); number > 0 {
					key += fmt.Sprint(number)
				}
				keys = append(keys, key)
			}
			slices.Sort(keys)
			if !slices.Equal(keys, test.want) || !slices.Equal(changed, test.wantChanged) || r.position != test.position {
				t.Errorf("records %v, changes %v, position %v", keys, changed, r.position)
			}
		})
	}
}

// TestReplicasAgreeAfterReturns guards against replicas that differ after the store has come back from older copies, and against a
// number that falls at a replica or is lost to all. Random changes and returns are seen by a reader and by two followers in a row.
func TestReplicasAgreeAfterReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		none := func(Record) uint64 { return 0 } // The store itself loses numbers.
		store := newReplica(none)
		store.apply(Batch{Snapshot: true, Position: inEra(1, 1), Records: []Record{numbered(1, 1)}})
		number, copies := byte(1), []map[string]Record{}
		replicas := []*replica{newReplica(numberOf), newReplica(numberOf), newReplica(numberOf)}
		pull := func(index int) {
			source, before := store, replicas[index].greatestNumber()
			if index > 0 {
				source = replicas[index-1]
			}
			cursor := Cursor{Position: replicas[index].position, Number: replicas[index].greatestNumber()}
			replicas[index].apply(source.changesSince(cursor))
			if after := replicas[index].greatestNumber(); after < before {
				t.Fatalf("the number of replica %d fell from %d to %d", index, before, after)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			next := Position{Era: store.position.Era, Revision: store.position.Revision + 1}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				change := record(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")), next.Revision)
				change.Deleted = rapid.Bool().Draw(t, "deleted")
				store.apply(Batch{Position: next, Records: []Record{change}})
			case 2:
				number++
				store.apply(Batch{Position: next, Records: []Record{numbered(number, next.Revision)}})
			case 3:
				held := make(map[string]Record)
				for key, record := range store.records {
					held[key] = record
				}
				copies = append(copies, held)
			case 4:
				if len(copies) == 0 {
					continue
				}
				held := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
				old, revision := newReplica(none), uint64(1)
				for _, record := range held {
					revision = max(revision, record.Revision)
				}
				old.apply(Batch{Snapshot: true, Position: inEra(store.position.Era+1, revision)})
				for key, record := range held {
					old.records[key] = record
				}
				store = old
			case 5:
				pull(rapid.IntRange(0, 2).Draw(t, "replica"))
			}
		}
		// What the operator wrote is written again.
		next := Position{Era: store.position.Era, Revision: store.position.Revision + 1}
		store.apply(Batch{Position: next, Records: []Record{numbered(number, next.Revision)}})
		for range 2 {
			for index := range replicas {
				pull(index)
			}
		}
		for index, r := range replicas {
			if r.position != store.position || len(r.records) != len(store.records) {
				t.Fatalf("replica %d has %d records at %v, the store %d at %v", index, len(r.records), r.position, len(store.records), store.position)
			}
			for key, want := range store.records {
				if got := r.records[key]; string(got.Value) != string(want.Value) {
					t.Fatalf("replica %d holds %q under %q, the store %q", index, got.Value, key, want.Value)
				}
			}
		}
	})
}

// TestNumberedRecordOfFollower guards against a reader that has started after the store came back from an older copy and does not learn
// the newer configuration that its followers hold, and against an exchange that goes on without need.
func TestNumberedRecordOfFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newFeed := func() *Feed {
			return New(Options{
				Upstreams: func() []Upstream { return nil }, Clock: time.Now, Log: discardLog(), Number: numberOf, OnChange: func([]Record) {},
			})
		}
		copied := Batch{Snapshot: true, Position: inEra(2, 6), Records: []Record{numbered(4, 3)}, ConfirmedAt: time.Now()}
		reader, follower := newFeed(), newFeed()
		follower.applyBatch(Batch{Snapshot: true, Position: inEra(1, 9), Records: []Record{numbered(5, 8)}, ConfirmedAt: time.Now()})
		reader.applyBatch(copied)
		pulls := 0
		upstream := Upstream{Name: "reader", Source: SourceFunc(func(_ context.Context, cursor Cursor) (Batch, error) {
			pulls++
			return reader.Serve(t.Context(), cursor), nil
		})}
		began := time.Now()
		for time.Since(began) < 3*followerWait {
			follower.pull(t.Context(), upstream)
		}
		if got := reader.replica.greatestNumber(); got != 5 {
			t.Errorf("the reader holds number %d, want 5", got)
		}
		if got := follower.replica.greatestNumber(); got != 5 || follower.replica.position != copied.Position {
			t.Errorf("the follower holds number %d at %v", got, follower.replica.position)
		}
		if pulls > 7 {
			t.Errorf("%d pulls in %v", pulls, time.Since(began))
		}
	})
}

// TestNoOffersToFormerRelease guards against the whole configuration being sent with each pull to an instance of a former release, which states no
// number and does not read what it is offered.
func TestNoOffersToFormerRelease(t *testing.T) {
	f := New(Options{
		Upstreams: func() []Upstream { return nil }, Clock: time.Now, Log: discardLog(), Number: numberOf, OnChange: func([]Record) {},
	})
	f.applyBatch(Batch{Snapshot: true, Position: inEra(0, 9), Records: []Record{numbered(5, 8)}, ConfirmedAt: time.Now()})
	offers := 0
	former := Upstream{Name: "former", Source: SourceFunc(func(_ context.Context, cursor Cursor) (Batch, error) {
		offers += len(cursor.Offered)
		return Batch{Position: cursor.Position, ConfirmedAt: time.Now(), FromInstance: true}, nil
	})}
	for range 3 {
		f.pull(t.Context(), former)
	}
	if offers > 0 {
		t.Errorf("%d records were offered", offers)
	}
}
