package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// outageCheckAge is the age of the last confirmation by the store from which engines themselves are asked whether they
	// leave, also without a failed call to the store. Without an outage the age stays below 1.7 s.
	outageCheckAge = 2 * time.Second

	// outageCheckInterval is the time between two questions to an engine during an outage, and calmCheckInterval the time
	// until an outage is noticed.
	outageCheckInterval = 250 * time.Millisecond
	calmCheckInterval   = 500 * time.Millisecond

	// checkTimeout bounds one request to an engine. A later response leaves package relay no time to move the engine's runs
	// to other engines.
	checkTimeout = 700 * time.Millisecond

	// suspectCheckInterval is the time between two questions to an engine that did not answer, and suspension the time for
	// which it gets no new work after each.
	suspectCheckInterval = 500 * time.Millisecond
	suspension           = suspectCheckInterval + checkTimeout + 300*time.Millisecond

	// maxEndedAttempts bounds the questions to an engine that may have ended, and endedRetryDelay is the time between two.
	maxEndedAttempts = 4
	endedRetryDelay  = 200 * time.Millisecond

	// maxEndedTime bounds all questions to a backend server that may have ended.
	maxEndedTime = 3 * time.Second

	// maxConfirmAttempts bounds the questions whether a backend server still runs after the end of a connection, and confirmRetryDelay is the time between
	// two. endWatchTime is the time for which a connection without a request is watched; it exceeds that in which the kernel closes what a process that
	// ends has open.
	maxConfirmAttempts = 3
	confirmRetryDelay  = 50 * time.Millisecond
	endWatchTime       = 50 * time.Millisecond

	// maxSuspects bounds the failed engines that wait for their first question. More are ignored until they fail again.
	maxSuspects = 256
)

// errUnknown is returned if it is not known whether an engine answers: it has asked for a back-off, the limit that it names
// permits no question, its data centre is evacuated, its answer broke off, or this instance does not reach it while other instances may.
var errUnknown = errors.New("it is not known whether the engine answers")

// errStartedAnew is returned for an engine that is not the process that it was.
var errStartedAnew = errors.New("the engine has started anew")

// errNoLoadReport is returned instead of a load report.
var errNoLoadReport = errors.New("load reports are not used; engines are only checked when the store or an engine fails")

// engineChecker implements place.EngineClient. The home of a pool asks engines about themselves only during a store
// outage and after they failed a request: each question is billed, and otherwise the store's notices come sooner.
type engineChecker struct {
	instance *Instance
	// blames reports whether a failure at an address is the engine's own.
	blames   func(address string) bool
	suspects chan string

	mu     sync.Mutex
	asking map[string]bool // suspects that are being asked
	group  sync.WaitGroup
	// endings holds the questions whether backend servers have ended.
	endings singleflight.Group
}

func newEngineChecker(instance *Instance) *engineChecker {
	return &engineChecker{instance: instance, blames: instance.dialer.Blames, suspects: make(chan string, maxSuspects), asking: make(map[string]bool)}
}

// interval returns the time between two calls of Load for an engine.
func (c *engineChecker) interval() time.Duration {
	if c.storeOutage() {
		return outageCheckInterval
	}
	return calmCheckInterval
}

// storeOutage reports whether the store's notices may be missing.
func (c *engineChecker) storeOutage() bool {
	if c.instance.flags.disabled.Has(pond.MechanismEngineChecks) {
		return false
	}
	feed := c.instance.feed
	return feed.StoreFailing() || clock.Now().Sub(feed.ConfirmedAt()) >= outageCheckAge
}

// Load asks an engine whether it leaves, during a store outage. The home places every request of its pool itself, so it
// does not need the load of the engine. Load always returns an error.
func (c *engineChecker) Load(ctx context.Context, address string) (engine.Load, error) {
	fleet := c.instance.fleet
	if !c.storeOutage() {
		return engine.Load{}, errNoLoadReport
	}
	backend, ok := fleet.ByAddress(address)
	if !ok || !fleet.Accepting(backend.ID) {
		return engine.Load{}, errNoLoadReport
	}
	if err := c.ask(ctx, backend); err != nil && !errors.Is(err, errUnknown) {
		c.suspect(backend.ID)
		return engine.Load{}, err
	}
	return engine.Load{}, errNoLoadReport
}

