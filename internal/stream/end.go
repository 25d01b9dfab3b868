package stream

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// end finishes a session whose caller has received tokens, or whose generation is complete.
func (s *session) end(end ending) {
	switch end.kind {
	case endDone:
		s.done(pond.PlacementEnd{Complete: true})
		_ = s.deliver(Item{Kind: ItemDone})
		s.relay.table.detach(s, nil, 0, nil)
	case endLost:
		s.abandon(end)
		s.fail(pond.ReasonGenerationLost, "the generation cannot go on at its engine")
	case endDeadline:
		s.abandon(end)
		s.fail(pond.ReasonDeadline, "the deadline passed while the generation was interrupted")
	case endReleased:
		s.leave()
		s.fail(pond.ReasonSuperseded, "another reader took the generation")
	case endMoved:
		if s.whole {
			s.abandon(end)
			s.fail(pond.ReasonLeaving, "this instance is leaving")
			return
		}
		_ = s.deliver(Item{Kind: ItemMove})
		s.park()
	case endCaller:
		if s.whole {
			s.abandon(end)
			return
		}
		s.park()
	}
}

func (s *session) fail(reason pond.Reason, detail string) {
	_ = s.deliver(Item{Kind: ItemError, Reason: reason, Detail: detail})
}

// done ends the placement, once.
func (s *session) done(end pond.PlacementEnd) {
	if s.placement == nil {
		return
	}
	end.Tokens = s.sequence.next
	s.placement.Done(end, time.Now())
	s.placement = nil
}

// leave forgets a generation that another taker got.
func (s *session) leave() {
	s.done(pond.PlacementEnd{})
	s.relay.table.detach(s, nil, 0, nil)
	s.relay.options.Metrics.Recovered("release")
}

// abandon cancels a generation that nobody will read.
func (s *session) abandon(end ending) {
	s.done(pond.PlacementEnd{BackendFailed: end.kind == endLost})
	s.relay.table.detach(s, nil, 0, nil)
	if end.leaving {
		s.relay.options.Left(s.backend)
	}
	if end.notRun {
		return
	}
	if s.restartable() {
		s.relay.cancels.send(s.address, s.sequence.generation)
		return
	}
	s.relay.cancels.sendUnread(s.address, s.sequence.generation)
}

// park keeps a generation for a caller that may resume. After the resume limit it is canceled.
func (s *session) park() {
	p := &parked{placement: s.placement, address: s.address, tokens: s.sequence.next}
	relay, generation := s.relay, s.sequence.generation
	held := relay.table.detach(s, p, relay.options.ResumeLimit, func() { relay.expire(generation, p) })
	if !held {
		s.done(pond.PlacementEnd{})
		return
	}
	s.placement = nil
}

// expire ends a parked generation whose caller did not come back.
func (r *Relay) expire(generation string, p *parked) {
	if p.placement != nil {
		p.placement.Done(pond.PlacementEnd{Tokens: p.tokens}, time.Now())
	}
	r.options.Metrics.Recovered("abandon")
	r.cancels.sendUnread(p.address, generation)
}
