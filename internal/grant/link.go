package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// link is the stream from this instance to one home. It carries the requests of all pools of that home. Messages that
// are added while a send is in progress go together with the next one.
type link struct {
	placer  *Placer
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	mu sync.Mutex
	up *peerpb.ScheduleUp

	// The placer's lock protects the fields below.
	ready    bool // the home has sent its first message
	heardAt  time.Time
	usedAt   time.Time
	openedAt time.Time
	// handles are the short names of open requests on this stream; lastHandle is the newest.
	handles    map[string]uint32
	lastHandle uint32
}

// newLink starts to connect. The end of the stream is reported to the placer once.
func newLink(ctx context.Context, placer *Placer, address string, now time.Time) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		placer:   placer,
		address:  address,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		up:       new(peerpb.ScheduleUp),
		heardAt:  now,
		usedAt:   now,
		openedAt: now,
		handles:  make(map[string]uint32),
	}
	placer.group.Add(1)
	go func() {
		defer placer.group.Done()
		err := l.run(ctx)
		cancel()
		placer.lost(l, err)
	}()
	return l
}

func (l *link) run(ctx context.Context) error {
	conn := l.placer.options.Connect(l.address)
	defer conn.Close()
	stream, err := peerpb.NewDRPCSchedulingClient(conn).Schedule(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := stream.Send(new(peerpb.ScheduleUp)); err != nil {
		return err
	}
	l.placer.group.Add(1)
	go func() {
		defer l.placer.group.Done()
		defer l.cancel()
		l.receive(stream)
	}()
	return l.send(ctx, stream)
}

func (l *link) receive(stream peerpb.DRPCScheduling_ScheduleClient) {
	for {
		down, err := stream.Recv()
		if err != nil {
			return
		}
		l.placer.heard(l, down.GetDecisions())
	}
}

func (l *link) send(ctx context.Context, stream peerpb.DRPCScheduling_ScheduleClient) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.wake:
		}
		if up := l.take(); up != nil {
			if err := stream.Send(up); err != nil {
				return err
			}
		}
	}
}

func (l *link) take() *peerpb.ScheduleUp {
	l.mu.Lock()
	defer l.mu.Unlock()
	up := l.up
	if len(up.Offers)+len(up.Progress)+len(up.Finished)+len(up.Moves) == 0 {
		return nil
	}
	l.up = new(peerpb.ScheduleUp)
	return up
}

func (l *link) add(change func(up *peerpb.ScheduleUp)) {
	l.mu.Lock()
	change(l.up)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// newOffer returns the offer of a request with a new handle.
func (l *link) newOffer(t *ticket, now time.Time) *peerpb.Offer {
	l.usedAt = now
	l.lastHandle++
	l.handles[t.req.Generation] = l.lastHandle
	offer := offerOf(t.req, t.retry, now)
	offer.Handle = l.lastHandle
	return offer
}

func (l *link) offer(t *ticket, now time.Time) (sched.Decision, bool) {
	offer := l.newOffer(t, now)
	l.add(func(up *peerpb.ScheduleUp) { up.Offers = append(up.Offers, offer) })
	return sched.Decision{}, false
}

func (l *link) register(t *ticket, now time.Time) {
	offer := l.newOffer(t, now)
	offer.RunningOn, offer.ShownTokens = t.backend, int32(t.output.tokens())
	l.add(func(up *peerpb.ScheduleUp) { up.Offers = append(up.Offers, offer) })
}

func (l *link) progress(id string, progress sched.Progress, now time.Time) {
	l.usedAt = now
	item := &peerpb.ProgressItem{
		Handle:          l.handles[id],
		Tokens:          int32(progress.Tokens),
		GapMicro:        progress.Gap.Microseconds(),
		FirstTokenMicro: progress.FirstToken.Microseconds(),
	}
	l.add(func(up *peerpb.ScheduleUp) { up.Progress = append(up.Progress, item) })
}

func (l *link) finish(id string, end sched.End, now time.Time) {
	l.usedAt = now
	delete(l.handles, id)
	item := &peerpb.Finish{
		Generation:    id,
		Tokens:        int32(end.Tokens),
		Complete:      end.Complete,
		BackendFailed: end.BackendFailed,
	}
	l.add(func(up *peerpb.ScheduleUp) {
		// The home applies the ends of a message before its offers, so an offer that has not been sent yet would stay.
		up.Offers = slices.DeleteFunc(up.Offers, func(o *peerpb.Offer) bool { return o.GetGeneration() == id })
		up.Finished = append(up.Finished, item)
	})
}

func (l *link) moved(id, target string, ok bool, now time.Time) {
	l.usedAt = now
	item := &peerpb.MoveResult{Generation: id, Backend: target, Moved: ok}
	l.add(func(up *peerpb.ScheduleUp) { up.Moves = append(up.Moves, item) })
}
