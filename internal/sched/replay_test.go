package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// A replay runs the scheduler against simulated engines of the users' platform in virtual time: they prefill 14 prompt
// tokens per millisecond and take 8 ms per token. Long outputs have a mean of about 580 tokens.
const (
	replayStep           = 10 * time.Millisecond
	replayTokenTime      = 8 * time.Millisecond
	replayReportInterval = 100 * time.Millisecond
	longPromptTokens     = 3000
	longMaxTokens        = 1768
	shortOutputTokens    = 8
	longTimeout          = 39 * time.Second
	replayEngines        = 4
	replayMemory         = 34_000
	longInFlight         = 36                      // long requests that the engines can run at once
	longServiceTime      = 4900 * time.Millisecond // prefill and output of mean length
)

// longPerSecond is the rate of long requests that the engines can just serve.
const longPerSecond = float64(longInFlight) / (float64(longServiceTime) / float64(time.Second))

// arrival is one caller's request.
type arrival struct {
	at      time.Duration
	account string
	long    bool
	length  int // output tokens
	// timeout is the time from the arrival to the caller's deadline.
	timeout time.Duration
	// cancelsAfter is the wait after which the caller cancels; zero for never.
	cancelsAfter time.Duration
	// retries is how the caller retries after a refusal: 0 not at all, 1 at RetryAt, n > 1 immediately until the n-th
	// refusal.
	retries int
}

// result is the outcome of one request.
type result struct {
	arrival
	served  bool
	refused int
	wait    time.Duration // from the arrival to the dispatch or the last refusal
	// refusalDelay is the longest time between an offer and its refusal.
	refusalDelay time.Duration
}

type replayRun struct {
	index, emitted int
	startedAt      time.Time
	reportedAt     time.Time
}

// replay offers the arrivals to a scheduler and returns their outcomes. The scheduler learns of cancelled requests only
// with reportCancels.
func replay(arrivals []arrival, span time.Duration, modify func(*Request, arrival), reportCancels bool) []result {
	return replayWith(testPolicy(), arrivals, span, modify, reportCancels)
}

func replayWith(
	policy Policy, arrivals []arrival, span time.Duration, modify func(*Request, arrival), reportCancels bool,
) []result {
	s := newTestScheduler(policy, testEngines(replayEngines, replayMemory, 24)...)
	results := make([]result, len(arrivals))
	offeredAt, retryAt := make([]time.Time, len(arrivals)), make(map[int]time.Time)
	running := make(map[string]*replayRun)
	waiting := make(map[string]int)
	nextArrival := 0
	applyDecision := func(d Decision, now time.Time) {
		index, ok := waiting[d.ID]
		if !ok || d.Verdict == VerdictWait {
			return
		}
		delete(waiting, d.ID)
		r := &results[index]
		r.wait = now.Sub(epoch.Add(r.at))
		if d.Verdict == VerdictServe {
			r.served = true
			running[d.ID] = &replayRun{index: index, startedAt: now, reportedAt: now}
			return
		}
		r.refused++
		r.refusalDelay = max(r.refusalDelay, now.Sub(offeredAt[index]))
		timeLeft := epoch.Add(r.at + r.timeout).Sub(now)
		switch {
		case d.RetryAt.IsZero() || timeLeft <= 0:
		case r.retries == 1 && d.RetryAt.Sub(now) < timeLeft/3:
			retryAt[index] = d.RetryAt
		case r.retries > 1 && r.refused < r.retries:
			retryAt[index] = now.Add(replayStep)
		}
	}
	offer := func(index int, now time.Time) {
		a := arrivals[index]
		req := Request{
			ID: fmt.Sprintf("r%05d-%d", index, results[index].refused), Account: a.account, Weight: 1, Class: pond.ClassShort,
			PromptTokens: 2200, MaxTokens: 4 * shortOutputTokens, Deadline: epoch.Add(a.at + a.timeout),
		}
		if a.long {
			req.Class, req.PromptTokens, req.MaxTokens = pond.ClassUnknown, longPromptTokens, longMaxTokens
		}
		if modify != nil {
			modify(&req, a)
		}
		offeredAt[index], waiting[req.ID] = now, index
		applyDecision(s.Offer(req, now), now)
	}
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(replayStep) {
		for ; nextArrival < len(arrivals) && !epoch.Add(arrivals[nextArrival].at).After(now); nextArrival++ {
			results[nextArrival].arrival = arrivals[nextArrival]
			offer(nextArrival, now)
		}
		for _, index := range sortedKeys(retryAt) {
			if !retryAt[index].After(now) {
				delete(retryAt, index)
				offer(index, now)
			}
		}
		for _, id := range sortedKeys(waiting) {
			if a := arrivals[waiting[id]]; a.cancelsAfter > 0 && now.Sub(epoch.Add(a.at)) > a.cancelsAfter && reportCancels {
				delete(waiting, id)
				s.Cancel(id, now)
			}
		}
		for _, id := range sortedKeys(running) {
			run, a := running[id], arrivals[running[id].index]
			prompt := 2200
			if a.long {
				prompt = longPromptTokens
			}
			prefill := time.Duration(prompt/14) * time.Millisecond
			run.emitted = max(int((now.Sub(run.startedAt)-prefill)/replayTokenTime), 0)
			if run.emitted >= a.length {
				delete(running, id)
				s.Finish(id, End{Tokens: a.length, Complete: true}, now)
			} else if run.emitted > 0 && now.Sub(run.reportedAt) >= replayReportInterval {
				run.reportedAt = now
				s.Progress(id, Progress{Tokens: run.emitted, Gap: replayTokenTime}, now)
			}
		}
		for _, d := range s.Tick(now) {
			applyDecision(d, now)
		}
	}
	return results
}

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// poisson returns the arrivals of a Poisson process with a rate between two times.
func poisson(random *rand.Rand, perSecond float64, from, to time.Duration, newArrival func() arrival) []arrival {
	var all []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return all
		}
		a := newArrival()
		a.at = at
		all = append(all, a)
	}
}

