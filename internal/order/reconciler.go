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
	// maxParallel bounds the engines that are looked at at the same time, so that engines that do not answer delay
	// others little.
	maxParallel = 32
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

	// round is held during a round, because memories are changed without mu.
	round sync.Mutex

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
	group.Go(func() error { return every(ctx, tick, func() { r.Round(ctx) }) })
	return group.Wait()
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

// observe keeps the pacer's view of the home current. It runs apart from Round, which may wait for engines.
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
	r.round.Lock()
	defer r.round.Unlock()
	manifest := r.options.Source.Current()
	now := r.options.Clock()
	if manifest == nil || !r.options.Source.Confirmed(now) {
		return
	}
	var group errgroup.Group
	group.SetLimit(r.parallel)
	for _, due := range r.due(manifest, now) {
		group.Go(func() error {
			r.reconcile(ctx, manifest, due)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
}

// dueEngine is an engine to look at with the memory of it. The memory is used by one round at a time.
type dueEngine struct {
	engine spec.Backend
	memory *memory
}

func (r *Reconciler) due(manifest *spec.Manifest, now time.Time) []dueEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.homes.refresh(manifest, r.options.Directory, r.options.Ranking)
	if changed {
		r.forgetOthers()
	}
	var due []dueEngine
	for _, engine := range r.homes.engines {
		m := r.memory(engine.Name())
		if changed || !now.Before(m.dueAt) {
			due = append(due, dueEngine{engine: engine, memory: m})
		}
	}
	return due
}

func (r *Reconciler) memory(name string) *memory {
	m, ok := r.memories[name]
	if !ok {
		m = &memory{}
		r.memories[name] = m
	}
	return m
}

// forgetOthers drops the memory of engines that have another home now.
func (r *Reconciler) forgetOthers() {
	kept := make(map[string]*memory, len(r.homes.engines))
	for _, engine := range r.homes.engines {
		if m, ok := r.memories[engine.Name()]; ok {
			kept[engine.Name()] = m
		}
	}
	r.memories = kept
}

// reconcile looks at one engine and sends an order if needed.
func (r *Reconciler) reconcile(ctx context.Context, manifest *spec.Manifest, due dueEngine) {
	engine, m := due.engine, due.memory
	m.dueAt = r.options.Clock().Add(r.options.Interval)
	if !r.options.Backends.Accepting(engine.Name()) {
		return
	}
	if err := r.step(ctx, manifest, engine, m); err != nil {
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
			m.retryAt(retryAt)
			return nil
		}
		m.expectLoad(order.State, r.options.Clock())
	}
	return r.options.Engines.Order(ctx, engine, order, func() error { return r.check(manifest, engine) })
}

// retryAt moves the next look to an earlier time.
func (m *memory) retryAt(t time.Time) {
	if t.Before(m.dueAt) {
		m.dueAt = t
	}
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
