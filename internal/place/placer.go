package place

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/internal/spill"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// tickInterval is the time between two scheduler ticks of a pool with waiting requests.
	tickInterval = 5 * time.Millisecond

	// maintenanceInterval is the time between two calls of maintain and between two scheduler ticks of a pool without
	// waiting requests, and the least time between two progress reports of a request to a home.
	maintenanceInterval = 100 * time.Millisecond

	// maxProgressRate bounds the progress items that an instance sends per second. An item takes about 15 bytes, so 120
	// running requests that report every maintenanceInterval would send 18 KB/s, above the 5 KB/s for control traffic.
	maxProgressRate = 40

	// maxProgressInterval bounds the age of the progress that a home knows, however many requests run.
	maxProgressInterval = 2 * time.Second

	// homeTimeout is the time without a message after which a home with requests of this instance in its queue counts as
	// lost. Such a home sends a heartbeat every heartbeatInterval.
	homeTimeout = time.Second

	// homeBackoff is the time for which a lost home is skipped.
	homeBackoff = time.Second

	// idleStreamTimeout is the time after which a stream without requests is closed.
	idleStreamTimeout = time.Minute

	// resumeWindow is the time that a caller has to resume a stream. Until then, a generation without a reader is not
	// canceled.
	resumeWindow = 10 * time.Second

	// maxOffers bounds how often one request is offered when the chosen engines do not accept work.
	maxOffers = 4

	// retryDelay is the time that refusals without a predicted wait ask callers to wait.
	retryDelay = time.Second
)

// Placer implements pond.Placer and the Scheduling service of the peer protocol. It is safe for concurrent use.
//
// Lock order: the placer's lock, then that of a pool, a home stream or a session.
type Placer struct {
	options Options
	budget  *linkBudget
	// spillBudget is the budget of the link for the requests that this instance, as a home, sends to other regions.
	spillBudget *spill.Budget
	// decidesRegions is true while this instance decides, for the pools whose home it is, which requests go to other
	// regions.
	decidesRegions atomic.Bool
	sentRequests   atomic.Int64    // requests of this instance that were sent to another region
	returned       atomic.Int64    // those that returned
	streamCtx      context.Context // bounds the life of all home streams
	cancelStreams  context.CancelFunc
	group          sync.WaitGroup
	wake           chan struct{}
	// viewChanged is true if the view of the engines changed after the last call of maintain.
	viewChanged  atomic.Bool
	drainStarted chan struct{} // closed when this instance stops being a home

	mu       sync.Mutex
	draining bool
	requests map[string]*localRequest
	pools    map[poolKey]*pool
	// rankings holds the instances that may be the home of each pool, the home first.
	rankings map[poolKey][]pond.Instance
	// rankedFrom points to the first element of the directory slice from which the rankings were made.
	rankedFrom      *pond.Instance
	nextRankingAt   time.Time               // when the rankings are due for a refresh
	homeStreams     map[string]*homeStream  // by peer address
	lastHomeStreams map[poolKey]*homeStream // the stream last chosen as coordinator; nil if none was
	// nextTakeoverPause holds the times from which an offer of another instance may pause a pool again.
	nextTakeoverPause map[poolKey]time.Time
	backoffUntil      map[string]time.Time // addresses of lost homes, with the end of their backoff
	sessions          map[uint64]*session  // by origin
	lastOrigin        uint64
	unreached         map[poolKey]unreachedPool // of other regions

	serving atomic.Pointer[servingTable]
}

var (
	_ pond.Placer                 = (*Placer)(nil)
	_ pond.MovablePlacement       = (*localRequest)(nil)
	_ pond.UrgentPlacement        = (*localRequest)(nil)
	_ peerpb.DRPCSchedulingServer = (*Placer)(nil)
	_ coordinator                 = (*homeStream)(nil)
	_ coordinator                 = localCoordinator{}
)