// ask asks an engine whether it leaves. It returns errUnknown if that decides nothing, and another error only if the engine
// does not answer at all.
func (c *engineChecker) ask(ctx context.Context, backend route.Backend) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if _, backingOff := c.instance.fleet.BackoffUntil(backend.ID); backingOff {
		return errors.Wrap(errUnknown, "the engine asked this instance to back off")
	}
	if c.instance.fleet.Evacuated(backend.DataCentre) {
		return errors.Wrap(errUnknown, "the data centre of the engine is evacuated")
	}
	if !c.instance.limits.Permit(ctx, backend.ID).Granted() {
		return errors.Wrap(errUnknown, "the limit is used up")
	}
	leaving, err := c.instance.engines.Leaving(ctx, backend)
	if errors.Is(err, relay.ErrUnreadableStatus) {
		c.instance.log.WithError(err).WithFields(logrus.Fields{logs.Event: "backendStateUnknown", logs.Backend: backend.ID}).
			Info("backend server answers, but not with its state")
		return nil
	}
	var failure *engine.Error
	if errors.As(err, &failure) && failure.Outcome() == pond.OutcomeAnswered {
		return errors.Wrap(errUnknown, err.Error()) // The state broke off: the engine ran, and may have ended meanwhile.
	}
	if err == nil && leaving {
		c.instance.fleet.MarkLeaving(backend.ID)
	}
	if err != nil && !c.blames(backend.Address) {
		return errors.Wrap(errUnknown, err.Error())
	}
	return err
}

// confirmEnd returns an error if a backend server whose connection has ended in order has ended too: the kernel that ended the connection refuses the next
// one, or another process listens at the address. Other failures prove nothing (see provesEnd); the answer then counts as whole.
func (c *engineChecker) confirmEnd(ctx context.Context, backend route.Backend) error {
	if c.instance.flags.disabled.Has(pond.MechanismEndChecks) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		err := c.askEnd(ctx, backend)
		switch {
		case err == nil:
			return nil
		case c.provesEnd(ctx, backend, err):
			return errors.Wrap(err, "ask whether the backend server still runs")
		case attempt == maxConfirmAttempts || ctx.Err() != nil:
			c.instance.log.WithError(err).WithFields(logrus.Fields{logs.Event: "endNotConfirmed", logs.Backend: backend.ID}).
				Info("a backend server that has ended a connection could not be asked whether it still runs")
			return nil
		}
		sleepUntil(ctx, time.Now().Add(confirmRetryDelay))
	}
}

// askEnd asks an engine for its start. One that may get no requests at present or has a limit, and a replica, get a connection without a request.
func (c *engineChecker) askEnd(ctx context.Context, backend route.Backend) error {
	fleet := c.instance.fleet
	_, backingOff := fleet.BackoffUntil(backend.ID)
	if backingOff || fleet.Evacuated(backend.DataCentre) || c.instance.limits.Restricted(backend.ID) || !c.instance.isEngine(backend) {
		return c.watchConnection(ctx, backend)
	}
	startedAt, err := c.instance.engines.StartedAt(ctx, backend)
	switch {
	case errors.Is(err, relay.ErrUnreadableStatus):
		return nil // It answers.
	case err == nil && startedAt > 0 && backend.StartedAtMillis > 0 && startedAt != backend.StartedAtMillis:
		return errors.Wrapf(errStartedAnew, "at %d ms instead of %d ms", startedAt, backend.StartedAtMillis)
	default:
		return err
	}
}

// watchConnection connects to a backend server and returns an error if the connection does not stay open for endWatchTime: the kernel accepts one for a
// process that is about to end, and resets it with the process.
func (c *engineChecker) watchConnection(ctx context.Context, backend route.Backend) error {
	conn, err := c.instance.dialer.DialContext(ctx, "tcp", backend.Address)
	if err != nil {
		return errors.Wrap(err, "connect to a backend server")
	}
	var stayed atomic.Bool
	closeConn := func() { _ = conn.Close() } // Nothing was sent on it.
	timer := time.AfterFunc(endWatchTime, func() {
		stayed.Store(true)
		closeConn()
	})
	defer closeConn()
	defer timer.Stop()
	if _, err := conn.Read(make([]byte, 1)); err != nil && !stayed.Load() {
		return errors.Wrap(err, "watch a connection to a backend server")
	}
	return nil
}

