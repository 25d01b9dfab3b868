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
	// peerCallTimeout bounds one call to another instance. It is also the advised retry delay while the instance that
	// decides does not answer or the manifest is not confirmed.
	peerCallTimeout = time.Second
	// maxReleaseCalls bounds the release requests of a taker, and thus the chain of holders that it follows.
	maxReleaseCalls = 4
)

// ResumeRequest asks for the rest of a response.
type ResumeRequest struct {
	// Cursor comes from OpenCursor.
	Cursor   Cursor
	Priority int
	Class    pond.Class
	// Deadline bounds resume attempts. It must be set.
	Deadline time.Time
}

// OpenCursor verifies a cursor that a caller of the account presented. The error is a *pond.Refusal.
func (r *Relay) OpenCursor(text, account string) (Cursor, error) {
	cursor, err := newCursorSigner(r.options.MACKey).verify(text, account)
	if err != nil {
		return Cursor{}, pond.NewRefusal(pond.ReasonCursorInvalid, pond.RunUnknown, time.Time{}, err.Error())
	}
	return cursor, nil
}

// Resume streams the rest of a response to sink. If the error is not nil, nothing was delivered; it is a *pond.Refusal.
func (r *Relay) Resume(ctx context.Context, req ResumeRequest, sink Sink) error {
	ctx, leave := r.requests.Enter(ctx)
	defer leave()
	cursor := req.Cursor
	address, ok := r.options.Address(cursor.Backend)
	if !ok {
		return lostRefusal("the backend server is gone")
	}
	result, err := r.takeOver(ctx, cursor)
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
		epoch:    result.epoch,
		sequence: sequence{generation: cursor.Generation, next: cursor.Offset + 1},
		deadline: req.Deadline,
		signer:   newCursorSigner(r.options.MACKey),
		timing:   timing{metrics: r.options.Metrics.ForClass(req.Priority, req.Class), arrived: time.Now()},
	}
	if result.parked != nil {
		s.placement = result.parked.placement
	}
	s.ctx, s.stop = context.WithCancelCause(ctx)
	defer s.stop(nil)
	r.table.attach(s)
	tracked := &trackingSink{sink: sink}
	s.sink = tracked
	end := s.run(true)
	if !tracked.delivered && end.kind == endLost {
		s.abandon(end)
		return lostRefusal("the generation cannot go on at its engine")
	}
	s.conclude(end)
	return nil
}

func lostRefusal(detail string) error {
	return pond.NewRefusal(pond.ReasonGenerationLost, pond.RunUnknown, time.Time{}, detail)
}

// trackingSink records whether anything was delivered.
type trackingSink struct {
	sink      Sink
	delivered bool
}

// Deliver implements Sink.
func (t *trackingSink) Deliver(item Item) error {
	t.delivered = true
	return t.sink.Deliver(item)
}

// takeOver acquires the right to read the cursor's generation. It asks the relay named in the cursor, follows the
// holders named in the responses, and asks the arbiter if an instance in this chain is gone or does not respond.
func (r *Relay) takeOver(ctx context.Context, cursor Cursor) (releaseResult, error) {
	taker := r.nextID()
	superseded := pond.NewRefusal(pond.ReasonSuperseded, pond.RunUnknown, time.Time{}, "another reader took the generation")
	if !r.table.claim(cursor.Generation, taker) {
		return releaseResult{}, superseded
	}
	req := &peerpb.ReleaseStreamRequest{Generation: cursor.Generation, Epoch: cursor.Epoch, Taker: taker}
	target, ok := r.findInstance(cursor.Relay)
	if !ok {
		target = r.arbiter(cursor.Generation)
	}
	for range maxReleaseCalls {
		result, err := r.requestRelease(ctx, target, req)
		if err != nil {
			// After a failure the arbiter is asked. Without its response nobody can decide.
			next := r.arbiter(cursor.Generation)
			if next.Ref() == target.Ref() {
				r.table.unclaim(cursor.Generation, taker)
				return releaseResult{}, pond.NewRefusal(pond.ReasonNotReady, pond.RunUnknown, time.Now().Add(peerCallTimeout),
					"the instance that decides about this generation does not answer")
			}
			target = next
			continue
		}
		if result.released {
			return result, nil
		}
		next, ok := r.findInstance(holderRef(result.holder))
		switch {
		case !ok:
			req.Epoch = max(req.Epoch, result.epoch)
			next = r.arbiter(cursor.Generation)
		case next.Ref() == target.Ref():
			r.table.unclaim(cursor.Generation, taker)
			return releaseResult{}, superseded
		}
		target = next
	}
	r.table.unclaim(cursor.Generation, taker)
	return releaseResult{}, superseded
}

// requestRelease asks one instance to release the generation.
func (r *Relay) requestRelease(ctx context.Context, target pond.Instance, req *peerpb.ReleaseStreamRequest) (releaseResult, error) {
	if target.Ref() == r.options.Ref {
		return r.release(req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := r.options.Release(ctx, target.PeerAddress(), req)
	if err != nil {
		return releaseResult{}, err
	}
	return releaseResult{released: resp.GetReleased(), epoch: resp.GetEpoch(), holder: resp.GetHolder()}, nil
}

// release releases a generation and stops the session that held it.
func (r *Relay) release(req *peerpb.ReleaseStreamRequest) releaseResult {
	result := r.table.release(req.GetGeneration(), req.GetEpoch(), req.GetTaker())
	if result.formerSession != nil {
		result.formerSession.stop(errReleased)
	}
	return result
}

// ReleaseStream implements peerpb.DRPCStreamsServer.
func (r *Relay) ReleaseStream(_ context.Context, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
	result := r.release(req)
	if result.parked != nil && result.parked.placement != nil {
		result.parked.placement.Done(pond.PlacementEnd{Tokens: result.parked.tokens}, time.Now())
	}
	return &peerpb.ReleaseStreamResponse{Released: result.released, Epoch: result.epoch, Holder: result.holder}, nil
}

// findInstance returns the instance with the given reference if it is not gone.
func (r *Relay) findInstance(ref string) (pond.Instance, bool) {
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

// arbiter returns the live instance that decides about a generation whose relay is gone: the one with the highest
// rendezvous hash for the generation's ID.
func (r *Relay) arbiter(generation string) pond.Instance {
	winner := r.selfInstance()
	if r.options.Directory == nil || r.options.Release == nil {
		return winner
	}
	best := rendezvousScore(generation, winner.ID())
	for _, instance := range r.options.Directory.Instances() {
		score := rendezvousScore(generation, instance.ID())
		if instance.State() == pond.InstanceLive && score > best {
			winner, best = instance, score
		}
	}
	return winner
}

func rendezvousScore(generation string, id pond.InstanceID) uint64 {
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
