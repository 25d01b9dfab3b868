package place

import (
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestProgressInterval guards against progress reports that exceed the byte budget for control traffic when many
// requests run, and against a home that receives no progress for longer than maxProgressInterval.
func TestProgressInterval(t *testing.T) {
	tests := []struct {
		running int
		want    time.Duration
	}{
		{running: 0, want: maintenanceInterval},
		{running: 4, want: 100 * time.Millisecond},
		{running: 40, want: time.Second},
		{running: 80, want: 2 * time.Second},
		{running: 5000, want: maxProgressInterval},
	}
	for _, test := range tests {
		t.Run(strconv.Itoa(test.running), func(t *testing.T) {
			p := &Placer{requests: make(map[string]*localRequest)}
			for i := range test.running {
				p.requests[strconv.Itoa(i)] = &localRequest{state: requestRunning, coordinator: new(homeStream)}
			}
			p.requests["local"] = &localRequest{state: requestRunning, coordinator: localCoordinator{}}
			if got := p.progressInterval(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestHandles guards against progress that is attributed to the wrong request, or to none, because the two ends of a
// stream disagree about a handle.
func TestHandles(t *testing.T) {
	now := time.Unix(1000, 0)
	stream := &homeStream{pending: new(peerpb.ScheduleUp), handles: make(map[string]uint32), wake: make(chan struct{}, 1)}
	sess := &session{
		open:     make(map[string]remoteRequest),
		waiting:  make(map[string]struct{}),
		byHandle: make(map[uint32]string),
	}
	homePool := new(pool)
	offer := func(id string) {
		stream.offer(&localRequest{req: pond.PlaceRequest{Generation: id}}, now)
		sent := stream.pending.Offers[len(stream.pending.Offers)-1]
		sess.add(sent.GetGeneration(), sent.GetHandle(), homePool)
	}
	check := func(id string, want *pool) {
		t.Helper()
		stream.progress(id, sched.Progress{Tokens: 1}, now)
		item := stream.pending.Progress[len(stream.pending.Progress)-1]
		got, pool := sess.requestByHandle(item.GetHandle())
		if pool != want || want != nil && got != id {
			t.Errorf("progress of %s is attributed to %q, pool %p, want pool %p", id, got, pool, want)
		}
	}
	for _, id := range []string{"a", "b", "a"} { // "a" is offered again after a home change.
		offer(id)
	}
	check("a", homePool)
	check("b", homePool)
	stream.finish("a", sched.End{}, now)
	sess.remove("a")
	check("a", nil)
	check("b", homePool)
	if len(stream.handles) != 1 || len(sess.byHandle) != 1 {
		t.Errorf("%d and %d handles kept for one open request", len(stream.handles), len(sess.byHandle))
	}
}
