package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// homeStream is the stream from this instance to one home. It carries the requests of all pools of that home. Items
// that are queued while a send is in progress are batched into the next message.
type homeStream struct {
	placer  *Placer
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	mu      sync.Mutex
	pending *peerpb.ScheduleUp

	// The placer's lock protects the fields below.
	ready          bool // the home has sent its first message
	lastReceivedAt time.Time
	lastUsedAt     time.Time
	openedAt       time.Time
	// decidesRegions is true if the home decides which requests go to other regions.
	decidesRegions bool
	// handles maps the IDs of open requests to their handles on this stream; lastHandle is the newest handle.
	handles    map[string]uint32
	lastHandle uint32
}

// newHomeStream starts to open a stream to the instance with a peer address. The placer's handleStreamEnd is called
// once when the stream has ended.
func newHomeStream(ctx context.Context, placer *Placer, address string, now time.Time) *homeStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &homeStream{
		placer:         placer,
		address:        address,
		cancel:         cancel,
		wake:           make(chan struct{}, 1),
		pending:        new(peerpb.ScheduleUp),
		lastReceivedAt: now,
		lastUsedAt:     now,
		openedAt:       now,
		handles:        make(map[string]uint32),
	}
	placer.group.Add(1)
	go func() {
		defer placer.group.Done()
		err := s.run(ctx)
		cancel()
		placer.handleStreamEnd(s, err)
	}()
	return s
}

func (s *homeStream) run(ctx context.Context) error {
	conn := s.placer.options.Connect(s.address)
	defer conn.Close()
	stream, err := peerpb.NewDRPCSchedulingClient(conn).Schedule(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := stream.Send(new(peerpb.ScheduleUp)); err != nil {
		return err
	}
	s.placer.group.Add(1)
	go func() {
		defer s.placer.group.Done()
		defer s.cancel()
		s.receive(stream)
	}()
	return s.send(ctx, stream)
}

func (s *homeStream) receive(stream peerpb.DRPCScheduling_ScheduleClient) {
	for {
		down, err := stream.Recv()
		if err != nil {
			return
		}
		s.placer.handleDecisions(s, down)
	}
}

func (s *homeStream) send(ctx context.Context, stream peerpb.DRPCScheduling_ScheduleClient) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		}
		if up := s.takePending(); up != nil {
			if err := stream.Send(up); err != nil {
				return err
			}
		}
	}
}

// takePending returns the queued items, or nil if there are none.
func (s *homeStream) takePending() *peerpb.ScheduleUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := s.pending
	if len(up.Offers)+len(up.Progress)+len(up.Finished)+len(up.Moves) == 0 {
		return nil
	}
	s.pending = new(peerpb.ScheduleUp)
	return up
}

// enqueue lets add append items to the next message.
func (s *homeStream) enqueue(add func(up *peerpb.ScheduleUp)) {
	s.mu.Lock()
	add(s.pending)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// newOffer returns the offer of a request with a new handle.
func (s *homeStream) newOffer(r *localRequest, now time.Time) *peerpb.Offer {
	s.lastUsedAt = now
	s.lastHandle++
	s.handles[r.req.Generation] = s.lastHandle
	offer := offerOf(r, now)
	offer.Handle = s.lastHandle
	return offer
}

func (s *homeStream) offer(r *localRequest, now time.Time) (sched.Decision, bool) {
	offer := s.newOffer(r, now)
	s.enqueue(func(up *peerpb.ScheduleUp) { up.Offers = append(up.Offers, offer) })
	return sched.Decision{}, false
}

func (s *homeStream) register(r *localRequest, now time.Time) {
	offer := s.newOffer(r, now)
	offer.RunningOn, offer.ShownTokens = r.backend, int32(r.output.tokens())
	s.enqueue(func(up *peerpb.ScheduleUp) { up.Offers = append(up.Offers, offer) })
}

func (s *homeStream) progress(id string, progress sched.Progress, now time.Time) {
	s.lastUsedAt = now
	item := &peerpb.ProgressItem{
		Handle:          s.handles[id],
		Tokens:          int32(progress.Tokens),
		GapMicro:        progress.Gap.Microseconds(),
		FirstTokenMicro: progress.FirstToken.Microseconds(),
	}
	s.enqueue(func(up *peerpb.ScheduleUp) { up.Progress = append(up.Progress, item) })
}

func (s *homeStream) finish(id string, end sched.End, now time.Time) {
	s.lastUsedAt = now
	delete(s.handles, id)
	item := &peerpb.Finish{
		Generation:    id,
		Tokens:        int32(end.Tokens),
		Complete:      end.Complete,
		BackendFailed: end.BackendFailed,
	}
	s.enqueue(func(up *peerpb.ScheduleUp) {
		// The home applies the ends of a message before its offers, so an offer still queued here would stay open.
		up.Offers = slices.DeleteFunc(up.Offers, func(o *peerpb.Offer) bool { return o.GetGeneration() == id })
		up.Finished = append(up.Finished, item)
	})
}

func (s *homeStream) moveEnded(id, target string, ok bool, now time.Time) {
	s.lastUsedAt = now
	item := &peerpb.MoveResult{Generation: id, Backend: target, Moved: ok}
	s.enqueue(func(up *peerpb.ScheduleUp) { up.Moves = append(up.Moves, item) })
}
