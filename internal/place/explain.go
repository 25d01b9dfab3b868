package place

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// explainTimeout bounds the question to the home of a pool. A new connection to another region takes up to four round trips of 60 ms.
const explainTimeout = 500 * time.Millisecond

// errOtherRegion is returned for a question about a pool of another region than that of the asked instance.
var errOtherRegion = errors.New("the asked instance is in another region than the pool, or knows no manifest")

// explainer takes the steps of a placement without their effects. It keeps what it finds in each pool.
type explainer struct {
	placer *Placer
	now    time.Time
	pools  []*peerpb.WherePool
}

// explained stands for the placement that a request would get.
type explained struct{ pond.Placement }

var _ placeSteps = (*explainer)(nil)

// Explain returns the pools that Place would ask about a request, in this order, each with what its home would decide now. The last one decides,
// unless the error is a refusal that Place would return. No request is placed; homes of other instances are asked for an explanation.
func (p *Placer) Explain(ctx context.Context, req pond.PlaceRequest) ([]*peerpb.WherePool, error) {
	e := &explainer{placer: p, now: p.options.Now()}
	_, err := p.placeBy(ctx, e, req)
	return e.pools, err
}

// ExplainOffer explains what this instance's scheduler would decide about an offer. It implements peerpb.DRPCSchedulingServer.
func (p *Placer) ExplainOffer(_ context.Context, question *peerpb.WherePoolRequest) (*peerpb.WherePool, error) {
	now, key := p.options.Now(), poolKey{model: question.GetOffer().GetModel(), region: p.region()}
	p.mu.Lock()
	pool, home := p.peekPool(key), p.isHome(key) && !p.draining
	p.mu.Unlock()
	if question.GetRegion() != key.region || pool == nil {
		return nil, errOtherRegion
	}
	return p.describe(pool, requestOfOffer(question.GetOffer(), localOrigin, now), home, now), nil
}

func (e *explainer) allowLink(manifest *spec.Manifest, req pond.PlaceRequest) bool {
	p := e.placer
	return p.budget.affords(estimatedLinkBytes(req), manifest, p.instancesIn(p.region()), e.now)
}

func (e *explainer) homeDecidesRegions(key poolKey, now time.Time) bool {
	p := e.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	s, local := p.reachableHomeBy(key, p.peekStream, now)
	if s != nil {
		return s.decidesRegions
	}
	pool := p.peekPool(key)
	return local && pool != nil && pool.decidesRegions()
}

func (e *explainer) placeIn(ctx context.Context, req pond.PlaceRequest, region string, maxLoad float64) (pond.Placement, *pond.Refusal) {
	answer := e.explain(ctx, e.placer.newLocalRequest(req, region, maxLoad))
	if to := answer.GetGoTo(); to != "" {
		sent := e.placer.newLocalRequest(req, to, 0)
		sent.sentTo = to
		answer = e.explain(ctx, sent)
	}
	if answer.GetReason() == "" {
		return explained{}, nil
	}
	reason, err := pond.ReasonString(answer.GetReason())
	if err != nil {
		reason = pond.ReasonInternal // A home of another release may have reasons that this one does not know.
	}
	return nil, newRefusal(reason, time.Time{}, answer.GetDetail())
}

// explain finds out what the coordinator of the request would decide.
func (e *explainer) explain(ctx context.Context, r *localRequest) *peerpb.WherePool {
	p := e.placer
	p.mu.Lock()
	s, local := p.reachableHomeBy(r.key, p.peekStream, e.now)
	own := r.mayLackHome() && !local && p.ownDecision(r.key, s, e.now)
	pool, home := p.peekPool(r.key), p.isHome(r.key) && !p.draining
	heardAge := int64(-1)
	if s != nil && s.ready {
		heardAge = e.now.Sub(s.lastReceivedAt).Milliseconds()
	}
	p.mu.Unlock()
	request := requestOf(r, e.now)
	var answer *peerpb.WherePool
	switch {
	case own, s == nil && local:
		answer = p.describe(pool, request, home, e.now)
		if !home {
			answer.Caveat = "no home of the pool answers; this instance decides by what it knows itself"
		}
	case s != nil:
		remote, err := p.askHome(ctx, s.address, &peerpb.WherePoolRequest{Offer: offerOf(r, e.now), Region: r.key.region})
		if answer = remote; err != nil {
			answer = p.describe(pool, request, false, e.now)
			answer.Caveat = "the home at " + s.address + " gives no explanation: " + err.Error()
		}
	default:
		answer = &peerpb.WherePool{
			Verdict: sched.VerdictRefuse.String(), Reason: pond.ReasonNoBackend.String(), Detail: "no instance of region " + r.key.region + " answers",
			WaitMilli: -1, FirstEventMilli: -1,
		}
	}
	answer.Region, answer.HeardAgeMilli = r.key.region, heardAge
	e.pools = append(e.pools, answer)
	return answer
}

func (p *Placer) askHome(ctx context.Context, address string, question *peerpb.WherePoolRequest) (*peerpb.WherePool, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	conn := p.options.Connect(address)
	defer conn.Close()
	answer, err := peerpb.NewDRPCSchedulingClient(conn).ExplainOffer(ctx, question)
	if err != nil && strings.Contains(err.Error(), unknownRPC) {
		return nil, errors.New("it is of a release that explains nothing")
	}
	return answer, err
}

