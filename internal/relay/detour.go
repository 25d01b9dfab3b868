package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// detourSpread is the time over which the runs that one helper carries are moved, and the longest pause between two tries for one of them.
	detourSpread = time.Second

	// detourPlaceTimeout bounds the wait for a place for the rest of a run. The orders of the placer wait meanwhile.
	detourPlaceTimeout = time.Second
)

// detourDue returns when the helper that carries the run ends, a channel that is closed when that changes, and one that has a value when the run
// is to be looked at again. The channels are nil without such a helper.
func (m *mover) detourDue() (endsAt time.Time, changed <-chan struct{}, due <-chan time.Time) {
	via := m.stream.currentVia()
	if via == nil || m.moving() {
		return time.Time{}, nil, nil
	}
	endsAt, changed = via.EndsAt()
	if !endsAt.IsZero() {
		due = time.After(rand.N(detourSpread))
	}
	return endsAt, changed, due
}

// moving reports whether the run goes on elsewhere soon.
func (m *mover) moving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.finishedMove != nil
}

// detour moves a run that is not expected to end before the helper that carries its connection to another engine, whose connection leads another way.
func (m *mover) detour(ctx context.Context, endsAt time.Time) {
	x := m.stream.x
	if !x.body.Replayable() {
		return
	}
	plan, history, delivered := drain.NewPlan(endsAt), x.relay.history, int(m.stream.forwarded.Load())*m.stream.eventTokens()
	if p := x.call.Prompt; p != nil && p.MaxOutput > 0 {
		rest := history.Rest(x.service.Name, max(p.MaxOutput-delivered, 1))
		if !time.Now().After(plan.LatestStart(rest)) {
			return
		}
	}
	latest := plan.LatestMove(history.Move(x.service.Name, time.Now()), true)
	if time.Now().After(latest) {
		return
	}
	source := m.stream.currentBackend().ID
	log := x.log.WithFields(logrus.Fields{logs.Source: source, "helperEndsMillis": time.Until(endsAt).Milliseconds()})
	placement, err := m.placeRest(ctx, source, delivered, latest)
	if err != nil {
		log.WithError(err).WithField(logs.Event, "detourFailed").Info("no other engine for a run whose connection ends with the instance that carries it")
		return
	}
	if !m.begin() {
		placement.Done(pond.PlacementEnd{}, time.Now())
		return
	}
	target, _ := placement.Backend()
	m.cause = metric.MoveHelper
	result := m.execute(ctx, pond.Move{From: source, Backend: target})
	if result != nil {
		result.placement = placement
	}
	if !m.publish(result) {
		placement.Done(pond.PlacementEnd{}, time.Now())
	}
}

// placeRest places the rest of the run on another engine. It repeats nothing, so that it needs no budget for retries.
func (m *mover) placeRest(ctx context.Context, source string, delivered int, latest time.Time) (pond.Placement, error) {
	if by := time.Now().Add(detourPlaceTimeout); by.Before(latest) {
		latest = by
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	exclude := append([]string{source}, m.avoid...)
	if m.declined != "" {
		exclude, m.declined = append(exclude, m.declined), ""
	}
	x := m.stream.x
	return x.relay.options.Placer.Place(ctx, x.placeRequestFor(nil, exclude, delivered))
}
