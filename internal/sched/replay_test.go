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

// A replay runs the scheduler against engines of the users' platform in virtual time: 14 prompt tokens are read in a
// millisecond, a token takes 8 ms, and letters have a mean of about 580 tokens.
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
	longInFlight         = 36                      // what fits into the engines
	longServiceTime      = 4900 * time.Millisecond // reading and writing at the mean
)

// lettersPerSecond is the rate of letters that the engines can just serve.
const longPerSecond = float64(longInFlight) / (float64(longServiceTime) / float64(time.Second))

// arrival is one caller's request.
type arrival struct {
	at      time.Duration
	account string
	long    bool
	length  int
	// patience is the time until the caller's deadline.
	timeout time.Duration
	// leavesAfter is the time that the caller waits for an engine; zero for no limit.
	cancelsAfter time.Duration
	// returns tells how a caller reacts to a refusal: 0 not at all, 1 as it is told, more at once and so often.
	retries int
}

// result is what became of one request.
type result struct {
	arrival
	served  bool
	refused int
	wait    time.Duration // from the first offer to the engine or to the last refusal
	// heldAfter is the longest time between an offer and its refusal.
	refusalDelay time.Duration
}

type replayRun struct {
	index, emitted int
	startedAt      time.Time
	reportedAt     time.Time
}

