package stream

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// askLimit bounds one question to another instance.
	askLimit = time.Second
	// maxAsked bounds the chain of holders that a taker follows.
	maxAsked = 4
)

// ResumeRequest asks for the rest of an answer. It is a plain value without behavior.
type ResumeRequest struct {
	// Cursor comes from OpenCursor.
	Cursor   Cursor
	Priority int
	Class    pond.Class
	// Deadline ends resume attempts. It must be set.
	Deadline time.Time
}

// OpenCursor verifies a cursor that a caller of the account presented. The error is a *pond.Refusal.
func (r *Relay) OpenCursor(text, account string) (Cursor, error) {
	cursor, err := newCursorSealer(r.options.MACKey).open(text, account)
	if err != nil {
		return Cursor{}, pond.NewRefusal(pond.ReasonCursorInvalid, pond.RunUnknown, time.Time{}, err.Error())
	}
	return cursor, nil
}

// Resume streams the rest of an answer to sink. If the error is not nil, nothing was delivered; it is a
// *pond.Refusal.
func (r *Relay) Resume(ctx context.Context, req ResumeRequest, sink Sink) error {
	ctx, leave := r.requests.Enter(ctx)
	defer leave()
	cursor := req.Cursor
	address, ok := r.options.Address(cursor.Backend)
	if !ok {
		return lost("the backend server is gone")
	}
	taken, err := r.take(ctx, cursor)
	if err != nil {
		return err
	}
	s := &session{
		relay:    r,
		account:  cursor.Account,
		model:    cursor.Model,
		format:   cursor.Format,
		backend:  cursor.Backend,
		address:  address,
		epoch:    taken.epoch,
		sequence: sequence{generation: cursor.Generation, next: cursor.Offset + 1},
		deadline: req.Deadline,
		sealer:   newCursorSealer(r.options.MACKey),
		timing:   timing{work: r.options.Metrics.Work(req.Priority, req.Class), arrived: time.Now()},
	}
	if taken.parked != nil {
		s.placement = taken.parked.placement
	}
	s.ctx, s.stop = context.WithCancelCause(ctx)
	defer s.stop(nil)
	r.table.attach(s)
	tracked := &trackingSink{sink: sink}
	s.sink = tracked
	end := s.run(true)
	if !tracked.used && end.kind == endLost {
		s.abandon(end)
		return lost("the generation cannot go on at its engine")
	}
	s.end(end)
	return nil
}

func lost(detail string) error {
	return pond.NewRefusal(pond.ReasonGenerationLost, pond.RunUnknown, time.Time{}, detail)
}

// trackingSink remembers whether anything was delivered.
type trackingSink struct {
	sink Sink
	used bool
}

// Deliver implements Sink.
func (t *trackingSink) Deliver(item Item) error {
	t.used = true
	return t.sink.Deliver(item)
}

// take gets the right to read the cursor's generation. It asks the relay named in the cursor, follows the holder that
// the relay names, and asks the arbiter when an instance on that way is gone.
func (r *Relay) take(ctx context.Context, cursor Cursor) (grant, error) {
	taker := r.nextID()
	superseded := pond.NewRefusal(pond.ReasonSuperseded, pond.RunUnknown, time.Time{}, "another reader took the generation")
	if !r.table.claim(cursor.Generation, taker) {
		return grant{}, superseded
	}
	req := &peerpb.ReleaseStreamRequest{Generation: cursor.Generation, Epoch: cursor.Epoch, Taker: taker}
	target, ok := r.find(cursor.Relay)
	if !ok {
		target = r.arbiter(cursor.Generation)
	}
	for range maxAsked {
		answer, err := r.ask(ctx, target, req)
		if err != nil {
			// A failure moves the question to the arbiter. Without the arbiter's answer nobody can decide.
			next := r.arbiter(cursor.Generation)
			if next.Ref() == target.Ref() {
				r.table.unclaim(cursor.Generation, taker)
				return grant{}, pond.NewRefusal(pond.ReasonNotReady, pond.RunUnknown, time.Now().Add(askLimit),
					"the instance that decides about this generation does not answer")
			}
			target = next
			continue
		}
		if answer.released {
			return answer, nil
		}
		next, ok := r.find(holderRef(answer.holder))
		switch {
		case !ok:
			req.Epoch = max(req.Epoch, answer.epoch)
			next = r.arbiter(cursor.Generation)
		case next.Ref() == target.Ref():
			r.table.unclaim(cursor.Generation, taker)
			return grant{}, superseded
		}
		target = next
	}
	r.table.unclaim(cursor.Generation, taker)
	return grant{}, superseded
}

// ask asks one instance to release the generation.
func (r *Relay) ask(ctx context.Context, target pond.Instance, req *peerpb.ReleaseStreamRequest) (grant, error) {
	if target.Ref() == r.options.Ref {
		return r.release(req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	resp, err := r.options.Release(ctx, target.PeerAddress(), req)
	if err != nil {
		return grant{}, err
	}
	return grant{released: resp.GetReleased(), epoch: resp.GetEpoch(), holder: resp.GetHolder()}, nil
}

// release gives a generation away and stops the session that held it.
func (r *Relay) release(req *peerpb.ReleaseStreamRequest) grant {
	g := r.table.release(req.GetGeneration(), req.GetEpoch(), req.GetTaker())
	if g.stopped != nil {
		g.stopped.stop(errReleased)
	}
	return g
}

// ReleaseStream implements peerpb.DRPCStreamsServer.
func (r *Relay) ReleaseStream(_ context.Context, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
	g := r.release(req)
	if g.parked != nil && g.parked.placement != nil {
		g.parked.placement.Done(pond.PlacementEnd{Tokens: g.parked.tokens}, time.Now())
	}
	return &peerpb.ReleaseStreamResponse{Released: g.released, Epoch: g.epoch, Holder: g.holder}, nil
}

// find returns the instance with the given reference if it is not gone.
func (r *Relay) find(ref string) (pond.Instance, bool) {
	if ref == r.self {
		return r.selfInstance(), true
	}
	if r.options.Directory == nil || r.options.Release == nil {
		return pond.Instance{}, false
	}
	for _, instance := range r.options.Directory.Instances() {
		if instance.Ref().String() == ref && instance.State() != pond.InstanceGone {
			return instance, true
		}
	}
	return pond.Instance{}, false
}

// arbiter returns the live instance that decides about a generation whose relay is gone: the rendezvous winner for the
// generation's ID.
func (r *Relay) arbiter(generation string) pond.Instance {
	winner := r.selfInstance()
	if r.options.Directory == nil || r.options.Release == nil {
		return winner
	}
	best := rendezvous(generation, winner.ID())
	for _, instance := range r.options.Directory.Instances() {
		score := rendezvous(generation, instance.ID())
		if instance.State() == pond.InstanceLive && score > best {
			winner, best = instance, score
		}
	}
	return winner
}

func rendezvous(generation string, id pond.InstanceID) uint64 {
	return xxhash.Sum64String(generation + "/" + string(id))
}

func (r *Relay) selfInstance() pond.Instance {
	if r.options.Directory != nil {
		return r.options.Directory.Self()
	}
	return pond.NewInstance(r.options.Ref, pond.InstanceLive, "", "", "", "")
}

// holderRef returns the instance reference of a taker: its ID without the serial.
func holderRef(taker string) string {
	if i := strings.LastIndexByte(taker, '.'); i >= 0 {
		return taker[:i]
	}
	return taker
}