// New returns a placer. Place serves requests that can start at once even without Run, but queues advance and streams
// to homes are closed only while Run is active.
func New(options Options) *Placer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rank == nil {
		options.Rank = RendezvousRank
	}
	if options.Engines == nil {
		options.Engines = engine.NewClient(nil)
	}
	if options.ReportInterval == nil {
		options.ReportInterval = func() time.Duration { return reportInterval }
	}
	if options.OnEngineFailure == nil {
		options.OnEngineFailure = func(string) {}
	}
	if options.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		options.Log = log
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Placer{
		options:           options,
		budget:            new(linkBudget),
		spillBudget:       spill.NewBudget(),
		streamCtx:         ctx,
		cancelStreams:     stop,
		wake:              make(chan struct{}, 1),
		drainStarted:      make(chan struct{}),
		requests:          make(map[string]*localRequest),
		pools:             make(map[poolKey]*pool),
		rankings:          make(map[poolKey][]pond.Instance),
		homeStreams:       make(map[string]*homeStream),
		lastHomeStreams:   make(map[poolKey]*homeStream),
		nextTakeoverPause: make(map[poolKey]time.Time),
		backoffUntil:      make(map[string]time.Time),
		sessions:          make(map[uint64]*session),
		unreached:         make(map[poolKey]unreachedPool),
	}
}

// Place implements pond.Placer.
func (p *Placer) Place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	return p.placeBy(ctx, p, req)
}

// placeSteps are the parts of a placement that change something.
type placeSteps interface {
	homeDecidesRegions(key poolKey, now time.Time) bool
	placeIn(ctx context.Context, req pond.PlaceRequest, region string, maxLoad float64) (pond.Placement, *pond.Refusal)
	allowLink(manifest *spec.Manifest, req pond.PlaceRequest) bool
}

// placeBy places a request, region by region.
func (p *Placer) placeBy(ctx context.Context, steps placeSteps, req pond.PlaceRequest) (pond.Placement, error) {
	now := p.options.Now()
	manifest := p.options.Manifests.Current()
	if manifest == nil || !p.options.Manifests.Confirmed(now) {
		return nil, newRefusal(pond.ReasonNotReady, now.Add(retryDelay), "the manifest is not confirmed")
	}
	if _, ok := manifest.Model(req.Model); !ok {
		return nil, newRefusal(pond.ReasonNotFound, time.Time{}, "no model is named "+req.Model)
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(manifest.Policy().DefaultDeadline())
	}
	if p.restricts(manifest, req) {
		return p.placeInAllowed(ctx, steps, manifest, req)
	}
	if p.options.BalanceRegions && !steps.homeDecidesRegions(poolKey{model: req.Model, region: p.region()}, now) {
		if placement := p.placeByLoad(ctx, steps, manifest, req); placement != nil {
			return placement, nil
		}
	}
	placement, refusal := steps.placeIn(ctx, req, p.region(), 0)
	if refusal == nil {
		return placement, nil
	}
	for _, region := range p.otherRegions(steps, manifest, req, refusal) {
		if placement, otherRefusal := steps.placeIn(ctx, req, region, 0); otherRefusal == nil {
			return placement, nil
		}
	}
	return nil, refusal
}

// newLocalRequest returns a request of this instance for one region.
func (p *Placer) newLocalRequest(req pond.PlaceRequest, region string, maxLoad float64) *localRequest {
	r := &localRequest{
		placer: p,
		req:    req,
		key:    poolKey{model: req.Model, region: region},
		result: make(chan placeResult, 1),
		moves:  make(chan pond.Move, 1),

		restricted:     p.restricts(p.manifest(), req),
		firstOfferedAt: p.options.Now(),
		ownRegion:      p.region(),
		sendable:       p.options.BalanceRegions && region == p.region() && maxLoad == 0,
		maxLoad:        maxLoad,
	}
	r.req.Avoid, r.retry = slices.Concat(req.Avoid, req.Exclude), len(req.Avoid) > 0
	return r
}

func (p *Placer) placeIn(
	ctx context.Context, req pond.PlaceRequest, region string, maxLoad float64,
) (pond.Placement, *pond.Refusal) {
	r := p.newLocalRequest(req, region, maxLoad)
	if !p.submit(r) {
		return nil, newRefusal(pond.ReasonBadRequest, time.Time{}, "the generation is placed already")
	}
	deadlineTimer := time.NewTimer(req.Deadline.Sub(p.options.Now()))
	defer deadlineTimer.Stop()
	select {
	case result := <-r.result:
		if result.refusal != nil {
			return nil, result.refusal
		}
		return r, nil
	case <-ctx.Done():
		p.endRequest(r, sched.End{}, p.options.Now())
		return nil, newRefusal(pond.ReasonCanceled, time.Time{}, "the caller gave up while the request waited")
	case <-deadlineTimer.C:
		p.endRequest(r, sched.End{}, p.options.Now())
		return nil, newRefusal(pond.ReasonDeadline, time.Time{}, "the deadline passed before an engine had room")
	}
}

