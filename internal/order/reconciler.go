package order

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// tick is the time between two looks at the manifest and the membership. A new manifest must be in effect
	// everywhere within 3 s, and most of that is needed by its distribution and the engines.
	tick = 500 * time.Millisecond
	// maxParallel bounds the engines that are looked at at the same time.
	maxParallel = 64
	// engineTimeout bounds one read of a state or one order.
	engineTimeout = 2 * time.Second
)

// ErrFenced is returned by Engines.Order if the engine refused the order because it has seen a newer fencing token.
var ErrFenced = errors.New("the engine has seen a newer fencing token")

// Reasons why an order is not sent although it was planned.
var (
	errSuperseded  = errors.New("another manifest has come into force")
	errUnconfirmed = errors.New("the manifest is not confirmed")
	errNotHome     = errors.New("another instance is home of the engine")
	errLeaving     = errors.New("the engine accepts no work")
)

// Reconciler brings the engines of which this instance is home to their desired state. It implements
// peerpb.DRPCOrdersServer. It is safe for concurrent use.
type Reconciler struct {
	options Options
	self    pond.InstanceRef
	// parallel bounds the engines that are looked at at the same time.
	parallel int

	mu       sync.Mutex
	pacer    *pacer
	homes    homes
	memories map[string]*memory
}

// New returns a reconciler. Nothing happens before Run or Round is called.
func New(options Options) *Reconciler {
	options = options.withDefaults()
	return &Reconciler{
		options:  options,
		self:     options.Directory.Self().Ref(),
		parallel: maxParallel,
		pacer:    newPacer(),
		memories: make(map[string]*memory),
	}
}

// Run reconciles until ctx ends and returns its error.
func (r *Reconciler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, tick, r.observe) })
	group.Go(func() error { return r.runRounds(ctx) })
	return group.Wait()
}

// runRounds starts a round in each tick without waiting for the last one, so that an engine that does not answer delays
// no other engine.
func (r *Reconciler) runRounds(ctx context.Context) error {
	var engines errgroup.Group
	engines.SetLimit(maxParallel)
	err := every(ctx, tick, func() { r.startRound(ctx, engines.TryGo) })
	// The functions return no error.
	_ = engines.Wait()
	return err
}

func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// observe keeps the pacer's view of the home current.
func (r *Reconciler) observe() {
	manifest := r.options.Source.Current()
	if manifest == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeSlots(newShares(manifest), r.options.Clock())
}

// Round looks at every engine of which this instance is home and whose reconcile interval has passed, or at all of them
// if the manifest or the membership changed. It returns when all have been looked at.
func (r *Reconciler) Round(ctx context.Context) {
	var engines errgroup.Group
	engines.SetLimit(r.parallel)
	r.startRound(ctx, func(f func() error) bool {
		engines.Go(f)
		return true
	})
	// The functions return no error.
	_ = engines.Wait()
}

// startRound starts a function for each engine that is due. An engine that start does not accept remains due.
func (r *Reconciler) startRound(ctx context.Context, start func(func() error) bool) {
	manifest := r.options.Source.Current()
	now := r.options.Clock()
	if manifest == nil || !r.options.Source.Confirmed(now) {
		return
	}
	for _, due := range r.due(manifest, now) {
		started := start(func() error {
			defer r.release(due.memory, time.Time{})
			r.reconcile(ctx, manifest, due)
			return nil
		})
		if !started {
			r.release(due.memory, now)
		}
	}
}

// dueEngine is an engine to look at with the memory of it, which is reserved for the look.
type dueEngine struct {
	engine spec.Backend
	memory *memory
}

// due reserves the engines to look at now.
func (r *Reconciler) due(manifest *spec.Manifest, now time.Time) []dueEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.homes.refresh(manifest, r.options.Directory, r.options.Ranking) {
		r.resetMemories(now)
	}
	var due []dueEngine
	for _, engine := range r.homes.engines {
		m := r.memories[engine.Name()]
		if m.busy || now.Before(m.dueAt) {
			continue
		}
		m.busy = true
		m.dueAt = now.Add(r.options.Interval)
		due = append(due, dueEngine{engine: engine, memory: m})
	}
	return due
}

// release ends the reservation. A time that is not zero moves the next look to an earlier time.
func (r *Reconciler) release(m *memory, dueAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.busy = false
	m.dueNoLaterThan(dueAt)
}

// resetMemories makes every engine due, also one that is being looked at, and drops the memory of engines that have
// another home now.
func (r *Reconciler) resetMemories(now time.Time) {
	kept := make(map[string]*memory, len(r.homes.engines))
	for _, engine := range r.homes.engines {
		m, ok := r.memories[engine.Name()]
		if !ok {
			m = &memory{}
		}
		m.dueAt = now
		kept[engine.Name()] = m
	}
	r.memories = kept
}

// reconcile looks at one engine and sends an order if needed.
func (r *Reconciler) reconcile(ctx context.Context, manifest *spec.Manifest, due dueEngine) {
	engine := due.engine
	if !r.options.Backends.Accepting(engine.Name()) {
		return
	}
	if err := r.step(ctx, manifest, engine, due.memory); err != nil {
		r.options.Logger.WithError(err).WithField("backend", engine.Name()).Warn("engine not brought to desired state")
	}
}

func (r *Reconciler) step(ctx context.Context, manifest *spec.Manifest, engine spec.Backend, m *memory) error {
	ctx, cancel := context.WithTimeout(ctx, 2*engineTimeout)
	defer cancel()
	report, err := r.options.Engines.State(ctx, engine)
	if err != nil {
		return err
	}
	desired, _ := Desired(engine)
	number := manifest.Version().Number
	decision := judge(desired, number, engine.ChecksFencing(), report, m, r.options.Clock())
	if decision.verdict == verdictStale {
		return ErrFenced
	}
	if decision.verdict != verdictOrder {
		return nil
	}
	return r.order(ctx, manifest, engine, m, Order{Fence: number, State: desired}, decision.loads)
}

// order gets the load slots and sends the order. A slot is used at once or not at all, because the spacing of loads is
// the spacing of grants.
func (r *Reconciler) order(
	ctx context.Context, manifest *spec.Manifest, engine spec.Backend, m *memory, order Order, loads []string,
) error {
	if len(loads) > 0 {
		// A refused check now saves a slot; the check that counts is the one directly before the send.
		if err := r.check(manifest, engine); err != nil {
			return err
		}
		retryAt, granted, err := r.acquire(ctx, manifest, engine, loads)
		if err != nil {
			return err
		}
		if !granted {
			r.mu.Lock()
			defer r.mu.Unlock()
			m.dueNoLaterThan(retryAt)
			return nil
		}
		m.expectLoad(order.State, r.options.Clock())
	}
	return r.options.Engines.Order(ctx, engine, order, func() error { return r.check(manifest, engine) })
}

// check is made directly before an order is sent. A process that was paused after it planned the order finds here that
// its manifest is not confirmed any more.
func (r *Reconciler) check(manifest *spec.Manifest, engine spec.Backend) error {
	switch {
	case r.options.Source.Current() != manifest:
		return errSuperseded
	case !r.options.Source.Confirmed(r.options.Clock()):
		return errUnconfirmed
	case !r.options.Backends.Accepting(engine.Name()):
		return errLeaving
	case !isHome(r.options.Ranking, engine, r.self):
		return errNotHome
	}
	return nil
}
