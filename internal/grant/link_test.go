package grant

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestLinkBatch guards against a reservation that no end ever frees. Messages that are added while a send is in progress
// go together, and a home applies the ends of a message first: a request that was offered and ended in one batch stayed
// at the home for good. TestHomeFrozen met this in one of about 750 runs.
func TestLinkBatch(t *testing.T) {
	now := time.Unix(1000, 0)
	newLink := func() *link {
		return &link{wake: make(chan struct{}, 1), up: new(peerpb.ScheduleUp), handles: make(map[string]uint32)}
	}
	request := func(id string) *ticket {
		return &ticket{req: pond.PlaceRequest{Generation: id, Deadline: now.Add(time.Minute)}}
	}
	tests := []struct {
		name       string
		add        func(l *link)
		wantOffers int
		wantEnds   int
	}{
		{"offered and ended", func(l *link) { l.offer(request("a"), now); l.finish("a", sched.End{}, now) }, 0, 1},
		{"registered and ended", func(l *link) { l.register(request("a"), now); l.finish("a", sched.End{}, now) }, 0, 1},
		{"ended and offered again", func(l *link) { l.finish("a", sched.End{}, now); l.offer(request("a"), now) }, 1, 1},
		{"another one ended", func(l *link) { l.offer(request("a"), now); l.finish("b", sched.End{}, now) }, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLink()
			test.add(l)
			up := l.take()
			if len(up.GetOffers()) != test.wantOffers || len(up.GetFinished()) != test.wantEnds {
				t.Errorf("%d offers and %d ends, want %d and %d",
					len(up.GetOffers()), len(up.GetFinished()), test.wantOffers, test.wantEnds)
			}
		})
	}
}
