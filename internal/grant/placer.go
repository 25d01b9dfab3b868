package grant

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
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// tickInterval is the time between two runs of the systems of a pool with waiting requests.
	tickInterval = 5 * time.Millisecond

	// idleInterval is the time between two runs of a pool without waiting requests, between progress reports to a home,
	// and between two checks of which instance is the home.
	idleInterval = 100 * time.Millisecond

	// progressRate bounds the progress items that an instance sends in a second. An item takes about 15 bytes, and 120
	// running requests reporting every idleInterval would send 18 KB a second, above the 5 KB for control.
	progressRate = 40

	// maxProgressPause bounds the age of the progress that a home knows, however many requests run.
	maxProgressPause = 2 * time.Second

	// homeSilence is the time after which a home that owes an answer counts as lost. A home that has waiting requests
	// sends a message every beatInterval.
	homeSilence = time.Second

	// homePause is the time for which a lost home is passed over.
	homePause = time.Second

	// idleLinkLimit is the time after which a stream without requests is closed.
	idleLinkLimit = time.Minute

	// resumeLimit is the time that a caller has to resume a stream; until then a generation without a reader runs on.
	resumeLimit = 10 * time.Second

	// maxOffers bounds the offers of one request after decisions for an engine that does not accept work.
	maxOffers = 4

	retryDelay = time.Second
)

// Placer implements pond.Placer and the Scheduling service of the peer protocol. It is safe for concurrent use.
//
// Lock order: the placer's lock, then a pool's, a link's or an outlet's.
type Placer struct {
	options Options
	budget  *linkBudget
	ctx     context.Context // ends the links
	stop    context.CancelFunc
	group   sync.WaitGroup
	wake    chan struct{}
	// viewChanged is set when the view of the engines has changed since the last maintenance.
	viewChanged atomic.Bool
	drained     chan struct{} // closed when this instance gives up its homes

	mu       sync.Mutex
	draining bool
	tickets  map[string]*ticket
	pools    map[poolKey]*pool
	homes    map[poolKey][]pond.Instance
	// rankedFrom is the first element of the directory from which homes were ranked.
	rankedFrom *pond.Instance
	homesAt    time.Time // when the homes are ranked again
	links      map[string]*link
	deciders   map[poolKey]*link // the link that decided last; nil for this instance itself
	// takeoverUntil holds the times until which offers of other instances cause no further pause of a pool.
	takeoverUntil map[poolKey]time.Time
	paused        map[string]time.Time // addresses of lost homes, with the end of the pause
	outlets       map[uint64]*outlet
	lastOrigin    uint64
}

var (
	_ pond.Placer                 = (*Placer)(nil)
	_ pond.MovablePlacement       = (*ticket)(nil)
	_ peerpb.DRPCSchedulingServer = (*Placer)(nil)
	_ holder                      = (*link)(nil)
	_ holder                      = localHolder{}
)

// New returns a placer. Requests that can start at once are placed from the first call of Place on; queues move and
// streams to homes end only while Run is active.
func New(options Options) *Placer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rank == nil {
		options.Rank = RendezvousRank
	}
	if options.Engines == nil {
		options.Engines = engine.NewClient(engine.NewTransport())
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
		options:       options,
		budget:        new(linkBudget),
		ctx:           ctx,
		stop:          stop,
		wake:          make(chan struct{}, 1),
		drained:       make(chan struct{}),
		tickets:       make(map[string]*ticket),
		pools:         make(map[poolKey]*pool),
		homes:         make(map[poolKey][]pond.Instance),
		links:         make(map[string]*link),
		deciders:      make(map[poolKey]*link),
		takeoverUntil: make(map[poolKey]time.Time),
		paused:        make(map[string]time.Time),
		outlets:       make(map[uint64]*outlet),
	}
}

