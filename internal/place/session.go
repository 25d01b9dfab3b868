package place

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// heartbeatInterval is the time between two heartbeats to an instance with waiting requests here, by which it detects a
// home that stopped. Instances without waiting requests get none, to save bytes.
const heartbeatInterval = 250 * time.Millisecond

// errDraining ends the streams of a home that is leaving.
var errDraining = errors.New("the home is leaving")

// session is the home's end of the stream of one other instance. The other end is that instance's homeStream.
type session struct {
	origin uint64
	wake   chan struct{}

	mu           sync.Mutex
	decisions    []*peerpb.ScheduleDecision
	heartbeatDue bool
	// open holds the instance's requests that have not ended; waiting is the subset without a final decision.
	open    map[string]remoteRequest
	waiting map[string]struct{}
	// byHandle maps the handles that the instance chose to the IDs of its open requests.
	byHandle map[uint32]string
	closed   bool
}

// remoteRequest is a request of another instance that has not ended.
type remoteRequest struct {
	pool   *pool
	handle uint32
}

// Schedule serves the requests of one other instance. It implements peerpb.DRPCSchedulingServer.
func (p *Placer) Schedule(stream peerpb.DRPCScheduling_ScheduleStream) error {
	s, err := p.openSession()
	if err != nil {
		return err
	}
	defer p.closeSession(s)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- p.receive(stream, s) }()
	if err := stream.Send(&peerpb.ScheduleDown{DecidesRegions: p.decidesRegions.Load()}); err != nil {
		return err
	}
	for {
		select {
		case err := <-received:
			return err
		case <-p.drainStarted:
			return errDraining
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		}
		if down := s.takePending(); down != nil {
			down.DecidesRegions = p.decidesRegions.Load()
			if err := stream.Send(down); err != nil {
				return err
			}
		}
	}
}

func (p *Placer) openSession() (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return nil, errDraining
	}
	p.lastOrigin++
	s := &session{
		origin:  p.lastOrigin,
		wake:    make(chan struct{}, 1),
		open:    make(map[string]remoteRequest),
		waiting: make(map[string]struct{}),

		byHandle: make(map[uint32]string),
	}
	p.sessions[s.origin] = s
	return s, nil
}

// closeSession removes a session and releases the instance's requests in the pools.
func (p *Placer) closeSession(s *session) {
	p.mu.Lock()
	delete(p.sessions, s.origin)
	p.mu.Unlock()
	s.mu.Lock()
	s.closed = true
	byPool := make(map[*pool][]string)
	for id, request := range s.open {
		byPool[request.pool] = append(byPool[request.pool], id)
	}
	s.mu.Unlock()
	for pool, ids := range byPool {
		pool.disconnect(ids, s.origin, p.options.Now())
		p.tickPool(pool)
	}
}

func (p *Placer) receive(stream peerpb.DRPCScheduling_ScheduleStream, s *session) error {
	for {
		up, err := stream.Recv()
		if err != nil {
			return err
		}
		p.handleMessage(up, s)
	}
}

// handleMessage applies one message. Ends go before offers, because they free capacity for the offers.
func (p *Placer) handleMessage(up *peerpb.ScheduleUp, s *session) {
	now := p.options.Now()
	freed := make(map[*pool]struct{})
	for _, item := range up.GetFinished() {
		if pool := s.remove(item.GetGeneration()); pool != nil {
			pool.finish(item.GetGeneration(), endOf(item), now)
			freed[pool] = struct{}{}
		}
	}
	for _, item := range up.GetProgress() {
		if id, pool := s.requestByHandle(item.GetHandle()); pool != nil {
			pool.progress(id, progressOf(item), now)
		}
	}
	for _, item := range up.GetMoves() {
		if pool := s.poolOf(item.GetGeneration()); pool != nil {
			pool.moveEnded(item.GetGeneration(), item.GetBackend(), item.GetMoved(), now)
			freed[pool] = struct{}{}
		}
	}
	for pool := range freed {
		p.tickPool(pool)
	}
	for _, offer := range up.GetOffers() {
		p.handleOffer(offer, s, now)
	}
}

func (p *Placer) handleOffer(offer *peerpb.Offer, s *session, now time.Time) {
	pool := p.localPool(poolKey{model: offer.GetModel(), region: p.region()})
	if pool == nil {
		s.push(notReadyDecision(offer.GetGeneration(), now), now)
		return
	}
	p.pauseOnRemoteOffer(pool, now)
	s.add(offer.GetGeneration(), offer.GetHandle(), pool)
	request := requestOfOffer(offer, s.origin, now)
	sentFrom := offer.GetSentFrom()
	if offer.GetRunningOn() != "" {
		s.markDecided(offer.GetGeneration(), true)
		pool.register(request, offer.GetRunningOn(), int(offer.GetShownTokens()), now)
	} else {
		decision := pool.offer(request, sentFrom, now)
		s.push(decision, now)
		if decision.Verdict == sched.VerdictWait {
			p.wakeUp()
		}
	}
	if s.isClosed() {
		// closeSession has already released the requests of the session and missed this one.
		pool.disconnect([]string{offer.GetGeneration()}, s.origin, now)
	}
}

func (s *session) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *session) add(id string, handle uint32, pool *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHandle, s.open[id].handle)
	s.byHandle[handle] = id
	s.open[id] = remoteRequest{pool: pool, handle: handle}
	s.waiting[id] = struct{}{}
}

// markDecided records that a request has its final decision; running reports whether it stays open.
func (s *session) markDecided(id string, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markDecidedLocked(id, running)
}

func (s *session) markDecidedLocked(id string, running bool) {
	delete(s.waiting, id)
	if !running {
		delete(s.byHandle, s.open[id].handle)
		delete(s.open, id)
	}
}

// requestByHandle returns the ID of the open request with a handle and its pool, which is nil if the request has ended.
func (s *session) requestByHandle(handle uint32) (string, *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.byHandle[handle]
	return id, s.open[id].pool
}

// poolOf returns the pool of an open request, or nil.
func (s *session) poolOf(id string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id].pool
}

// remove forgets a request and returns its pool, or nil if it was not open.
func (s *session) remove(id string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.open[id].pool
	s.markDecidedLocked(id, false)
	return pool
}

// push queues a decision for the instance. A final decision is sent even if the request has ended meanwhile; the
// instance ignores it.
func (s *session) push(decision sched.Decision, now time.Time) {
	s.mu.Lock()
	s.decisions = append(s.decisions, messageOfDecision(decision, now))
	switch decision.Verdict {
	case sched.VerdictServe, sched.VerdictRefuse, sched.VerdictSend:
		s.markDecidedLocked(decision.ID, decision.Verdict == sched.VerdictServe)
	}
	s.mu.Unlock()
	s.signal()
}

// queueHeartbeat queues an empty message if the instance has waiting requests.
func (s *session) queueHeartbeat() {
	s.mu.Lock()
	s.heartbeatDue = len(s.waiting) > 0
	due := s.heartbeatDue
	s.mu.Unlock()
	if due {
		s.signal()
	}
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takePending returns the queued message, or nil if there is none.
func (s *session) takePending() *peerpb.ScheduleDown {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.decisions) == 0 && !s.heartbeatDue {
		return nil
	}
	down := &peerpb.ScheduleDown{Decisions: s.decisions}
	s.decisions, s.heartbeatDue = nil, false
	return down
}
