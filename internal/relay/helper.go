package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// helperReserve is the time before the end of a helper at which what it carries is given up. It exceeds the way of the notice between regions, 30 ms.
	helperReserve = 100 * time.Millisecond

	// maxHelperRestart is the time after the end of a helper by which it should serve again.
	maxHelperRestart = 2 * restartDelay

	// minWayPause and maxWayPause bound the time between two tries to reach a backend server while no way is left.
	minWayPause = 100 * time.Millisecond
	maxWayPause = 300 * time.Millisecond
)

var errHelperEnds = errors.New("the instance that carries the connection ends")

// tunnel is a connection through another instance.
type tunnel interface {
	Via() pond.InstanceID
	SendSignal(backend string, s fleet.Signal) error
	// EndsAt returns when the connection ends with that instance, the zero time if that is not known, and a channel that is closed when
	// this changes.
	EndsAt() (at time.Time, changed <-chan struct{})
}

// fits reports whether a connection that ends at a time with the instance through which it leads will do for the request. The outcome of a
// request that may run only once would not be known if its backend server fell silent until then, so that it goes another way if it has time to wait
// for one.
func (x *exchange) fits(w workload, endsAt time.Time) bool {
	if w.tokens == 0 || x.route.Kind == route.KindAtMostOnce && x.mayAwaitWay(w, endsAt) {
		return !endsAt.Before(x.deadline)
	}
	return !time.Now().After(drain.NewPlan(endsAt).LatestStart(x.relay.expected(w)))
}

// movesBefore reports whether a run that goes on through an instance which ends at a time can move again before.
func (x *exchange) movesBefore(endsAt time.Time) bool {
	return !time.Now().After(drain.NewPlan(endsAt).LatestMove(x.relay.history.Move(x.service.Name, time.Now()), true))
}

// mayAwaitWay reports whether the request can wait until a helper that ends at a time serves again, and no other instance could serve it before.
func (x *exchange) mayAwaitWay(w workload, endsAt time.Time) bool {
	backBy, latestSend := endsAt.Add(maxHelperRestart), x.deadline.Add(-x.relay.expected(w))
	return x.relay.options.Others() == 0 && !backBy.After(latestSend) && !x.relay.tooLate(w, backBy)
}

// awaitWay waits a moment if a request was not sent because the helpers that are left end too early, and reports whether to try again. Once a
// request waits, other failures to reach a backend server are part of the wait: the helper ends in between.
func (x *exchange) awaitWay(ctx context.Context, err error) bool {
	var ends *reach.EndsError
	if errors.As(err, &ends) && x.mayAwaitWay(x.workload(), ends.At) {
		if x.awaitsWayUntil.IsZero() {
			x.log.WithFields(logrus.Fields{
				logs.Event: "wayAwaited", logs.RemainingMillis: time.Until(x.deadline).Milliseconds(), "helperEndsMillis": time.Until(ends.At).Milliseconds(),
			}).Info("a request waits until the instance through which backend servers are reached serves again")
		}
		x.awaitsWayUntil = ends.At.Add(maxHelperRestart)
	}
	if !x.body.Replayable() || !time.Now().Before(x.awaitsWayUntil) || x.relay.shutdown.begun() {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-x.relay.shutdown.leaving.Done():
		return false
	case <-time.After(minWayPause + rand.N(maxWayPause-minWayPause)):
		return true
	}
}

// endWithHelper ends an attempt shortly before the instance that carries its connection ends. It returns when ctx has ended.
func endWithHelper(ctx context.Context, via tunnel, cancel context.CancelCauseFunc) {
	for {
		endsAt, changed := via.EndsAt()
		var due <-chan time.Time
		if !endsAt.IsZero() {
			due = time.After(time.Until(endsAt) - helperReserve)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-due:
			cancel(errHelperEnds)
			return
		}
	}
}

// helperError returns errHelperEnds with an error of an attempt that endWithHelper has ended.
func helperError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errHelperEnds) && !errors.Is(err, errHelperEnds) {
		return errors.Join(errHelperEnds, err)
	}
	return err
}

// carriedBody tells the end of the instance that carries a response from other failures.
type carriedBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read implements io.Reader.
func (b *carriedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = helperError(b.ctx, err)
	}
	return n, err
}