// Place implements pond.Placer.
func (p *Placer) Place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	now := p.options.Now()
	manifest := p.options.Manifests.Current()
	if manifest == nil || !p.options.Manifests.Confirmed(now) {
		return nil, refuse(pond.ReasonNotReady, now.Add(retryDelay), "the manifest is not confirmed")
	}
	if _, ok := manifest.Model(req.Model); !ok {
		return nil, refuse(pond.ReasonNotFound, time.Time{}, "no model is named "+req.Model)
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(manifest.Policy().DefaultDeadline())
	}
	placement, refusal := p.placeIn(ctx, req, p.region())
	if refusal == nil {
		return placement, nil
	}
	for _, region := range p.otherRegions(manifest, req, refusal) {
		if placement, other := p.placeIn(ctx, req, region); other == nil {
			return placement, nil
		}
	}
	return nil, refusal
}

func (p *Placer) placeIn(ctx context.Context, req pond.PlaceRequest, region string) (pond.Placement, *pond.Refusal) {
	t := &ticket{
		placer:  p,
		req:     req,
		key:     poolKey{model: req.Model, region: region},
		answers: make(chan answer, 1),
		moves:   make(chan pond.Move, 1),
	}
	t.req.Avoid, t.retry = slices.Clone(req.Avoid), len(req.Avoid) > 0
	if !p.admit(t) {
		return nil, refuse(pond.ReasonBadRequest, time.Time{}, "the generation is placed already")
	}
	deadline := time.NewTimer(req.Deadline.Sub(p.options.Now()))
	defer deadline.Stop()
	select {
	case a := <-t.answers:
		if a.refusal != nil {
			return nil, a.refusal
		}
		return t, nil
	case <-ctx.Done():
		p.end(t, sched.End{}, p.options.Now())
		return nil, refuse(pond.ReasonCanceled, time.Time{}, "the caller gave up while the request waited")
	case <-deadline.C:
		p.end(t, sched.End{}, p.options.Now())
		return nil, refuse(pond.ReasonDeadline, time.Time{}, "the deadline passed before an engine had room")
	}
}

// admit makes the ticket known and offers it for the first time.
func (p *Placer) admit(t *ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.tickets[t.req.Generation]; ok {
		return false
	}
	p.tickets[t.req.Generation] = t
	p.offer(t, p.options.Now())
	return true
}

// offer asks the present holder of the ticket's pool for a decision. The lock must be held.
func (p *Placer) offer(t *ticket, now time.Time) {
	t.offers++
	t.offeredAt = now
	t.holder = p.holder(t.key, now)
	if t.holder == nil {
		p.settle(t, refuse(pond.ReasonNoBackend, now.Add(retryDelay), "no instance of region "+t.key.region+" answers"))
		return
	}
	decision, decided := t.holder.offer(t, now)
	if decided {
		p.decide(t.holder, decision, now)
	} else if _, local := t.holder.(localHolder); local {
		p.wakeUp()
	}
}

// decide applies a decision of a holder. Only a decision of the ticket's present holder counts; a holder whose
// decision to serve comes too late is told that the request ended. The lock must be held.
func (p *Placer) decide(h holder, decision sched.Decision, now time.Time) {
	t, ok := p.tickets[decision.ID]
	if decision.Verdict == sched.VerdictMove {
		if ok && t.state == ticketRunning && t.holder == h {
			t.askMove(pond.Move{From: decision.Source, Backend: decision.Engine})
		}
		return
	}
	if !ok || t.state != ticketWaiting || t.holder != h {
		if decision.Verdict == sched.VerdictServe && (!ok || t.holder != h) {
			h.finish(decision.ID, sched.End{}, now)
		}
		return
	}
	switch decision.Verdict {
	case sched.VerdictRefuse:
		p.settle(t, refuse(decision.Reason, decision.RetryAt, decision.Detail))
	case sched.VerdictServe:
		p.start(t, decision.Engine, now)
	}
}