// replay offers the arrivals to a scheduler and returns what became of them. With cancels, callers that leave are
// reported.
func replay(arrivals []arrival, span time.Duration, modify func(*Request, arrival), reportCancels bool) []result {
	s := newTestScheduler(testPolicy(), testEngines(replayEngines, replayMemory, 24)...)
	results := make([]result, len(arrivals))
	offeredAt, againAt := make([]time.Time, len(arrivals)), make(map[int]time.Time)
	running := make(map[string]*replayRun)
	waiting := make(map[string]int)
	next := 0
	decided := func(d Decision, now time.Time) {
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
		left := epoch.Add(r.at + r.timeout).Sub(now)
		switch {
		case d.RetryAt.IsZero() || left <= 0:
		case r.retries == 1 && d.RetryAt.Sub(now) < left/3:
			againAt[index] = d.RetryAt
		case r.retries > 1 && r.refused < r.retries:
			againAt[index] = now.Add(replayStep)
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
		decided(s.Offer(req, now), now)
	}
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(replayStep) {
		for ; next < len(arrivals) && !epoch.Add(arrivals[next].at).After(now); next++ {
			results[next].arrival = arrivals[next]
			offer(next, now)
		}
		for _, index := range sortedKeys(againAt) {
			if !againAt[index].After(now) {
				delete(againAt, index)
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
			read := time.Duration(prompt/14) * time.Millisecond
			run.emitted = max(int((now.Sub(run.startedAt)-read)/replayTokenTime), 0)
			if run.emitted >= a.length {
				delete(running, id)
				s.Finish(id, End{Tokens: a.length, Complete: true}, now)
			} else if run.emitted > 0 && now.Sub(run.reportedAt) >= replayReportInterval {
				run.reportedAt = now
				s.Progress(id, Progress{Tokens: run.emitted, Gap: replayTokenTime}, now)
			}
		}
		for _, d := range s.Tick(now) {
			decided(d, now)
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

// poisson returns arrivals at a rate from one time to another.
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

// summary is what callers of one kind saw.
type summary struct {
	offered, served int
	waitP95         time.Duration // of the served ones
	maxRefusalDelay time.Duration // longest time until a refusal
}

func summarise(results []result, match func(result) bool) summary {
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

// TestReplayBurst replays three times the letters that the engines can serve, for 8 s. Short work has to start within
// the target for a first token all the while. Without classes, short work waits in the queue of the letters.
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
	with := summarise(replay(arrivals, 80*time.Second, nil, true), short)
	without := summarise(replay(arrivals, 80*time.Second, func(r *Request, _ arrival) {
		r.Class, r.MaxTokens = pond.ClassUnknown, longMaxTokens
	}, true), short)
	t.Logf("with classes %+v, without %+v", with, without)
	if with.served < with.offered*99/100 || with.waitP95 > target {
		t.Errorf("%d of %d short requests served, wait %v at p95; want 99 in 100 within %v", with.served, with.offered, with.waitP95, target)
	}
	if without.waitP95 <= target {
		t.Errorf("without classes the wait is %v at p95, so the replay does not show what they bring", without.waitP95)
	}
}

// TestReplayReturn replays letters far beyond what can be served in time, whose callers come back when they are told
// to. Refusals have to come at once, not after a wait for nothing, and those who come back in time have to be served
// then.
func TestReplayReturn(t *testing.T) {
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
	refused := summarise(results, func(r result) bool { return r.refused > 0 })
	all := summarise(results, func(result) bool { return true })
	atOnce, wasted := 0, time.Duration(0)
	for _, r := range results {
		if r.refused > 0 && r.refusalDelay <= time.Second {
			atOnce++
		}
		wasted += r.refusalDelay
	}
	t.Logf("all %+v, refused at least once %+v, within a second %d, waited in vain %v", all, refused, atOnce, wasted)
	if refused.offered < 50 {
		t.Fatalf("%d requests were refused, too few for a replay of refusals", refused.offered)
	}
	if atOnce < refused.offered*9/10 {
		t.Errorf("%d of %d were refused at once, want 9 in 10", atOnce, refused.offered)
	}
}

// TestReplayHotAccount replays one account that asks for twice what the engines can serve beside others that ask for
// little. The others have to start within the target for letters. With everything under one account, they wait behind
// it.
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
	with := summarise(replay(arrivals, 90*time.Second, nil, true), others)
	without := summarise(replay(arrivals, 90*time.Second, func(r *Request, _ arrival) { r.Account = "one" }, true), others)
	t.Logf("with accounts %+v, without %+v", with, without)
	if with.served < with.offered*99/100 || with.waitP95 > target {
		t.Errorf("%d of %d requests of the others served, wait %v at p95; want 99 in 100 within %v", with.served, with.offered, with.waitP95, target)
	}
	if without.waitP95 <= target && without.served >= with.served {
		t.Errorf("without accounts %+v, so the replay does not show what they bring", without)
	}
}

// TestReplayRetryStorm replays callers of one account that come back at once, up to 20 times, whatever they are told.
// The others must not be served worse than when those callers come back as told.
func TestReplayRetryStorm(t *testing.T) {
	storm := func(retries int) summary {
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
		return summarise(replay(arrivals, 90*time.Second, nil, true), func(r result) bool { return r.account != "rude" })
	}
	patient, aggressive := storm(1), storm(20)
	t.Logf("polite %+v, rude %+v", patient, aggressive)
	if aggressive.served < aggressive.offered*99/100 || aggressive.waitP95 > patient.waitP95+replayReportInterval {
		t.Errorf("beside a storm %+v, beside polite callers %+v; want no difference beyond %v", aggressive, patient, replayReportInterval)
	}
}

// TestReplayLeaving replays callers of whom half leave after 2 s of waiting, at twice what can be served. The room of
// those who left has to go to the others. Without word of them, engines write for nobody.
func TestReplayLeaving(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	arrivals := poisson(random, 2*longPerSecond, 0, 30*time.Second, func() arrival {
		a := longArrival(random, fmt.Sprint("account", random.IntN(8)))
		if random.IntN(2) == 0 {
			a.cancelsAfter = 2 * time.Second
		}
		return a
	})
	stay := func(r result) bool { return r.cancelsAfter == 0 }
	with := summarise(replay(arrivals, 90*time.Second, nil, true), stay)
	without := summarise(replay(arrivals, 90*time.Second, nil, false), stay)
	t.Logf("with word of those who left %+v, without %+v", with, without)
	if with.waitP95 > without.waitP95*3/4 {
		t.Errorf("those who stay wait %v at p95, without word of those who left %v; want three quarters at most", with.waitP95, without.waitP95)
	}
}
