package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/internal/spill"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// localOrigin is the origin of this instance's own requests. Sessions of other instances have greater origins.
const localOrigin uint64 = 0

// poolKey identifies a pool: the engines that serve one model in one region.
type poolKey struct {
	model  string
	region string
}

// rankKey returns the rendezvous key by which the home of the pool is chosen.
func (k poolKey) rankKey() string { return "pool/" + k.model + "/" + k.region }

// pool is one pool's scheduler on this instance. On the home it decides for all instances; elsewhere it decides for
// this instance alone while no home answers. It is safe for concurrent use and calls nothing that takes another lock of
// this package.
type pool struct {
	key       poolKey
	backends  pond.BackendView
	onFailure func(engine string)
	disabled  pond.MechanismSet
	balance   bool
	cold      func(engine string) (left time.Duration, mostPerSecond float64)
	now       func() time.Time
	mu        sync.Mutex
	scheduler *sched.Scheduler
	manifest  *spec.Manifest
	engines   []spec.Backend
	// spill decides which requests go to other regions, and choose is its method; choose is nil unless balance is set
	// and another region has engines for the model.
	spill  *spill.Home
	choose sched.Chooser
	// disconnected holds running requests whose instance is no longer connected, and when they release their memory.
	disconnected map[string]time.Time
	// unread holds the generations that load reports list as having no reader.
	unread map[string]unreadSpan
}

func newPool(key poolKey, options Options, budget *spill.Budget, manifest *spec.Manifest) *pool {
	p := &pool{
		key: key, backends: options.Backends, onFailure: options.OnEngineFailure, disabled: options.Disabled,
		cold: options.Cold, now: options.Now,
		balance: options.BalanceRegions, spill: spill.NewHome(key.region, budget),
		disconnected: make(map[string]time.Time), unread: make(map[string]unreadSpan),
	}
	p.scheduler = sched.New(policyOf(manifest, p.disabled), rand.New(rand.NewPCG(options.Seed, hashOf(key))))
	p.applyManifest(manifest)
	return p
}

// applyManifest applies a manifest, unless it is nil or already in effect in the pool.
func (p *pool) applyManifest(manifest *spec.Manifest) {
	if manifest == nil || manifest == p.manifest {
		return
	}
	p.manifest = manifest
	p.engines = nil // Readers may still hold the old slice, so it is not reused.
	specs := make([]sched.Engine, 0)
	for _, backend := range manifest.Backends() {
		model, version := backend.Model()
		if backend.Kind() != spec.BackendEngine || model != p.key.model || backend.Region() != p.key.region {
			continue
		}
		p.engines = append(p.engines, backend)
		specs = append(specs, sched.Engine{
			Name:         backend.Name(),
			Version:      version,
			Adapters:     backend.Adapters(),
			MemoryTokens: backend.MemoryTokens(),
			MaxRunning:   backend.MaxRunning(),
			DataCentre:   backend.DataCentre(),
			Accepting:    p.accepting(backend),
		})
	}
	p.choose = nil
	if p.balance {
		others := servingRegions(manifest, p.key.model, p.key.region)
		p.spill.SetRegions(others)
		if len(others) > 0 {
			p.choose = p.spill.Choose
		}
	}
	p.scheduler.SetPolicy(policyOf(manifest, p.disabled))
	p.scheduler.SetEngines(specs)
	p.refreshCold()
}

func (p *pool) accepting(backend spec.Backend) bool {
	return !backend.Leaving() && p.backends.Accepting(backend.Name())
}

// refresh applies the manifest in effect and the current view of the engines.
func (p *pool) refresh(manifest *spec.Manifest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyManifest(manifest)
	for _, backend := range p.engines {
		p.scheduler.SetAccepting(backend.Name(), p.accepting(backend))
	}
	p.refreshCold()
}