func longArrival(random *rand.Rand, account string) arrival {
	length := int(400 * math.Exp(random.NormFloat64()))
	return arrival{account: account, long: true, length: min(max(length, 4), longMaxTokens), timeout: longTimeout, retries: 1}
}

func mergeArrivals(parts ...[]arrival) []arrival {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// summary aggregates the results of some requests.
type summary struct {
	offered, served int
	waitP95         time.Duration // of the served requests
	maxRefusalDelay time.Duration // longest time between an offer and its refusal
}

func summarize(results []result, match func(result) bool) summary {
	var sum summary
	var waits []time.Duration
	for _, r := range results {
		if !match(r) {
			continue
		}
		sum.offered++
		sum.maxRefusalDelay = max(sum.maxRefusalDelay, r.refusalDelay)
		if r.served {
			sum.served++
			waits = append(waits, r.wait)
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		sum.waitP95 = waits[len(waits)*95/100]
	}
	return sum
}

// TestReplayBurst replays a burst of long requests at three times the capacity for 8 s. Short requests must start
// within the target for the first token throughout. Without classes they wait in the queue of the long ones.
func TestReplayBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	long := func() arrival { return longArrival(random, fmt.Sprint("account", random.IntN(8))) }
	shortArrival := func() arrival {
		return arrival{account: fmt.Sprint("account", random.IntN(8)), length: shortOutputTokens, timeout: 6 * time.Second}
	}
	arrivals := mergeArrivals(
		poisson(random, 0.7*longPerSecond, 0, 40*time.Second, long),
		poisson(random, 2.3*longPerSecond, 10*time.Second, 18*time.Second, long),
		poisson(random, 8, 0, 40*time.Second, shortArrival),
	)
	const target = 420 * time.Millisecond
	short := func(r result) bool { return !r.long }
	with := summarize(replay(arrivals, 80*time.Second, nil, true), short)
	without := summarize(replay(arrivals, 80*time.Second, func(r *Request, _ arrival) {
		r.Class, r.MaxTokens = pond.ClassUnknown, longMaxTokens
	}, true), short)
	t.Logf("with classes %+v, without %+v", with, without)
	if with.served < with.offered*99/100 || with.waitP95 > target {
		t.Errorf("%d of %d short requests served, wait %v at p95; want 99 in 100 within %v", with.served, with.offered, with.waitP95, target)
	}
	if without.waitP95 <= target {
		t.Errorf("without classes the wait is %v at p95, so the replay does not show their effect", without.waitP95)
	}
}

// TestReplayRefusedCallers replays long requests far beyond the capacity, whose callers retry at RetryAt. Requests must
// be refused at once, not after a wait in the queue.
func TestReplayRefusedCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	long := func() arrival {
		a := longArrival(random, fmt.Sprint("account", random.IntN(8)))
		a.timeout = 12 * time.Second
		return a
	}
	arrivals := mergeArrivals(
		poisson(random, 0.5*longPerSecond, 0, 60*time.Second, long),
		poisson(random, 4*longPerSecond, 10*time.Second, 20*time.Second, long),
	)
	results := replay(arrivals, 90*time.Second, nil, true)
	refused := summarize(results, func(r result) bool { return r.refused > 0 })
	all := summarize(results, func(result) bool { return true })
	atOnce, refusalWait := 0, time.Duration(0)
	for _, r := range results {
		if r.refused > 0 && r.refusalDelay <= time.Second {
			atOnce++
		}
		refusalWait += r.refusalDelay
	}
	t.Logf("all %+v, refused at least once %+v, within a second %d, total wait until refusals %v", all, refused, atOnce, refusalWait)
	if refused.offered < 50 {
		t.Fatalf("%d requests were refused, too few for a replay of refusals", refused.offered)
	}
	if atOnce < refused.offered*9/10 {
		t.Errorf("%d of %d were refused at once, want 9 in 10", atOnce, refused.offered)
	}
}