// submit tracks a request and offers it for the first time. It returns false if its generation is tracked already.
func (p *Placer) submit(r *localRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.requests[r.req.Generation]; ok {
		return false
	}
	p.requests[r.req.Generation] = r
	p.offer(r, p.options.Now())
	return true
}

// offer asks the current coordinator of the request's pool for a decision. The lock must be held.
func (p *Placer) offer(r *localRequest, now time.Time) {
	r.offers++
	r.offeredAt = now
	r.coordinator = p.coordinator(r.key, r.mayLackHome(), now)
	p.beginOwnDecision(r, now)
	if r.coordinator == nil {
		p.refuse(r, newRefusal(pond.ReasonNoBackend, now.Add(retryDelay), "no instance of region "+r.key.region+" answers"))
		return
	}
	decision, decided := r.coordinator.offer(r, now)
	if decided {
		p.applyDecision(r.coordinator, decision, now)
	} else if _, local := r.coordinator.(localCoordinator); local {
		p.wakeUp()
	}
}

// applyDecision applies a decision of a coordinator. Only a decision of the request's current coordinator counts; a
// coordinator whose decision to serve comes too late is told that the request ended. The lock must be held.
func (p *Placer) applyDecision(c coordinator, decision sched.Decision, now time.Time) {
	r, ok := p.requests[decision.ID]
	if decision.Verdict == sched.VerdictMove {
		if ok && r.state == requestRunning && r.coordinator == c {
			r.requestMove(pond.Move{From: decision.Source, Backend: decision.Engine})
		}
		return
	}
	if !ok || r.state != requestWaiting || r.coordinator != c {
		if decision.Verdict == sched.VerdictServe && (!ok || r.coordinator != c) {
			c.finish(decision.ID, sched.End{}, now)
		}
		return
	}
	if s, remote := c.(*homeStream); remote && (decision.Verdict == sched.VerdictRefuse || decision.Verdict == sched.VerdictSend) {
		delete(s.handles, decision.ID) // The home has ended the request, so no finish follows.
	}
	switch decision.Verdict {
	case sched.VerdictRefuse:
		p.refuse(r, newRefusal(decision.Reason, decision.RetryAt, decision.Detail))
	case sched.VerdictServe:
		p.assignEngine(r, decision, now)
	case sched.VerdictSend:
		p.sendToRegion(r, decision, now)
	}
}

// assignEngine assigns the request to an engine, or offers it again if this instance's view says that the engine does
// not accept work. The lock must be held.
func (p *Placer) assignEngine(r *localRequest, decision sched.Decision, now time.Time) {
	engine := decision.Engine
	backend, ok := p.options.Manifests.Current().Backend(engine)
	if ok && now.Before(r.req.Deadline) && p.options.Backends.Accepting(engine) {
		r.state, r.placedAt = requestRunning, now
		r.backend, r.address, r.urgent = engine, backend.Address(), decision.Urgent
		r.result <- placeResult{}
		return
	}
	r.coordinator.finish(r.req.Generation, sched.End{}, now)
	if r.offers >= maxOffers || !now.Before(r.req.Deadline) {
		p.refuse(r, newRefusal(pond.ReasonNoBackend, now.Add(retryDelay), "the chosen engines do not accept work"))
		return
	}
	r.req.Avoid = append(r.req.Avoid, engine)
	p.offer(r, now)
}

// refuse answers a waiting request with a refusal. A request that was sent to another region returns to its own one
// instead, as long as it can still be served. The lock must be held.
func (p *Placer) refuse(r *localRequest, refusal *pond.Refusal) {
	if now := p.options.Now(); r.sentTo != "" && now.Before(r.req.Deadline) {
		p.returnHome(r, refusal.Detail(), now)
		return
	}
	r.state = requestEnded
	delete(p.requests, r.req.Generation)
	r.result <- placeResult{refusal: refusal}
}

