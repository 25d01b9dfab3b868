package grant

import (
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestProgressPause guards against progress reports that exceed the bytes for control when many requests run, and
// against a home that hears nothing for longer than the bound.
func TestProgressPause(t *testing.T) {
	tests := []struct {
		running int
		want    time.Duration
	}{
		{running: 0, want: idleInterval},
		{running: 4, want: 100 * time.Millisecond},
		{running: 40, want: time.Second},
		{running: 80, want: 2 * time.Second},
		{running: 5000, want: maxProgressPause},
	}
	for _, test := range tests {
		t.Run(strconv.Itoa(test.running), func(t *testing.T) {
			p := &Placer{tickets: make(map[string]*ticket)}
			for i := range test.running {
				p.tickets[strconv.Itoa(i)] = &ticket{state: ticketRunning, holder: new(link)}
			}
			p.tickets["local"] = &ticket{state: ticketRunning, holder: localHolder{}}
			if got := p.progressPause(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestHandles guards against progress that is credited to another request, or to none, because both ends of a stream
// disagree about a handle.
func TestHandles(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &link{up: new(peerpb.ScheduleUp), handles: make(map[string]uint32), wake: make(chan struct{}, 1)}
	o := &outlet{
		open:     make(map[string]openRequest),
		waiting:  make(map[string]struct{}),
		byHandle: make(map[uint32]string),
	}
	home := new(pool)
	offer := func(id string) {
		l.offer(&ticket{req: pond.PlaceRequest{Generation: id}}, now)
		sent := l.up.Offers[len(l.up.Offers)-1]
		o.add(sent.GetGeneration(), sent.GetHandle(), home)
	}
	check := func(id string, want *pool) {
		t.Helper()
		l.progress(id, sched.Progress{Tokens: 1}, now)
		item := l.up.Progress[len(l.up.Progress)-1]
		got, pool := o.named(item.GetHandle())
		if pool != want || want != nil && got != id {
			t.Errorf("progress of %s arrives at %q, pool %p, want pool %p", id, got, pool, want)
		}
	}
	for _, id := range []string{"a", "b", "a"} { // "a" is offered again after a change of home.
		offer(id)
	}
	check("a", home)
	check("b", home)
	l.finish("a", sched.End{}, now)
	o.drop("a")
	check("a", nil)
	check("b", home)
	if len(l.handles) != 1 || len(o.byHandle) != 1 {
		t.Errorf("%d and %d handles kept for one open request", len(l.handles), len(o.byHandle))
	}
}