// provesEnd reports whether an error of askEnd shows that the backend server has ended: it has started anew or refuses connections. Others may be due to this
// instance, which lacks descriptors, ports or a route, or to a way that hangs. Through another instance a refusal cannot be told apart, because the protocol
// between instances has no field for it. What another instance answers therefore counts if the server is to blame and the answer came in time: until then,
// the own way may just hang.
func (c *engineChecker) provesEnd(ctx context.Context, backend route.Backend, err error) bool {
	if errors.Is(err, errStartedAnew) || errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	return ctx.Err() == nil && errors.As(err, new(*reach.HelperError)) && c.blames(backend.Address)
}

// ended reports whether a backend server that broke a request off has ended: it does not answer any more. If that is not known after
// some questions, it is taken for alive. When several end at once, an instance doubts its own way to them for a moment. All requests that
// a backend server broke off share the questions.
func (c *engineChecker) ended(ctx context.Context, id string) bool {
	result := c.endings.DoChan(id, func() (any, error) { return c.askEnded(id), nil })
	select {
	case <-ctx.Done():
		return false
	case r := <-result:
		ended, ok := r.Val.(bool)
		return ok && ended
	}
}

func (c *engineChecker) askEnded(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxEndedTime)
	defer cancel()
	backend, ok := c.instance.fleet.Backend(id)
	if !ok {
		return true
	}
	ask := c.ask
	if c.instance.slots(id) > 0 {
		ask = c.connect
	}
	for attempt := 1; ; attempt++ {
		err := ask(ctx, backend)
		if !errors.Is(err, errUnknown) {
			return err != nil
		}
		if attempt == maxEndedAttempts || ctx.Err() != nil {
			return false
		}
		sleepUntil(ctx, time.Now().Add(endedRetryDelay))
	}
}

// connect connects to a replica, which reports nothing about itself. It takes no place there, and a limit does not count it. It returns
// errUnknown if the failure may be this instance's own.
func (c *engineChecker) connect(ctx context.Context, backend route.Backend) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if c.instance.fleet.Evacuated(backend.DataCentre) {
		return errors.Wrap(errUnknown, "the data centre of the replica is evacuated")
	}
	conn, err := c.instance.dialer.DialContext(ctx, "tcp", backend.Address)
	if err == nil {
		return conn.Close()
	}
	if !c.blames(backend.Address) {
		return errors.Wrap(errUnknown, err.Error())
	}
	return err
}

// Cancel does nothing: an engine ends a generation by itself when the connection is closed.
func (*engineChecker) Cancel(context.Context, string, string) error { return errNoLoadReport }

// suspect has an engine asked that failed a request.
func (c *engineChecker) suspect(id string) {
	if c.instance.flags.disabled.Has(pond.MechanismEngineChecks) {
		return
	}
	select {
	case c.suspects <- id:
	default:
	}
}

// run asks the suspects until ctx ends.
func (c *engineChecker) run(ctx context.Context) error {
	defer c.group.Wait()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case id := <-c.suspects:
			if c.begin(id) {
				c.group.Go(func() { c.askSuspect(ctx, id) })
			}
		}
	}
}

func (c *engineChecker) begin(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking[id] {
		return false
	}
	c.asking[id] = true
	return true
}

// askSuspect asks an engine until it answers or is no longer listed. Meanwhile it gets no new work: an engine that
// crashes stays listed for several seconds, and for the whole of a store outage.
func (c *engineChecker) askSuspect(ctx context.Context, id string) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asking, id)
	}()
	fleet := c.instance.fleet
	for ctx.Err() == nil {
		backend, ok := fleet.Backend(id)
		if !ok {
			return
		}
		err := c.ask(ctx, backend)
		if err == nil {
			fleet.Resume(id)
			return
		}
		if errors.Is(err, errUnknown) {
			sleepUntil(ctx, time.Now().Add(suspectCheckInterval))
			continue
		}
		if ctx.Err() != nil || !fleet.Suspend(id, clock.Now().Add(suspension)) {
			return
		}
		sleepUntil(ctx, time.Now().Add(suspectCheckInterval))
	}
}
