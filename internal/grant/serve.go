package grant

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// beatInterval is the time between messages to an instance that has waiting requests here, so that it notices a home
// that stopped. Instances without waiting requests get none, to save bytes.
const beatInterval = 250 * time.Millisecond

// errDraining ends the streams of a home that is leaving.
var errDraining = errors.New("the home is leaving")

// outlet is the home's end of the stream of one other instance.
type outlet struct {
	origin uint64
	wake   chan struct{}

	mu        sync.Mutex
	decisions []*peerpb.ScheduleDecision
	beat      bool
	// open holds the instance's requests. waiting holds those without a final decision.
	open    map[string]openRequest
	waiting map[string]struct{}
	// byHandle maps the instance's short names to its open requests.
	byHandle map[uint32]string
	closed   bool
}

// openRequest is a request of another instance that has not ended.
type openRequest struct {
	pool   *pool
	handle uint32
}

// Schedule serves the requests of one other instance. It implements peerpb.DRPCSchedulingServer.
func (p *Placer) Schedule(stream peerpb.DRPCScheduling_ScheduleStream) error {
	o, err := p.openOutlet()
	if err != nil {
		return err
	}
	defer p.closeOutlet(o)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- p.receive(stream, o) }()
	if err := stream.Send(new(peerpb.ScheduleDown)); err != nil {
		return err
	}
	for {
		select {
		case err := <-received:
			return err
		case <-p.drained:
			return errDraining
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-o.wake:
		}
		if down := o.take(); down != nil {
			if err := stream.Send(down); err != nil {
				return err
			}
		}
	}
}

func (p *Placer) openOutlet() (*outlet, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return nil, errDraining
	}
	p.lastOrigin++
	o := &outlet{
		origin:  p.lastOrigin,
		wake:    make(chan struct{}, 1),
		open:    make(map[string]openRequest),
		waiting: make(map[string]struct{}),

		byHandle: make(map[uint32]string),
	}
	p.outlets[o.origin] = o
	return o, nil
}

func (p *Placer) closeOutlet(o *outlet) {
	p.mu.Lock()
	delete(p.outlets, o.origin)
	p.mu.Unlock()
	o.mu.Lock()
	o.closed = true
	byPool := make(map[*pool][]string)
	for id, request := range o.open {
		byPool[request.pool] = append(byPool[request.pool], id)
	}
	o.mu.Unlock()
	for pool, ids := range byPool {
		pool.disconnect(ids, o.origin, p.options.Now())
		p.run(pool)
	}
}

func (p *Placer) receive(stream peerpb.DRPCScheduling_ScheduleStream, o *outlet) error {
	for {
		up, err := stream.Recv()
		if err != nil {
			return err
		}
		p.handle(up, o)
	}
}

// handle applies one message: ends first, because they make room for the offers.
func (p *Placer) handle(up *peerpb.ScheduleUp, o *outlet) {
	now := p.options.Now()
	freed := make(map[*pool]struct{})
	for _, item := range up.GetFinished() {
		if pool := o.drop(item.GetGeneration()); pool != nil {
			pool.finish(item.GetGeneration(), endOf(item), now)
			freed[pool] = struct{}{}
		}
	}
	for _, item := range up.GetProgress() {
		if id, pool := o.named(item.GetHandle()); pool != nil {
			pool.progress(id, progressOf(item), now)
		}
	}
	for _, item := range up.GetMoves() {
		if pool := o.poolOf(item.GetGeneration()); pool != nil {
			pool.moved(item.GetGeneration(), item.GetBackend(), item.GetMoved(), now)
			freed[pool] = struct{}{}
		}
	}
	for pool := range freed {
		p.run(pool)
	}
	for _, offer := range up.GetOffers() {
		p.handleOffer(offer, o, now)
	}
}

func (p *Placer) handleOffer(offer *peerpb.Offer, o *outlet, now time.Time) {
	pool := p.localPool(poolKey{model: offer.GetModel(), region: p.region()})
	if pool == nil {
		o.push(notReady(offer.GetGeneration(), now), now)
		return
	}
	p.noteTakeover(pool, now)
	o.add(offer.GetGeneration(), offer.GetHandle(), pool)
	request := requestOfOffer(offer, o.origin, now)
	if offer.GetRunningOn() != "" {
		o.decided(offer.GetGeneration(), true)
		pool.register(request, offer.GetRunningOn(), int(offer.GetShownTokens()), now)
	} else {
		decision := pool.offer(request, now)
		o.push(decision, now)
		if decision.Verdict == sched.VerdictWait {
			p.wakeUp()
		}
	}
	if o.isClosed() {
		// The stream ended after its requests were given up, so this one was missed.
		pool.disconnect([]string{offer.GetGeneration()}, o.origin, now)
	}
}

func (o *outlet) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

func (o *outlet) add(id string, handle uint32, pool *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byHandle, o.open[id].handle)
	o.byHandle[handle] = id
	o.open[id] = openRequest{pool: pool, handle: handle}
	o.waiting[id] = struct{}{}
}

// decided notes that a request has its final decision; running tells whether it stays open.
func (o *outlet) decided(id string, running bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(id, running)
}

func (o *outlet) settle(id string, running bool) {
	delete(o.waiting, id)
	if !running {
		delete(o.byHandle, o.open[id].handle)
		delete(o.open, id)
	}
}

// named returns the open request with a handle, and its pool, which is nil if the request has ended.
func (o *outlet) named(handle uint32) (string, *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := o.byHandle[handle]
	return id, o.open[id].pool
}

// poolOf returns the pool of an open request, or nil.
func (o *outlet) poolOf(id string) *pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open[id].pool
}

func (o *outlet) drop(id string) *pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	pool := o.open[id].pool
	o.settle(id, false)
	return pool
}

// push queues a decision for the instance. A final one for a request that was ended meanwhile is sent all the same; the
// instance ignores it.
func (o *outlet) push(decision sched.Decision, now time.Time) {
	o.mu.Lock()
	o.decisions = append(o.decisions, messageOf(decision, now))
	if decision.Verdict == sched.VerdictServe || decision.Verdict == sched.VerdictRefuse {
		o.settle(decision.ID, decision.Verdict == sched.VerdictServe)
	}
	o.mu.Unlock()
	o.signal()
}

// heartbeat queues an empty message if the instance has waiting requests.
func (o *outlet) heartbeat() {
	o.mu.Lock()
	o.beat = len(o.waiting) > 0
	beat := o.beat
	o.mu.Unlock()
	if beat {
		o.signal()
	}
}

func (o *outlet) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outlet) take() *peerpb.ScheduleDown {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.decisions) == 0 && !o.beat {
		return nil
	}
	down := &peerpb.ScheduleDown{Decisions: o.decisions}
	o.decisions, o.beat = nil, false
	return down
}
