package feed

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestCompleteAtStart guards against an instance that starts by an older numbered record of the store while another instance holds a newer
// one, and against starts that wait for longer than that needs.
func TestCompleteAtStart(t *testing.T) {
	const delay = 10 * time.Millisecond
	answers := func(after time.Duration, batch Batch, err error) SourceFunc {
		return func(ctx context.Context, _ Cursor) (Batch, error) {
			select {
			case <-time.After(after):
				return batch, err
			case <-ctx.Done():
				return Batch{}, ctx.Err()
			}
		}
	}
	newer := Batch{Position: Position{1, 40}, Number: 7, Records: []Record{record("a", 39), numbered(7, 40)}}
	same := Batch{Position: Position{2, 9}, Number: 3}
	refused := errors.New("connection refused")
	tests := []struct {
		name       string
		era        uint64
		others     []SourceFunc
		knownAfter time.Duration
		want       byte
		wantTook   time.Duration
	}{
		{"another one holds a newer record", 2, []SourceFunc{answers(delay, newer, nil)}, 0, 7, delay},
		{"two others, one of them at the store's", 2, []SourceFunc{answers(0, same, nil), answers(delay, newer, nil)}, 0, 7, delay},
		{"others are at the store's", 2, []SourceFunc{answers(delay, same, nil), answers(delay, same, nil)}, 0, 3, delay},
		{"one is silent", 2, []SourceFunc{answers(time.Hour, same, nil), answers(delay, newer, nil)}, 0, 7, delay + slowestAnswer},
		{"one refuses", 2, []SourceFunc{answers(0, Batch{}, refused), answers(delay, newer, nil)}, 0, 7, delay},
		{"all are silent", 2, []SourceFunc{answers(time.Hour, same, nil)}, 0, 3, consultTime},
		{"all start as well", 2, []SourceFunc{answers(0, Batch{}, nil), answers(0, Batch{}, nil)}, 0, 3, consultTime},
		{"others become known later", 2, []SourceFunc{answers(delay, newer, nil)}, 8 * consultInterval, 7, 8*consultInterval + delay},
		{"no other instance", 2, nil, 0, 3, consultTime},
		{"the store has lost nothing", 0, []SourceFunc{answers(delay, newer, nil)}, 0, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				snapshot := Batch{Position: Position{test.era, 9}, Snapshot: true, Records: []Record{record("b", 4), numbered(3, 5)}}
				store := CompleteAtStart(answers(0, snapshot, nil), StartOptions{
					Others: func() []Upstream {
						var known []Upstream
						for i, other := range test.others {
							if time.Since(began) >= test.knownAfter {
								known = append(known, Upstream{Name: fmt.Sprint(i), Source: other})
							}
						}
						return known
					},
					Number: numberOf, Log: discardLog(),
				})
				got, err := store.Pull(t.Context(), Cursor{})
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took != test.wantTook {
					t.Errorf("took %v, want %v", took, test.wantTook)
				}
				r := newReplica(numberOf)
				r.apply(got)
				if number := r.records["n"].Value[0]; number != test.want || len(r.records) != 2 {
					t.Errorf("record %d among %d, want %d among 2", number, len(r.records), test.want)
				}
				// The store's own next write is taken over.
				r.apply(Batch{Position: Position{test.era, 10}, Records: []Record{numbered(8, 10)}})
				if number := r.records["n"].Value[0]; number != 8 {
					t.Errorf("record %d after the next write, want 8", number)
				}
			})
		})
	}
}

// TestStartAsksFew guards against an instance that asks all others when it starts.
func TestStartAsksFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const others = 50
		var asked atomic.Int32
		other := SourceFunc(func(context.Context, Cursor) (Batch, error) {
			asked.Add(1)
			time.Sleep(time.Duration(asked.Load()) * time.Millisecond)
			return Batch{Position: Position{2, 9}, Number: 3}, nil
		})
		store := CompleteAtStart(SourceFunc(func(context.Context, Cursor) (Batch, error) {
			return Batch{Position: Position{2, 9}, Snapshot: true, Records: []Record{numbered(3, 5)}}, nil
		}), StartOptions{
			Others: func() []Upstream {
				var known []Upstream
				for i := range others {
					known = append(known, Upstream{Name: fmt.Sprint(i), Source: other})
				}
				return known
			},
			Number: numberOf, Log: discardLog(),
		})
		if _, err := store.Pull(t.Context(), Cursor{}); err != nil {
			t.Fatal(err)
		}
		if got := asked.Load(); got != maxConsulted {
			t.Errorf("%d of %d instances were asked, want %d", got, others, maxConsulted)
		}
	})
}

// TestInquiry guards against an inquiry that is held like a follower's request, or that is answered with all records.
func TestInquiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{Clock: time.Now, Log: discardLog(), Number: numberOf, OnChange: func([]Record) {}})
		f.applyBatch(Batch{Position: Position{2, 9}, Snapshot: true, Records: []Record{record("a", 4), numbered(7, 5)}})
		began := time.Now()
		for number, want := range map[uint64]int{3: 1, 7: 0} {
			got := f.Serve(t.Context(), Cursor{Position: Position{2, 9}, Number: number, Inquires: true})
			if len(got.Records) != want || got.Revision != 9 || got.Number != 7 {
				t.Errorf("from number %d: %d records at %v with number %d, want %d at revision 9 with number 7",
					number, len(got.Records), got.Position, got.Number, want)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("took %v", took)
		}
	})
}