// start gives the ticket its engine, or offers it again if the engine does not accept work by this instance's view.
func (p *Placer) start(t *ticket, engine string, now time.Time) {
	backend, ok := p.options.Manifests.Current().Backend(engine)
	if ok && now.Before(t.req.Deadline) && p.options.Backends.Accepting(engine) {
		t.state, t.placedAt = ticketRunning, now
		t.backend, t.address = engine, backend.Address()
		t.answers <- answer{}
		return
	}
	t.holder.finish(t.req.Generation, sched.End{}, now)
	if t.offers >= maxOffers || !now.Before(t.req.Deadline) {
		p.settle(t, refuse(pond.ReasonNoBackend, now.Add(retryDelay), "the chosen engines do not accept work"))
		return
	}
	t.req.Avoid = append(t.req.Avoid, engine)
	p.offer(t, now)
}

// settle refuses a waiting ticket. The lock must be held.
func (p *Placer) settle(t *ticket, refusal *pond.Refusal) {
	t.state = ticketEnded
	delete(p.tickets, t.req.Generation)
	t.answers <- answer{refusal: refusal}
}

// end removes a ticket that its caller gave up or finished.
func (p *Placer) end(t *ticket, end sched.End, now time.Time) {
	p.mu.Lock()
	if t.state == ticketEnded {
		p.mu.Unlock()
		return
	}
	t.state = ticketEnded
	delete(p.tickets, t.req.Generation)
	if t.holder != nil {
		t.holder.finish(t.req.Generation, end, now)
	}
	local, ok := t.holder.(localHolder)
	p.mu.Unlock()
	if ok {
		p.run(local.pool)
	}
}

// moved passes on how a move of a running ticket ended.
func (p *Placer) moved(t *ticket, target string, ok bool, now time.Time) {
	p.mu.Lock()
	if t.state != ticketRunning || t.holder == nil {
		p.mu.Unlock()
		return
	}
	if ok {
		t.backend = target
	}
	t.holder.moved(t.req.Generation, target, ok, now)
	local, isLocal := t.holder.(localHolder)
	p.mu.Unlock()
	if isLocal {
		p.run(local.pool)
	}
}

// run runs a pool's systems and passes on the decisions.
func (p *Placer) run(pool *pool) {
	now := p.options.Now()
	decisions := pool.tick(now)
	if len(decisions) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, decision := range decisions {
		if decision.Origin == localOrigin {
			p.decide(localHolder{pool}, decision, now)
		} else if o, ok := p.outlets[decision.Origin]; ok {
			o.push(decision, now)
		} else if decision.Verdict == sched.VerdictServe {
			// The instance is no longer connected and never learned of the decision.
			pool.finish(decision.ID, sched.End{}, now)
		}
	}
}

// Open returns the number of requests of this instance that wait or run.
func (p *Placer) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tickets)
}

// PoolStats describes one pool for which this instance has a scheduler.
type PoolStats struct {
	Model, Region string
	// Home is the instance that decides for the pool.
	Home    pond.InstanceID
	Counts  sched.Stats
	Engines []sched.EngineStats
}

// Pools describes the pools for which this instance has a scheduler, in the order of model and region.
func (p *Placer) Pools() []PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]PoolStats, 0, len(p.pools))
	for key, pool := range p.pools {
		stats := PoolStats{Model: key.model, Region: key.region, Counts: pool.stats(), Engines: pool.engineStats()}
		if homes := p.ranked(key); len(homes) > 0 {
			stats.Home = homes[0].ID()
		}
		pools = append(pools, stats)
	}
	slices.SortFunc(pools, func(a, b PoolStats) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Region, b.Region))
	})
	return pools
}

// Stats returns the counts of each pool that this instance decides for, by "MODEL/REGION".
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
	pool := newPool(key, p.options.Backends, manifest, p.options.Seed)
	p.pools[key] = pool
	return pool
}

func refuse(reason pond.Reason, retryAt time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, retryAt, detail)
}

func notReady(id string, now time.Time) sched.Decision {
	return sched.Decision{
		ID: id, Verdict: sched.VerdictRefuse, Reason: pond.ReasonNotReady,
		RetryAt: now.Add(retryDelay), Detail: "the home has no manifest",
	}
}

// manifest returns the manifest in effect.
func (p *Placer) manifest() *spec.Manifest { return p.options.Manifests.Current() }
