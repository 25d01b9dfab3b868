package place

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestOfferEndedInOneBatch guards against a reservation that is never released. Items queued while a send is in
// progress share one message, and a home applies the ends of a message first, so a request that was offered and ended
// in one batch stayed at the home forever. This occurred in about 1 of 750 runs of TestHomeFrozen.
func TestOfferEndedInOneBatch(t *testing.T) {
	now := time.Unix(1000, 0)
	newStream := func() *homeStream {
		return &homeStream{wake: make(chan struct{}, 1), pending: new(peerpb.ScheduleUp), handles: make(map[string]uint32)}
	}
	request := func(id string) *localRequest {
		return &localRequest{req: pond.PlaceRequest{Generation: id, Deadline: now.Add(time.Minute)}}
	}
	tests := []struct {
		name       string
		add        func(s *homeStream)
		wantOffers int
		wantEnds   int
	}{
		{"offer and end", func(s *homeStream) { s.offer(request("a"), now); s.finish("a", sched.End{}, now) }, 0, 1},
		{"register and end", func(s *homeStream) { s.register(request("a"), now); s.finish("a", sched.End{}, now) }, 0, 1},
		{"end and offer again", func(s *homeStream) { s.finish("a", sched.End{}, now); s.offer(request("a"), now) }, 1, 1},
		{"end of another", func(s *homeStream) { s.offer(request("a"), now); s.finish("b", sched.End{}, now) }, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStream()
			test.add(s)
			up := s.takePending()
			if len(up.GetOffers()) != test.wantOffers || len(up.GetFinished()) != test.wantEnds {
				t.Errorf("%d offers and %d ends, want %d and %d",
					len(up.GetOffers()), len(up.GetFinished()), test.wantOffers, test.wantEnds)
			}
		})
	}
}
