package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// region is a replay of a region of instances that follow each other in a tree, while the store gets a change every interval.
type region struct {
	interval  time.Duration
	began     time.Time
	instances []*Feed

	mu        sync.Mutex
	questions map[int]int // to the store, by the rank of the instance
}

const (
	regionFanOut  = 4
	regionLatency = 30 * time.Millisecond // to the store
	regionHop     = 5 * time.Millisecond  // between two instances
)

func (r *region) revision() uint64 { return 1 + uint64(time.Since(r.began)/r.interval) }

// store returns the store as the instance of the given rank sees it.
func (r *region) store(rank int) Upstream {
	return Upstream{Name: "store", IsStore: true, Source: SourceFunc(func(_ context.Context, cursor Cursor) (Batch, error) {
		r.mu.Lock()
		r.questions[rank]++
		r.mu.Unlock()
		askedAt := time.Now()
		time.Sleep(regionLatency)
		defer time.Sleep(regionLatency)
		for r.revision() <= cursor.Revision && time.Since(askedAt) < PullWait {
			time.Sleep(time.Millisecond)
		}
		batch := Batch{Position: at(r.revision()), ConfirmedAt: askedAt, Snapshot: cursor.Revision == 0}
		for revision := max(cursor.Revision, batch.Revision-min(batch.Revision, 100)) + 1; revision <= batch.Revision; revision++ {
			batch.Records = append(batch.Records, record(fmt.Sprint("engine-", revision%100), revision))
		}
		return batch, nil
	})}
}

// upstreams returns the sources of an instance: its parent, the first two, the store.
func (r *region) upstreams(rank int) []Upstream {
	var sources []Upstream
	seen := map[int]bool{rank: true}
	for _, source := range []int{(rank - 1) / regionFanOut, 0, 1} {
		if rank == 0 || seen[source] || source > rank {
			continue
		}
		seen[source] = true
		sources = append(sources, Upstream{
			Name: fmt.Sprint("peer/", source),
			Source: SourceFunc(func(ctx context.Context, cursor Cursor) (Batch, error) {
				time.Sleep(regionHop)
				batch := r.instances[source].Serve(ctx, cursor)
				time.Sleep(regionHop)
				batch.FromInstance = true
				return batch, ctx.Err()
			}),
		})
	}
	return append(sources, r.store(rank))
}

// TestFollowersAheadOfTheirSource guards against instances that ask the store again and again because their sources are a moment behind them.
// They get ahead at the start, when the seeds serve them, and with each answer of the store. On a deployment of 290 instances with 3,000 backend
// servers 134 of the 143 of a region asked the store in another region until the link between the two was full.
func TestFollowersAheadOfTheirSource(t *testing.T) {
	const instances = 40
	synctest.Test(t, func(t *testing.T) {
		r := &region{interval: 3 * time.Millisecond, began: time.Now(), questions: make(map[int]int)}
		for rank := range instances {
			r.instances = append(r.instances, New(Options{
				Upstreams: func() []Upstream { return r.upstreams(rank) }, Clock: time.Now, Log: discardLog(), OnChange: func([]Record) {},
			}))
		}
		time.Sleep(time.Second)
		for _, f := range r.instances { // Each is ahead of those before it.
			batch, err := r.store(0).Source.Pull(t.Context(), Cursor{})
			if err != nil {
				t.Fatal(err)
			}
			f.applyBatch(batch)
			time.Sleep(3 * time.Millisecond)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, f := range r.instances {
			running.Go(func() { _ = f.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		r.mu.Lock()
		clear(r.questions)
		r.mu.Unlock()
		var oldest time.Duration
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for _, f := range r.instances {
				oldest = max(oldest, time.Since(f.ConfirmedAt()))
			}
		}
		r.mu.Lock()
		byOthers := 0
		for rank, count := range r.questions {
			if rank > 0 {
				byOthers += count
			}
		}
		if byOthers > 0 {
			t.Errorf("%d questions to the store by other instances than the first of the region in 3 s, %d by that one", byOthers, r.questions[0])
		}
		r.mu.Unlock()
		if oldest > time.Second {
			t.Errorf("a replica was last confirmed %v ago", oldest)
		}
		cancel()
		running.Wait()
	})
}
