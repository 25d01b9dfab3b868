package stream

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// conclude ends a session whose caller has received tokens, or whose generation is complete.
func (s *session) conclude(end sessionEnd) {
	switch end.kind {
	case endDone:
		s.endPlacement(pond.PlacementEnd{Complete: true})
		_ = s.deliver(Item{Kind: ItemDone})
		s.relay.table.detach(s, nil, 0, nil)
	case endLost:
		s.abandon(end)
		s.fail(pond.ReasonGenerationLost, "the generation cannot go on at its engine")
	case endDeadline:
		s.abandon(end)
		s.fail(pond.ReasonDeadline, "the deadline passed while the generation was interrupted")
	case endReleased:
		s.forgetReleased()
		s.fail(pond.ReasonSuperseded, "another reader took the generation")
	case endInstanceLeaving:
		if s.nonStreaming {
			s.abandon(end)
			s.fail(pond.ReasonLeaving, "this instance is leaving")
			return
		}
		_ = s.deliver(Item{Kind: ItemMove})
		s.park()
	case endCallerGone:
		if s.nonStreaming {
			s.abandon(end)
			return
		}
		s.park()
	}
}

func (s *session) fail(reason pond.Reason, detail string) {
	_ = s.deliver(Item{Kind: ItemError, Reason: reason, Detail: detail})
}

// endPlacement ends the placement, if the session still has one.
func (s *session) endPlacement(end pond.PlacementEnd) {
	if s.placement == nil {
		return
	}
	end.Tokens = s.sequence.next
	s.placement.Done(end, time.Now())
	s.placement = nil
}

// forgetReleased removes a generation that was released to another taker.
func (s *session) forgetReleased() {
	s.endPlacement(pond.PlacementEnd{})
	s.relay.table.detach(s, nil, 0, nil)
	s.relay.options.Metrics.CountRecovery("release")
}

// abandon cancels a generation that will have no reader.
func (s *session) abandon(end sessionEnd) {
	s.endPlacement(pond.PlacementEnd{BackendFailed: end.kind == endLost})
	s.relay.table.detach(s, nil, 0, nil)
	if end.engineLeaving {
		s.relay.options.OnEngineLeaving(s.backend)
	}
	if end.notRun {
		return
	}
	if s.replaceable() {
		s.relay.cancelSender.send(s.address, s.sequence.generation)
		return
	}
	s.relay.cancelSender.sendIfUnread(s.address, s.sequence.generation)
}

// park keeps a generation for a caller that may resume. It is canceled after the resume limit.
func (s *session) park() {
	p := &parkedGeneration{placement: s.placement, address: s.address, tokens: s.sequence.next}
	relay, generation := s.relay, s.sequence.generation
	parked := relay.table.detach(s, p, relay.options.ResumeLimit, func() { relay.expireParked(generation, p) })
	if !parked {
		s.endPlacement(pond.PlacementEnd{})
		return
	}
	s.placement = nil
}

// expireParked ends a parked generation whose caller did not resume in time.
func (r *Relay) expireParked(generation string, p *parkedGeneration) {
	if p.placement != nil {
		p.placement.Done(pond.PlacementEnd{Tokens: p.tokens}, time.Now())
	}
	r.options.Metrics.CountRecovery("abandon")
	r.cancelSender.sendIfUnread(p.address, generation)
}
