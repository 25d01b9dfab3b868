package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Obstacle is the first reason for which an engine must not get a request now.
type Obstacle int

const (
	// ObstacleNone is that of an engine that may get the request.
	ObstacleNone Obstacle = iota
	// ObstacleNotServing is that of an engine that takes no new work, leaves, has another version or lacks the adapter, or that the request
	// avoids.
	ObstacleNotServing
	// ObstacleStraggler is that of an engine that is avoided as a straggler, or whose probing request runs.
	ObstacleStraggler
	// ObstaclePressure is that of an engine that has reported preemptions or a queue of its own.
	ObstaclePressure
	// ObstacleCold is that of a cold engine that has got as many requests as it bears.
	ObstacleCold
	// ObstacleNoRoom is that of an engine without the memory or the batch slot.
	ObstacleNoRoom
	// ObstacleHeld is that of an engine that is held for a request which has waited for long.
	ObstacleHeld
)

// Assessment is what an engine is worth for one request.
type Assessment struct {
	Engine     string
	DataCentre string
	Obstacle   Obstacle
	// Load is the load with the request, without an obstacle. First is the predicted time until the first event if the request starts now.
	Load  float64
	First time.Duration
	// Leaving, Slow, Probing and Warming are the states of the engine. Excluded is true if the request avoids it.
	Leaving, Slow, Probing, Warming, Excluded bool
	// ReportedAt is the time at which the last load report was measured; zero for none.
	ReportedAt time.Time
}

// Explanation is what OfferOr would decide about a request, and why.
type Explanation struct {
	Verdict Verdict
	// Engine is set with VerdictServe, Region and There with VerdictSend, Reason and Detail with VerdictRefuse.
	Engine string
	Region string
	There  time.Duration
	Reason pond.Reason
	Detail string
	// Wait and First are the predicted times until an engine starts the request and until its first event; negative if no engine serves it.
	Wait, First time.Duration
	// Waiting is the number of requests that wait, and Paused is true while the scheduler starts none.
	Waiting int
	Paused  bool
	// Engines are those without an obstacle first, the least loaded one before the others.
	Engines []Assessment
}

// Explain returns what OfferOr would decide about a new request. It changes nothing, and choose must not either.
func (s *Scheduler) Explain(spec Request, choose Chooser, now time.Time) Explanation {
	account, forget := s.accountFor(spec, now)
	defer forget()
	e := Explanation{Verdict: VerdictRefuse, Waiting: s.waiting(), Paused: now.Before(s.pausedUntil), Wait: -1, First: -1}
	reason, detail, refused := s.inadmissible(spec, now)
	leaves := s.mayLeave(spec, now)
	if spec.Deadline.IsZero() {
		spec.Deadline = now.Add(s.policy.DefaultDeadline)
	}
	var r request
	s.describe(&r, spec, account, now)
	e.Engines = s.assessAll(&r, now)
	// The prediction does not need another region to ask about.
	s.choose(&r, func(c Candidate, _ time.Time) (string, time.Duration, bool) {
		if !c.Unserved {
			e.Wait, e.First = c.Wait, c.First
		}
		return "", 0, false
	}, now)
	if choose != nil && leaves {
		if region, there, _, ok := s.choose(&r, choose, now); ok {
			e.Verdict, e.Region, e.There = VerdictSend, region, there
			return e
		}
	}
	if refused {
		e.Reason, e.Detail = reason, detail
		return e
	}
	if spec.Retry && !s.allowsRetry(s.accounts.At(account)) {
		e.Reason, e.Detail = pond.ReasonOverloaded, detailRetries
		return e
	}
	j := s.judge(&r, now)
	e.Verdict, e.Reason, e.Detail = j.verdict, j.reason, j.detail
	if j.verdict == VerdictServe {
		e.Engine = s.engines.Key(j.engine)
	}
	return e
}

// accountFor returns the account of a request, and a function that restores what was known of it.
func (s *Scheduler) accountFor(spec Request, now time.Time) (account table.Slot, forget func()) {
	slot, known := s.accounts.Slot(spec.Account)
	if !known {
		return s.account(spec.Account, spec.Weight, now), func() { s.accounts.Remove(spec.Account) }
	}
	former := s.accounts.At(slot).weight
	return s.account(spec.Account, spec.Weight, now), func() { s.accounts.At(slot).weight = former }
}

func (s *Scheduler) assessAll(r *request, now time.Time) []Assessment {
	var all []Assessment
	perSecond := s.rates.prefillPerSecond()
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e, name := s.engines.At(slot), s.engines.Key(slot)
		load, obstacle := s.assess(slot, e, r, now)
		all = append(all, Assessment{
			Engine: name, DataCentre: e.dataCentre, Obstacle: obstacle, Load: load,
			First:   time.Duration(e.prefillWorkFor(r).total / perSecond * float64(time.Second)),
			Leaving: !e.accepting || e.retired, Slow: e.slowBaseline, Probing: e.straggler == stragglerProbing,
			Warming: e.warming, Excluded: slices.Contains(r.avoid, name), ReportedAt: e.reportedAt,
		})
	}
	slices.SortFunc(all, func(a, b Assessment) int {
		return cmp.Or(cmp.Compare(min(a.Obstacle, 1), min(b.Obstacle, 1)), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Engine, b.Engine))
	})
	return all
}