// peekStream returns the stream to an instance, or one that has not been opened. The lock must be held.
func (p *Placer) peekStream(address string, now time.Time) *homeStream {
	if s, ok := p.homeStreams[address]; ok {
		return s
	}
	return &homeStream{placer: p, address: address, openedAt: now}
}

// peekPool returns this instance's own scheduler of a pool, or one that knows only the manifest, or nil without one. The lock must be held.
func (p *Placer) peekPool(key poolKey) *pool {
	if pool, ok := p.pools[key]; ok {
		return pool
	}
	if manifest := p.manifest(); manifest != nil {
		return newPool(key, p.options, p.spillBudget, manifest)
	}
	return nil
}

// describe explains what a pool of this instance would decide.
func (p *Placer) describe(pool *pool, request sched.Request, home bool, now time.Time) *peerpb.WherePool {
	e := pool.explain(request, now)
	answer := &peerpb.WherePool{
		Region: pool.key.region, Decider: string(p.options.Directory.Self().ID()), Home: home, Verdict: e.Verdict.String(), Chosen: e.Engine,
		GoTo: e.Region, Detail: e.Detail, WaitMilli: millisOf(e.Wait), FirstEventMilli: millisOf(e.First), ThereMilli: e.There.Milliseconds(),
		Waiting: int32(e.Waiting),
	}
	switch {
	case e.Verdict == sched.VerdictRefuse:
		answer.Reason = e.Reason.String()
	case e.Verdict == sched.VerdictSend:
		answer.Detail = "by figures of other regions that are up to " + pool.figuresAge(now).String() + " old"
	case e.Verdict == sched.VerdictWait && e.Paused:
		answer.Detail = "the home has just taken over and starts no requests yet"
	}
	for _, a := range e.Engines {
		candidate := &peerpb.WhereCandidate{
			Backend: a.Engine, DataCentre: a.DataCentre, Cost: a.Load, FirstEventMilli: a.First.Milliseconds(), ReportAgeMilli: -1,
			Against: against(a, e, request), States: statesOf(a),
		}
		if a.Obstacle != sched.ObstacleNone {
			candidate.Cost = -1
		}
		if !a.ReportedAt.IsZero() {
			candidate.ReportAgeMilli = now.Sub(a.ReportedAt).Milliseconds()
		}
		answer.Candidates = append(answer.Candidates, candidate)
	}
	return answer
}

func millisOf(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func statesOf(a sched.Assessment) []string {
	var states []string
	for _, state := range []struct {
		name string
		is   bool
	}{{"slow", a.Slow}, {"probed", a.Probing}, {"cold", a.Warming}, {"closed", a.Leaving}} {
		if state.is {
			states = append(states, state.name)
		}
	}
	return states
}

// against returns the first reason against an engine, or "" for the chosen one.
func against(a sched.Assessment, e sched.Explanation, request sched.Request) string {
	switch a.Obstacle {
	case sched.ObstacleNone:
	case sched.ObstacleNotServing:
		switch {
		case a.Leaving:
			return "takes no new work"
		case a.Excluded:
			return "does not accept the request at present, asked for a back-off or says that it leaves"
		default:
			return "has another version or lacks the adapter"
		}
	case sched.ObstacleStraggler:
		return "avoided as a straggler"
	case sched.ObstaclePressure:
		return "has reported preemptions or a queue"
	case sched.ObstacleCold:
		return "is cold and has got as many requests as it bears"
	case sched.ObstacleNoRoom:
		return "has no memory or batch slot for the request"
	case sched.ObstacleHeld:
		return "is held for a request that has waited for long"
	}
	switch {
	case e.Verdict == sched.VerdictServe && a.Engine == e.Engine:
		return ""
	case e.Verdict == sched.VerdictServe:
		return againstLoad(a, e)
	case e.Verdict == sched.VerdictSend:
		return "the request starts earlier in the other region"
	case request.MaxLoad > 0 && a.Load > request.MaxLoad:
		return "its load is above that up to which the region is used before others"
	case e.Verdict == sched.VerdictWait:
		return "requests that wait go first"
	default:
		return e.Detail
	}
}

// againstLoad compares an engine that may get the request with the chosen one.
func againstLoad(a sched.Assessment, e sched.Explanation) string {
	chosen := e.Engines[slices.IndexFunc(e.Engines, func(other sched.Assessment) bool { return other.Engine == e.Engine })]
	switch {
	case a.Load > chosen.Load:
		return "higher load"
	case a.Load == chosen.Load:
		return "the same load"
	case chosen.Probing:
		return "the chosen engine gets a request that shows whether it is still slow"
	default:
		return "the chosen engine got the prefix last"
	}
}

// figuresAge returns the age of what the pool knows about other regions.
func (p *pool) figuresAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spill.Age(now).Round(time.Millisecond)
}

// explain returns what offer would decide.
func (p *pool) explain(request sched.Request, now time.Time) sched.Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fillFromManifest(&request)
	var choose sched.Chooser
	if p.balance {
		choose = p.spill.Preview
	}
	for {
		e := p.scheduler.Explain(request, choose, now)
		if e.Verdict != sched.VerdictServe || p.backends.Accepting(e.Engine) {
			return e
		}
		// An offer would be decided again, see recheckEngine.
		request.Avoid = append(request.Avoid[:len(request.Avoid):len(request.Avoid)], e.Engine)
	}
}