// endRequest removes a request that its caller canceled or finished.
func (p *Placer) endRequest(r *localRequest, end sched.End, now time.Time) {
	p.mu.Lock()
	if r.state == requestEnded {
		p.mu.Unlock()
		return
	}
	r.state = requestEnded
	delete(p.requests, r.req.Generation)
	p.recordOwnDecision(r, end.Tokens, end.BackendFailed, now)
	if r.coordinator != nil {
		r.coordinator.finish(r.req.Generation, end, now)
	}
	local, isLocal := r.coordinator.(localCoordinator)
	p.mu.Unlock()
	if isLocal {
		p.tickPool(local.pool)
	}
}

// reportMoveEnd tells the coordinator how a move of a running request ended.
func (p *Placer) reportMoveEnd(r *localRequest, target string, ok bool, now time.Time) {
	p.mu.Lock()
	if r.state != requestRunning || r.coordinator == nil {
		p.mu.Unlock()
		return
	}
	if ok {
		r.backend = target
	}
	r.coordinator.moveEnded(r.req.Generation, target, ok, now)
	local, isLocal := r.coordinator.(localCoordinator)
	p.mu.Unlock()
	if isLocal {
		p.tickPool(local.pool)
	}
}

// tickPool runs one scheduler tick of a pool and delivers its decisions.
func (p *Placer) tickPool(pool *pool) {
	now := p.options.Now()
	decisions := pool.tick(now)
	if len(decisions) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, decision := range decisions {
		if decision.Origin == localOrigin {
			p.applyDecision(localCoordinator{pool}, decision, now)
		} else if s, ok := p.sessions[decision.Origin]; ok {
			s.push(decision, now)
		} else if decision.Verdict == sched.VerdictServe {
			// The instance disconnected before it received the decision.
			pool.finish(decision.ID, sched.End{}, now)
		}
	}
}

// OpenRequests returns the number of waiting and running requests of this instance.
func (p *Placer) OpenRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

// PoolStats describes one pool for which this instance has a scheduler.
type PoolStats struct {
	Model, Region string
	// Home is the instance ranked first for the pool.
	Home    pond.InstanceID
	Counts  sched.Stats
	Engines []sched.EngineStats
}

// Pools describes the pools for which this instance has a scheduler, sorted by model and region.
func (p *Placer) Pools() []PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]PoolStats, 0, len(p.pools))
	for key, pool := range p.pools {
		stats := PoolStats{Model: key.model, Region: key.region, Counts: pool.stats(), Engines: pool.engineStats()}
		if homes := p.ranking(key); len(homes) > 0 {
			stats.Home = homes[0].ID()
		}
		pools = append(pools, stats)
	}
	slices.SortFunc(pools, func(a, b PoolStats) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Region, b.Region))
	})
	return pools
}

// Stats returns the counts of each pool for which this instance has a scheduler, by "MODEL/REGION".
func (p *Placer) Stats() map[string]sched.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := make(map[string]sched.Stats, len(p.pools))
	for key, pool := range p.pools {
		stats[key.model+"/"+key.region] = pool.stats()
	}
	return stats
}

func (p *Placer) region() string { return p.options.Directory.Self().Region() }

// localPool returns this instance's own scheduler of a pool, or nil before the first manifest.
func (p *Placer) localPool(key poolKey) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.localPoolLocked(key)
}

func (p *Placer) localPoolLocked(key poolKey) *pool {
	if pool, ok := p.pools[key]; ok {
		return pool
	}
	manifest := p.options.Manifests.Current()
	if manifest == nil {
		return nil
	}
	pool := newPool(key, p.options, p.spillBudget, manifest)
	p.pools[key] = pool
	return pool
}

// newRefusal returns a refusal of a request that did not run.
func newRefusal(reason pond.Reason, retryAt time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, retryAt, detail)
}

func notReadyDecision(id string, now time.Time) sched.Decision {
	return sched.Decision{
		ID: id, Verdict: sched.VerdictRefuse, Reason: pond.ReasonNotReady,
		RetryAt: now.Add(retryDelay), Detail: "the home has no manifest",
	}
}

func (p *Placer) manifest() *spec.Manifest { return p.options.Manifests.Current() }