// refreshCold tells the scheduler which engines are cold.
func (p *pool) refreshCold() {
	if p.cold == nil {
		return
	}
	now := p.now()
	for _, backend := range p.engines {
		if left, most := p.cold(backend.Name()); left > 0 {
			p.scheduler.SetCold(backend.Name(), sched.Cold{Until: now.Add(left), MostPerSecond: most}, now)
		}
	}
}

// offer decides about a request. SentFrom is the region whose home sent it here, or empty.
func (p *pool) offer(request sched.Request, sentFrom string, now time.Time) sched.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.disconnected, request.ID)
	p.fillFromManifest(&request)
	decision := p.recheckEngine(p.scheduler.OfferOr(request, p.choose, now), now)
	if kind, cost, ok := p.scheduler.Size(request.ID); ok && p.balance {
		switch {
		case sentFrom != "":
			p.spill.Received(sentFrom, kind, cost)
		case request.Stays && request.MaxLoad == 0:
			p.spill.Arrived(kind, cost, now)
		}
	}
	return decision
}

// register adds a request that already runs.
func (p *pool) register(request sched.Request, engine string, shownTokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.disconnected, request.ID)
	p.fillFromManifest(&request)
	p.scheduler.Register(request, engine, shownTokens, now)
}

// fillFromManifest sets the weight of the request's account and limits its tokens to the model's maximum.
func (p *pool) fillFromManifest(request *sched.Request) {
	request.Weight = 1
	if account, ok := p.manifest.Account(request.Account); ok {
		request.Weight = account.Weight()
	}
	limit := request.MaxTokens
	if model, ok := p.manifest.Model(p.key.model); ok && (limit <= 0 || limit > model.MaxTokens()) {
		limit = model.MaxTokens()
	}
	request.MaxTokens = max(limit, 1)
}

// recheckEngine checks a decision to serve against the view of the backend servers directly before the request is
// dispatched, and lets the scheduler choose again while the chosen engine does not accept work.
func (p *pool) recheckEngine(decision sched.Decision, now time.Time) sched.Decision {
	for decision.Verdict == sched.VerdictServe && !p.backends.Accepting(decision.Engine) {
		decision = p.scheduler.Reject(decision.ID, now)
	}
	return decision
}

func (p *pool) progress(id string, progress sched.Progress, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Progress(id, progress, now)
}

func (p *pool) finish(id string, end sched.End, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.disconnected, id)
	if engine, running := p.scheduler.EngineOf(id); running && end.BackendFailed {
		p.onFailure(engine)
	}
	p.scheduler.Finish(id, end, now)
}

// moveEnded reports how a move ended.
func (p *pool) moveEnded(id, target string, ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.onFailure(target)
	}
	p.scheduler.FinishMove(id, target, ok, now)
}

// disconnect handles the requests of an instance whose stream ended. Waiting ones are canceled, because their instance
// offers them elsewhere. Running ones may continue: they keep their memory for resumeWindow, unless a stream registers
// them again.
func (p *pool) disconnect(ids []string, origin uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		running, known := p.scheduler.IsRunning(id, origin)
		switch {
		case !known:
		case running:
			p.disconnected[id] = now.Add(resumeWindow)
		default:
			p.scheduler.Cancel(id, now)
		}
	}
}

// tick runs the scheduler and returns a copy of its decisions.
func (p *pool) tick(now time.Time) []sched.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, releaseAt := range p.disconnected {
		if !now.Before(releaseAt) {
			delete(p.disconnected, id)
			p.scheduler.Finish(id, sched.End{}, now)
		}
	}
	var decisions []sched.Decision
	for _, decision := range p.scheduler.Tick(now) {
		if decision = p.recheckEngine(decision, now); decision.Verdict != sched.VerdictWait {
			decisions = append(decisions, decision)
		}
	}
	return append(decisions, p.scheduler.Offload(p.choose, now)...)
}

// pause makes new requests wait until the given time.
func (p *pool) pause(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Pause(until)
}

// stats returns the scheduler's request counts.
func (p *pool) stats() sched.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Stats()
}

func (p *pool) engineStats() []sched.EngineStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.EngineStats()
}