// TestReplayHotAccount replays one account that sends twice what the engines can serve next to others that send little.
// The requests of the others must start within the target for long requests. If all requests have the same account,
// they wait behind those of the hot one.
func TestReplayHotAccount(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	arrivals := mergeArrivals(
		poisson(random, 2*longPerSecond, 5*time.Second, 40*time.Second, func() arrival { return longArrival(random, "hot") }),
		poisson(random, 0.3*longPerSecond, 0, 40*time.Second, func() arrival {
			return longArrival(random, fmt.Sprint("account", random.IntN(8)))
		}),
	)
	const target = 1800 * time.Millisecond
	others := func(r result) bool { return r.account != "hot" }
	with := summarize(replay(arrivals, 90*time.Second, nil, true), others)
	without := summarize(replay(arrivals, 90*time.Second, func(r *Request, _ arrival) { r.Account = "one" }, true), others)
	t.Logf("with accounts %+v, without %+v", with, without)
	if with.served < with.offered*99/100 || with.waitP95 > target {
		t.Errorf("%d of %d requests of the others served, wait %v at p95; want 99 in 100 within %v", with.served, with.offered, with.waitP95, target)
	}
	if without.waitP95 <= target && without.served >= with.served {
		t.Errorf("without accounts %+v, so the replay does not show their effect", without)
	}
}

// TestReplayRetryStorm replays callers of one account that ignore RetryAt and retry immediately, up to 20 times. The
// others must not be served worse than when those callers retry at RetryAt.
func TestReplayRetryStorm(t *testing.T) {
	replayWith := func(retries int) summary {
		random := rand.New(rand.NewPCG(6, 1))
		arrivals := mergeArrivals(
			poisson(random, 3*longPerSecond, 5*time.Second, 30*time.Second, func() arrival {
				a := longArrival(random, "rude")
				a.retries = retries
				return a
			}),
			poisson(random, 0.3*longPerSecond, 0, 40*time.Second, func() arrival {
				return longArrival(random, fmt.Sprint("account", random.IntN(8)))
			}),
		)
		return summarize(replay(arrivals, 90*time.Second, nil, true), func(r result) bool { return r.account != "rude" })
	}
	compliant, aggressive := replayWith(1), replayWith(20)
	t.Logf("retries at RetryAt %+v, immediate retries %+v", compliant, aggressive)
	if aggressive.served < aggressive.offered*99/100 || aggressive.waitP95 > compliant.waitP95+replayReportInterval {
		t.Errorf("others beside immediate retries %+v, beside retries at RetryAt %+v; want no difference beyond %v", aggressive, compliant, replayReportInterval)
	}
}

// TestReplayCancellation replays callers at twice the capacity, half of whom cancel after waiting for 2 s. Their room
// must go to the others. If cancellations are not reported, engines generate outputs that nobody reads.
func TestReplayCancellation(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	arrivals := poisson(random, 2*longPerSecond, 0, 30*time.Second, func() arrival {
		a := longArrival(random, fmt.Sprint("account", random.IntN(8)))
		if random.IntN(2) == 0 {
			a.cancelsAfter = 2 * time.Second
		}
		return a
	})
	staying := func(r result) bool { return r.cancelsAfter == 0 }
	with := summarize(replay(arrivals, 90*time.Second, nil, true), staying)
	without := summarize(replay(arrivals, 90*time.Second, nil, false), staying)
	t.Logf("with reported cancellations %+v, without %+v", with, without)
	if with.waitP95 > without.waitP95*3/4 {
		t.Errorf("other callers wait %v at p95, without reported cancellations %v; want three quarters at most", with.waitP95, without.waitP95)
	}
}

// TestReplayDisabled replays a burst with each mechanism switched off. It guards against a switch that leaves requests
// without a decision, so that a measurement without the mechanism says nothing about it.
func TestReplayDisabled(t *testing.T) {
	for _, mechanism := range pond.MechanismValues() {
		t.Run(mechanism.String(), func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 1))
			long := func() arrival { return longArrival(random, fmt.Sprint("account", random.IntN(8))) }
			shortArrival := func() arrival { return arrival{account: "short", length: shortOutputTokens, timeout: 6 * time.Second} }
			arrivals := mergeArrivals(
				poisson(random, 2*longPerSecond, 0, 8*time.Second, long), poisson(random, 8, 0, 20*time.Second, shortArrival),
			)
			policy := testPolicy()
			policy.Disabled = 1 << uint(mechanism)
			undecided, served := 0, 0
			for _, r := range replayWith(policy, arrivals, 80*time.Second, nil, true) {
				if !r.served && r.refused == 0 {
					undecided++
				}
				if r.served {
					served++
				}
			}
			if undecided > 0 || served < len(arrivals)/2 {
				t.Errorf("%d of %d requests served, %d without a decision", served, len(arrivals), undecided)
			}
		})
	}
}
