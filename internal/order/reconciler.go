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
	// pollInterval is the interval at which the manifest and the membership are polled. A new manifest must be in
	// effect everywhere within 3 s, and its distribution and the engines need most of that time.
	pollInterval = 500 * time.Millisecond
	// maxParallel is the maximum number of engines that are reconciled concurrently.
	maxParallel = 64
	// engineTimeout limits the dial of one request to an engine. The read of the state and the order that may follow
	// together have twice this time.
	engineTimeout = 2 * time.Second
)

// ErrFenced is returned by EngineClient.SendOrder if the engine refused the order because it has seen a newer fencing
// token.
var ErrFenced = errors.New("the engine has seen a newer fencing token")

// Reasons why checkSend prevents an order.
var (
	errSuperseded  = errors.New("another manifest has taken effect")
	errUnconfirmed = errors.New("the manifest is not confirmed")
	errNotHome     = errors.New("another instance is home of the engine")
	errLeaving     = errors.New("the engine accepts no work")
)

// Reconciler brings the engines of which this instance is home to their desired state. It implements
// peerpb.DRPCOrdersServer. It is safe for concurrent use.
type Reconciler struct {
	options Options
	self    pond.InstanceRef
	// parallelism is the maximum number of engines that Round reconciles concurrently.
	parallelism int

	mu          sync.Mutex
	pacer       *pacer
	homeEngines homeEngineCache
	records     map[string]*engineRecord
}

// New returns a reconciler. Nothing happens before Run or Round is called.
func New(options Options) *Reconciler {
	options = options.withDefaults()
	return &Reconciler{
		options:     options,
		self:        options.Directory.Self().Ref(),
		parallelism: maxParallel,
		pacer:       newPacer(),
		records:     make(map[string]*engineRecord),
	}
}

// Run reconciles until ctx ends and returns its error.
func (r *Reconciler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, pollInterval, r.observe) })
	group.Go(func() error { return r.runRounds(ctx) })
	return group.Wait()
}

// runRounds starts a round every pollInterval without waiting for the previous one, so that an unresponsive engine does
// not delay others.
func (r *Reconciler) runRounds(ctx context.Context) error {
	var engines errgroup.Group
	engines.SetLimit(maxParallel)
	err := every(ctx, pollInterval, func() { r.startRound(ctx, engines.TryGo) })
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

// observe tells the pacer whether this instance is home of its region's slots.
func (r *Reconciler) observe() {
	manifest := r.options.Source.Current()
	if manifest == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeSlotHome(newRegionShares(manifest), r.options.Clock())
}

// Round reconciles every engine of which this instance is home and whose reconcile interval has passed, or all of them
// if the manifest or the membership changed. It returns when all are done.
func (r *Reconciler) Round(ctx context.Context) {
	var engines errgroup.Group
	engines.SetLimit(r.parallelism)
	r.startRound(ctx, func(f func() error) bool {
		engines.Go(f)
		return true
	})
	// The functions return no error.
	_ = engines.Wait()
}

// startRound calls start with a function for each due engine. If start returns false, the engine remains due.
func (r *Reconciler) startRound(ctx context.Context, start func(func() error) bool) {
	manifest := r.options.Source.Current()
	now := r.options.Clock()
	if manifest == nil || !r.options.Source.Confirmed(now) {
		return
	}
	for _, due := range r.due(manifest, now) {
		started := start(func() error {
			defer r.release(due.record, time.Time{})
			r.reconcile(ctx, manifest, due)
			return nil
		})
		if !started {
			r.release(due.record, now)
		}
	}
}

// dueEngine is an engine to reconcile with its reserved record.
type dueEngine struct {
	engine spec.Backend
	record *engineRecord
}

// due reserves and returns the engines to reconcile now.
func (r *Reconciler) due(manifest *spec.Manifest, now time.Time) []dueEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.homeEngines.refresh(manifest, r.options.Directory, r.options.Ranking) {
		r.resetRecords(now)
	}
	var due []dueEngine
	for _, engine := range r.homeEngines.engines {
		rec := r.records[engine.Name()]
		if rec.reserved || now.Before(rec.dueAt) {
			continue
		}
		rec.reserved = true
		rec.dueAt = now.Add(r.options.Interval)
		due = append(due, dueEngine{engine: engine, record: rec})
	}
	return due
}

// release ends the reservation. If dueAt is not zero and earlier, the engine becomes due at that time.
func (r *Reconciler) release(rec *engineRecord, dueAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.reserved = false
	rec.advanceDue(dueAt)
}

// resetRecords makes every engine due, including those being reconciled, and drops the records of engines that now have
// another home.
func (r *Reconciler) resetRecords(now time.Time) {
	kept := make(map[string]*engineRecord, len(r.homeEngines.engines))
	for _, engine := range r.homeEngines.engines {
		rec, ok := r.records[engine.Name()]
		if !ok {
			rec = &engineRecord{}
		}
		rec.dueAt = now
		kept[engine.Name()] = rec
	}
	r.records = kept
}

// reconcile brings one engine to its desired state and logs a failure.
func (r *Reconciler) reconcile(ctx context.Context, manifest *spec.Manifest, due dueEngine) {
	engine := due.engine
	if !r.options.Backends.Accepting(engine.Name()) {
		return
	}
	if err := r.apply(ctx, manifest, engine, due.record); err != nil {
		r.options.Logger.WithError(err).WithField("backend", engine.Name()).Warn("failed to bring engine to desired state")
	}
}

// apply reads the state of the engine and sends an order if needed.
func (r *Reconciler) apply(ctx context.Context, manifest *spec.Manifest, engine spec.Backend, rec *engineRecord) error {
	ctx, cancel := context.WithTimeout(ctx, 2*engineTimeout)
	defer cancel()
	report, err := r.options.Engines.ReadState(ctx, engine)
	if err != nil {
		return err
	}
	desired, _ := Desired(engine)
	number := manifest.Version().Number
	decision := decide(desired, number, engine.ChecksFencing(), report, rec, r.options.Clock())
	if decision.action == actionStale {
		return ErrFenced
	}
	if decision.action != actionOrder {
		return nil
	}
	return r.sendOrder(ctx, manifest, engine, rec, Order{Fence: number, State: desired}, decision.loads)
}

// sendOrder acquires the load slots and sends the order. Slots are used immediately or not at all, because the spacing
// of the grants is that of the loads.
func (r *Reconciler) sendOrder(
	ctx context.Context, manifest *spec.Manifest, engine spec.Backend, rec *engineRecord, order Order, loads []string,
) error {
	if len(loads) > 0 {
		// This early check only avoids wasting slots; the one directly before the send is decisive.
		if err := r.checkSend(manifest, engine); err != nil {
			return err
		}
		retryAt, granted, err := r.acquireSlots(ctx, manifest, engine, loads)
		if err != nil {
			return err
		}
		if !granted {
			r.mu.Lock()
			defer r.mu.Unlock()
			rec.advanceDue(retryAt)
			return nil
		}
		rec.expectLoad(order.State, r.options.Clock())
	}
	return r.options.Engines.SendOrder(ctx, engine, order, func() error { return r.checkSend(manifest, engine) })
}

// checkSend is called directly before an order is sent. It prevents the order if the process was paused after the
// decision and its manifest is no longer confirmed.
func (r *Reconciler) checkSend(manifest *spec.Manifest, engine spec.Backend) error {
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
