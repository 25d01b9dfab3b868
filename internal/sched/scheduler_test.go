package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

func testRequest(id int, class pond.Class, prompt, maxOut int) Request {
	return Request{
		ID: fmt.Sprintf("g%05d", id), Account: "a", Weight: 1, Class: class,
		PromptTokens: prompt, MaxTokens: maxOut, Deadline: epoch.Add(time.Hour),
	}
}

// offerAll offers n requests of one kind and returns how many were served at once.
func offerAll(s *Scheduler, first, n int, class pond.Class, prompt, maxOut int) int {
	served := 0
	for i := range n {
		if s.Offer(testRequest(first+i, class, prompt, maxOut), epoch).Verdict == VerdictServe {
			served++
		}
	}
	return served
}

// finishOutputs finishes n outputs of one length, so that the account learns it.
func finishOutputs(s *Scheduler, account string, class pond.Class, tokens, n int) {
	for i := range n {
		req := testRequest(90_000+i, class, 1, tokens)
		req.Account = account
		s.Offer(req, epoch)
		s.Finish(req.ID, End{Tokens: tokens, Complete: true}, epoch)
	}
}

// TestAdmission guards against reservations that differ from the admission rule.
func TestAdmission(t *testing.T) {
	tests := []struct {
		admission Admission
		want      int
	}{
		// Of 10,000 tokens, 10 % are headroom and 20 % of the rest is kept for short requests, which leaves 7,200 for
		// long ones. Outputs of 200 tokens are in the bucket up to 207, so a request with a prompt of 100 reserves 307.
		{admission: AdmitQuantile, want: 23},
		{admission: AdmitMaximum, want: 6},
		{admission: AdmitCount, want: 80},
	}
	for _, test := range tests {
		t.Run(test.admission.String(), func(t *testing.T) {
			policy := testPolicy()
			policy.Admission = test.admission
			s := newTestScheduler(policy, testEngines(1, 10_000, 100)...)
			finishOutputs(s, "a", pond.ClassLong, 200, minLengthSamples)
			if got := offerAll(s, 0, 100, pond.ClassLong, 100, 1000); got != test.want {
				t.Errorf("served %d of 100, want %d", got, test.want)
			}
		})
	}
}

// TestMargin guards against admission without a margin above the expected sum, which outputs of uneven length exceed
// half of the time.
func TestMargin(t *testing.T) {
	served := make(map[float64]int)
	for _, quantile := range []float64{0.5, 0.9} {
		policy := testPolicy()
		policy.LengthQuantile = quantile
		s := newTestScheduler(policy, testEngines(1, 10_000, 1000)...)
		for i := range 50 {
			finishOutputs(s, "a", pond.ClassLong, 10+980*(i%2), 1)
		}
		served[quantile] = offerAll(s, 0, 100, pond.ClassLong, 100, 1000)
	}
	// Half of the outputs reach 1,000 tokens, so each is expected to hold 551 with a deviation of 550. 7,200 tokens
	// take 13 of them; with a margin of 1.28 deviations of the sum, 9 take 4,959 + 2,114 and 10 would take 5,510 +
	// 2,229.
	if served[0.5] != 13 || served[0.9] != 9 {
		t.Errorf("served %v, want 13 without a margin and 9 with 0.9", served)
	}
}

// TestReprediction guards against a reservation that stays at the first prediction while the output grows past it, so
// that new requests are admitted into memory that is already used.
func TestReprediction(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 10_000, 100)...)
	finishOutputs(s, "a", pond.ClassLong, 200, minLengthSamples)
	offerAll(s, 0, 20, pond.ClassLong, 100, 1000)
	for i := range 20 {
		s.Progress(fmt.Sprintf("g%05d", i), Progress{Tokens: 400}, epoch)
	}
	if d := s.Offer(testRequest(40, pond.ClassShort, 100, 100), epoch); d.Verdict != VerdictWait {
		t.Errorf("new request while the emitted output fills the memory: %v, want wait", d.Verdict)
	}
	s.Cancel("g00040", epoch)
	s.Tick(epoch.Add(time.Millisecond))
	// Nothing longer than 207 was learned, so half of the emitted tokens is assumed to remain: 100 + 400 + 200 each.
	if got := s.Stats().Reserved; got != 20*700 && got != 20*(100+600) {
		t.Errorf("reserved %d tokens, want %d", got, 20*700)
	}
	if d := s.Offer(testRequest(50, pond.ClassLong, 100, 1000), epoch); d.Verdict != VerdictWait {
		t.Errorf("new request: %v, want wait", d.Verdict)
	}
}

// TestShortBeforeLong guards against short requests that wait behind long ones, on arrival and in the queue.
func TestShortBeforeLong(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 10_000, 100)...)
	offerAll(s, 0, 40, pond.ClassLong, 100, 1000)
	if s.Stats().WaitingLong == 0 {
		t.Fatal("long requests do not fill their share")
	}
	if got := offerAll(s, 100, 5, pond.ClassShort, 50, 100); got != 5 {
		t.Errorf("served %d of 5 short requests at once while long ones wait", got)
	}
	offerAll(s, 200, 40, pond.ClassShort, 50, 100)
	s.Finish("g00000", End{Tokens: 500}, epoch)
	for _, d := range s.Tick(epoch.Add(time.Millisecond)) {
		if d.ID < "g00200" {
			t.Errorf("long request %s goes before waiting short ones", d.ID)
		}
	}
}

// TestShortBecomesLong guards against a request predicted to be short that still counts against the share of short
// requests after its output has become long.
func TestShortBecomesLong(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 10_000, 100)...)
	offerAll(s, 0, 1, pond.ClassShort, 50, 5000)
	s.Progress("g00000", Progress{Tokens: 300}, epoch)
	s.Tick(epoch.Add(time.Millisecond))
	e, _ := s.engines.Get("engine-0000")
	if e.runningLong != 1 || e.reservedLong != e.reserved {
		t.Errorf("%d long requests with %d of %d tokens, want 1 with all", e.runningLong, e.reservedLong, e.reserved)
	}
}

// TestUnknownClass guards against a request of unknown class that enters the short queue although its account's outputs
// are long or not known.
func TestUnknownClass(t *testing.T) {
	tests := []struct {
		name    string
		class   pond.Class
		learned int
		max     int
		want    queueKind
	}{
		{name: "nothing learned", want: queueLong, max: 1000},
		{name: "short outputs", learned: 20, want: queueShort, max: 1000},
		{name: "long outputs", learned: 900, want: queueLong, max: 1000},
		{name: "limit of the caller is short", learned: 900, want: queueShort, max: 100},
		{name: "declared short, outputs long", class: pond.ClassShort, learned: 900, want: queueLong, max: 1000},
		{name: "declared short, nothing learned", class: pond.ClassShort, want: queueShort, max: 1000},
		{name: "declared long, outputs short", class: pond.ClassLong, learned: 20, want: queueLong, max: 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestScheduler(testPolicy(), testEngines(1, 100_000, 100)...)
			if test.learned > 0 {
				finishOutputs(s, "a", test.class, test.learned, minLengthSamples)
			}
			s.Offer(testRequest(1, test.class, 10, test.max), epoch)
			if r, _ := s.requests.Get("g00001"); r.queue != test.want {
				t.Errorf("queue %d, want %d", r.queue, test.want)
			}
		})
	}
}

// TestAging guards against long requests that starve because short ones take all released memory before a long one
// fits.
func TestAging(t *testing.T) {
	policy := testPolicy()
	s := newTestScheduler(policy, testEngines(1, 1000, 10)...)
	now, next := epoch, 1
	offer := func(class pond.Class, prompt, maxOut int) {
		req := testRequest(next, class, prompt, maxOut)
		req.Account = class.String()
		s.Offer(req, now)
		next++
	}
	var running []string
	for range 9 {
		offer(pond.ClassShort, 80, 20)
		running = append(running, fmt.Sprintf("g%05d", next-1))
	}
	offer(pond.ClassLong, 500, 200)
	long := fmt.Sprintf("g%05d", next-1)
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		offer(pond.ClassShort, 80, 20)
		offer(pond.ClassShort, 80, 20)
		if len(running) > 0 {
			s.Finish(running[0], End{Tokens: 20, Complete: true}, now)
			running = running[1:]
		}
		for _, d := range s.Tick(now) {
			if d.ID == long {
				if waited := now.Sub(epoch); waited < policy.LongAgingLimit {
					t.Errorf("long request went before waiting short ones after %v", waited)
				}
				return
			}
			if d.Verdict == VerdictServe {
				running = append(running, d.ID)
			}
		}
	}
	t.Error("long request was not served within 30 s")
}

// TestFairShares guards against an account that gets more than its weighted share while others wait, and against
// priorities without effect.
func TestFairShares(t *testing.T) {
	tests := []struct {
		name                 string
		weights              [2]int
		priorities           [2]int
		minServed, maxServed int
	}{
		{name: "equal", weights: [2]int{1, 1}, minServed: 29, maxServed: 31},
		{name: "three to one", weights: [2]int{3, 1}, minServed: 44, maxServed: 46},
		{name: "priority first", weights: [2]int{1, 1}, priorities: [2]int{0, 1}, minServed: 0, maxServed: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestScheduler(testPolicy(), testEngines(1, 100_000, 1)...)
			s.Offer(testRequest(99_999, pond.ClassShort, 10, 100), epoch)
			// The first account offers all its requests before the second one.
			for i := range 200 {
				req := testRequest(i, pond.ClassShort, 10, 100)
				req.Account = fmt.Sprint("account", i/100)
				req.Weight, req.Priority = test.weights[i/100], test.priorities[i/100]
				s.Offer(req, epoch)
			}
			running, got := "g99999", 0
			for range 60 {
				s.Finish(running, End{Tokens: 100}, epoch)
				for _, d := range s.Tick(epoch) {
					running = d.ID
					if d.ID < "g00100" {
						got++
					}
				}
			}
			if got < test.minServed || got > test.maxServed {
				t.Errorf("the first account got %d of 60, want %d to %d", got, test.minServed, test.maxServed)
			}
		})
	}
}

// TestDeadlineFirst guards against requests of one account that are served in arrival order although a later one has an
// earlier deadline.
func TestDeadlineFirst(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 100_000, 1)...)
	offerAll(s, 0, 1, pond.ClassShort, 10, 100)
	for i, due := range []time.Duration{40, 10, 30, 20} {
		req := testRequest(i+1, pond.ClassShort, 10, 100)
		req.Deadline = epoch.Add(due * time.Minute)
		s.Offer(req, epoch)
	}
	running := "g00000"
	for _, want := range []string{"g00002", "g00004", "g00003", "g00001"} {
		s.Finish(running, End{}, epoch)
		decisions := s.Tick(epoch)
		if len(decisions) != 1 || decisions[0].ID != want {
			t.Fatalf("decisions %v, want %s", decisions, want)
		}
		running = want
	}
}

// saturate offers a steady overload to one engine: 20 requests a second, of which ten run at once. Each output has 100
// tokens and takes 2 s.
func saturate(s *Scheduler, until time.Time) time.Time {
	type output struct {
		id  string
		end time.Time
	}
	var running []output
	now := epoch
	for i := 0; now.Before(until); {
		now = now.Add(100 * time.Millisecond)
		for len(running) > 0 && !running[0].end.After(now) {
			s.Progress(running[0].id, Progress{Tokens: 100, Gap: 20 * time.Millisecond}, now)
			s.Finish(running[0].id, End{Tokens: 100, Complete: true}, now)
			running = running[1:]
		}
		for range 2 {
			req := testRequest(i, pond.ClassShort, 10, 100)
			i++
			req.Deadline = now.Add(time.Minute)
			if s.Offer(req, now).Verdict == VerdictServe {
				running = append(running, output{id: req.ID, end: now.Add(2 * time.Second)})
			}
		}
		for _, d := range s.Tick(now) {
			if d.Verdict == VerdictServe {
				running = append(running, output{id: d.ID, end: now.Add(2 * time.Second)})
			}
		}
	}
	return now
}

// TestEarlyRefusal guards against a request that is queued although its predicted wait exceeds its deadline, a request
// that is refused although it would be served in time, and a Retry-After that does not follow the length of the queue.
func TestEarlyRefusal(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 100_000, 10)...)
	// The engine finishes 5 requests a second. After 10 s with 20 arrivals a second about 140 wait, which takes 28 s.
	now := saturate(s, epoch.Add(10*time.Second))
	tests := []struct {
		deadline time.Duration
		want     Verdict
	}{
		{deadline: 5 * time.Second, want: VerdictRefuse},
		{deadline: 15 * time.Second, want: VerdictRefuse},
		{deadline: 60 * time.Second, want: VerdictWait},
	}
	for _, test := range tests {
		t.Run(test.deadline.String(), func(t *testing.T) {
			req := testRequest(int(test.deadline), pond.ClassShort, 10, 100)
			req.Deadline = now.Add(test.deadline)
			d := s.Offer(req, now)
			if d.Verdict != test.want {
				t.Fatalf("%v with %d waiting, want %v", d.Verdict, s.Stats().WaitingShort, test.want)
			}
			if d.Verdict == VerdictWait {
				return
			}
			wait := time.Duration(s.Stats().WaitingShort) * time.Second / 5
			after, expected := d.RetryAt.Sub(now), wait+2*time.Second-test.deadline
			if after < expected*7/10 || after > expected*14/10 {
				t.Errorf("Retry-After %v with a wait of %v and a deadline of %v, want about %v", after, wait, test.deadline, expected)
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply the load of a failing pool.
func TestRetryBudget(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(2, 1_000_000, 1000)...)
	served := 0
	for i := range 300 {
		req := testRequest(i, pond.ClassShort, 10, 100)
		if i%2 == 1 {
			req.Avoid, req.Retry = []string{"engine-0000"}, true
		}
		if d := s.Offer(req, epoch); d.Verdict == VerdictServe && i%2 == 1 {
			served++
			if d.Engine == "engine-0000" {
				t.Errorf("retry %d went to the engine that it avoids", i)
			}
		}
	}
	// The initial ten and a tenth of 150 first attempts, less what was earned while the budget was full.
	if served < 20 || served > 25 {
		t.Errorf("%d of 150 retries served, want 20 to 25", served)
	}
}

// reportAll reports progress of the running requests of every engine. The last engine is slower by the factor.
func reportAll(s *Scheduler, engines []Engine, tokens int, factor time.Duration, now time.Time) {
	for i, engine := range engines {
		gap := 20 * time.Millisecond
		if i == len(engines)-1 {
			gap *= factor
		}
		for id, r := range s.requests.All() {
			if !r.waiting() && s.engines.Key(r.engine) == engine.Name {
				s.Progress(id, Progress{Tokens: tokens, Gap: gap}, now)
			}
		}
	}
}

// TestStraggler guards against new requests for a slow engine, a probing request while running requests show that it is
// still slow, more than one probing request after the avoid period, and an engine that stays avoided after it has
// recovered.
func TestStraggler(t *testing.T) {
	engines := testEngines(4, 100_000, 100)
	s := newTestScheduler(testPolicy(), engines...)
	offerAll(s, 0, 8, pond.ClassShort, 10, 100)
	slow := engines[3].Name
	now := epoch
	onSlow := func(first, n int) (count int) {
		for i := range n {
			if s.Offer(testRequest(first+i, pond.ClassShort, 10, 100), now).Engine == slow {
				count++
			}
		}
		return count
	}
	reportAll(s, engines, 5, 10, now)
	s.Tick(now)
	if got := onSlow(100, 20); got != 0 {
		t.Fatalf("%d requests went to the straggler", got)
	}
	now = now.Add(initialAvoidPeriod + evaluateInterval)
	reportAll(s, engines, 6, 10, now)
	s.Tick(now)
	if got := onSlow(150, 20); got != 0 {
		t.Fatalf("%d requests probe an engine whose running requests are slow", got)
	}
	now = now.Add(max(maxRunningSampleAge, 2*initialAvoidPeriod) + evaluateInterval)
	s.Tick(now)
	if got := onSlow(200, 20); got != 1 {
		t.Fatalf("%d requests probe the straggler, want 1", got)
	}
	reportAll(s, engines, 10, 10, now)
	now = now.Add(evaluateInterval)
	s.Tick(now)
	now = now.Add(2*initialAvoidPeriod + evaluateInterval)
	s.Tick(now)
	if got := onSlow(300, 20); got != 0 {
		t.Fatalf("%d requests went to the straggler before its longer avoid period ended", got)
	}
	now = now.Add(2*initialAvoidPeriod + evaluateInterval)
	s.Tick(now)
	onSlow(400, 20)
	reportAll(s, engines, 15, 1, now)
	now = now.Add(evaluateInterval)
	s.Tick(now)
	if got := onSlow(500, 20); got < 5 {
		t.Errorf("%d of 20 requests went to the recovered engine", got)
	}
}

// TestStragglerRecovers guards against an engine that stays avoided although its running requests are fast again.
func TestStragglerRecovers(t *testing.T) {
	engines := testEngines(4, 100_000, 100)
	s := newTestScheduler(testPolicy(), engines...)
	offerAll(s, 0, 8, pond.ClassShort, 10, 100)
	now := epoch
	reportAll(s, engines, 5, 10, now)
	s.Tick(now)
	if state := stateOf(s, engines[3].Name); state != stragglerAvoided {
		t.Fatalf("straggler state is %d, want avoided", state)
	}
	for i := range 10 {
		now = now.Add(20 * time.Millisecond)
		reportAll(s, engines, 6+i, 1, now)
	}
	now = now.Add(evaluateInterval)
	s.Tick(now)
	if state := stateOf(s, engines[3].Name); state != stragglerNone {
		t.Errorf("straggler state is %d, want none before the avoid period ends", state)
	}
}

// TestStalledEngine guards against new requests for a stalled engine, which has no slow tokens because it emits none.
func TestStalledEngine(t *testing.T) {
	engines := testEngines(4, 100_000, 100)
	s := newTestScheduler(testPolicy(), engines...)
	offerAll(s, 0, 8, pond.ClassShort, 10, 100)
	now := epoch
	for i := range 30 {
		now = now.Add(100 * time.Millisecond)
		reportAll(s, engines[:3], 5*i, 1, now)
		s.Tick(now)
	}
	for i := range 20 {
		if d := s.Offer(testRequest(100+i, pond.ClassLong, 10, 500), now); d.Engine == engines[3].Name {
			t.Fatalf("request %d went to the stalled engine", i)
		}
	}
}

// TestPrefix guards against missing an engine's prefix cache while its load is within the bound, and against
// overloading the engine that caches a popular prefix.
func TestPrefix(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(8, 100_000, 1000)...)
	offerAll(s, 1000, 160, pond.ClassShort, 500, 100)
	servedBy := make(map[string]int)
	offer := func(first, n int) {
		for i := range n {
			req := testRequest(first+i, pond.ClassShort, 500, 100)
			req.PrefixHash = 7
			servedBy[s.Offer(req, epoch).Engine]++
		}
	}
	// Each engine runs 20 requests, so the bound of 1.25 lets the caching one run 5 more.
	offer(0, 4)
	if len(servedBy) != 1 {
		t.Errorf("4 requests with one prefix are spread over %d engines", len(servedBy))
	}
	offer(100, 160)
	for name, e := range s.engines.All() {
		if e.running > 50 {
			t.Errorf("engine %s runs %d requests; the mean is 40.5 and the bound 1.25", name, e.running)
		}
	}
}

// TestReports guards against admission into memory used by requests of another scheduler, counting its own requests
// twice, using outdated reports, and new requests for an engine that has started to preempt.
func TestReports(t *testing.T) {
	const own = 3 * 500 // three prompts
	tests := []struct {
		name   string
		report Report
		after  time.Duration
		want   int
	}{
		{name: "no report", want: 12},
		{name: "own requests", report: Report{UsedTokens: own}, want: 12},
		{name: "requests of another scheduler", report: Report{UsedTokens: own + 6000}, want: 2},
		{name: "outdated report", report: Report{UsedTokens: own + 6000, Age: maxReportAge}, want: 12},
		{name: "report becomes outdated", report: Report{UsedTokens: own + 6000}, after: maxReportAge, want: 12},
		{name: "preemptions", report: Report{UsedTokens: own, Preemptions: 1}, want: 0},
		{name: "preemptions long ago", report: Report{UsedTokens: own, Preemptions: 1}, after: pressurePause, want: 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestScheduler(testPolicy(), testEngines(1, 10_000, 100)...)
			offerAll(s, 0, 3, pond.ClassShort, 500, 100)
			s.Report("engine-0000", Report{UsedTokens: own}, epoch)
			s.Report("engine-0000", test.report, epoch)
			got := 0
			for i := range 20 {
				if s.Offer(testRequest(50+i, pond.ClassShort, 500, 100), epoch.Add(test.after)).Verdict == VerdictServe {
					got++
				}
			}
			if got != test.want {
				t.Errorf("served %d of 20, want %d", got, test.want)
			}
		})
	}
}

// TestOffersWithoutEngine guards against queueing requests that no engine of the pool can serve.
func TestOffersWithoutEngine(t *testing.T) {
	engines := testEngines(2, 1000, 10)
	engines[0].Version, engines[1].Version = "1", "2"
	engines[1].Adapters = []string{"legal"}
	tests := []struct {
		name    string
		request Request
		want    pond.Reason
	}{
		{name: "version", request: Request{Version: "3"}, want: pond.ReasonNoBackend},
		{name: "adapter", request: Request{Version: "1", Adapter: "legal"}, want: pond.ReasonNoBackend},
		{name: "all failed", request: Request{Avoid: []string{"engine-0000", "engine-0001"}}, want: pond.ReasonNoBackend},
		{name: "too large", request: Request{PromptTokens: 1000}, want: pond.ReasonTooLarge},
		{name: "late", request: Request{Deadline: epoch}, want: pond.ReasonDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestScheduler(testPolicy(), engines...)
			test.request.ID, test.request.MaxTokens = "g", 10
			if d := s.Offer(test.request, epoch); d.Verdict != VerdictRefuse || d.Reason != test.want {
				t.Errorf("%v %v, want refusal with %v", d.Verdict, d.Reason, test.want)
			}
			if s.requests.Len() != 0 {
				t.Error("the refused request stays in the table")
			}
		})
	}
	t.Run("engines leave while it waits", func(t *testing.T) {
		s := newTestScheduler(testPolicy(), engines...)
		offerAll(s, 0, 30, pond.ClassShort, 10, 100)
		s.SetAccepting("engine-0000", false)
		s.SetAccepting("engine-0001", false)
		waiting := s.Stats().WaitingShort
		if got := len(s.Tick(epoch.Add(time.Second))); got != waiting || waiting == 0 {
			t.Errorf("%d of %d waiting requests refused at the next tick", got, waiting)
		}
	})
}

// TestReject guards against a request that is lost or keeps its reservation when its engine rejects it.
func TestReject(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(2, 1000, 10)...)
	first := s.Offer(testRequest(1, pond.ClassShort, 100, 50), epoch)
	second := s.Reject("g00001", epoch)
	if second.Verdict != VerdictServe || second.Engine == first.Engine {
		t.Errorf("after %s: %v on %s, want the other engine", first.Engine, second.Verdict, second.Engine)
	}
	if got := s.Stats(); got.Running != 1 || got.Reserved != 150 {
		t.Errorf("%d running with %d tokens, want 1 with 150", got.Running, got.Reserved)
	}
}

// TestRegister guards against admission into memory used by requests that another scheduler placed.
func TestRegister(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 1000, 100)...)
	for i := range 2 {
		s.Register(testRequest(i, pond.ClassLong, 200, 500), "engine-0000", 100, epoch)
	}
	if got := offerAll(s, 10, 10, pond.ClassShort, 50, 50); got != 0 {
		t.Errorf("%d requests admitted although registered ones fill the memory", got)
	}
	s.Finish("g00000", End{Tokens: 400}, epoch)
	if got := len(s.Tick(epoch)); got == 0 {
		t.Error("nothing served after a registered request ended")
	}
}

// TestPause guards against dispatch before the scheduler was told what runs, and against refusals for a long predicted
// wait while its engines are idle, because the measured drain rate is low then.
func TestPause(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 100_000, 10)...)
	now := saturate(s, epoch.Add(5*time.Second))
	for id := range s.requests.All() {
		s.Finish(id, End{Tokens: 100, Complete: true}, now)
	}
	now = now.Add(20 * time.Second)
	s.Tick(now)
	s.Pause(now.Add(time.Second))
	for i := range 15 {
		req := testRequest(i, pond.ClassShort, 10, 100)
		req.Deadline = now.Add(5 * time.Second)
		if d := s.Offer(req, now); d.Verdict != VerdictWait {
			t.Fatalf("request %d during the pause: %v, want wait", i, d.Verdict)
		}
	}
	if decisions := s.Tick(now.Add(500 * time.Millisecond)); len(decisions) != 0 {
		t.Errorf("%d decisions during the pause", len(decisions))
	}
	if decisions := s.Tick(now.Add(time.Second)); len(decisions) != 10 {
		t.Errorf("%d decisions after the pause, want 10", len(decisions))
	}
}

// TestUnknownByPrompt guards against short requests of unknown class that wait in the long queue because their account
// also sends long ones. They are told apart by prompt size.
func TestUnknownByPrompt(t *testing.T) {
	s := newTestScheduler(testPolicy(), testEngines(1, 1_000_000, 1000)...)
	for i := range 2 * minLengthSamples {
		req := testRequest(i, pond.ClassUnknown, 80, 4000)
		tokens := 20
		if i%2 == 1 {
			req.PromptTokens, tokens = 600, 900
		}
		s.Offer(req, epoch)
		s.Finish(req.ID, End{Tokens: tokens, Complete: true}, epoch)
	}
	for prompt, want := range map[int]queueKind{80: queueShort, 600: queueLong, 5: queueLong} {
		req := testRequest(1000+prompt, pond.ClassUnknown, prompt, 4000)
		s.Offer(req, epoch)
		if r, _ := s.requests.Get(req.ID); r.queue != want {
			t.Errorf("prompt of %d tokens: queue %d, want %d", prompt, r.queue, want)
		}
	}
}

func stateOf(s *Scheduler, engine string) stragglerState {
	slot, _ := s.engines.Slot(engine)
	return s.engines.At(slot).straggler
}

// TestPauseRefusesNothing guards against refusals by a scheduler that has just taken over and knows neither what runs
// nor the drain rate. TestHomeFrozen met such a refusal in 1 of 2,000 runs.
func TestPauseRefusesNothing(t *testing.T) {
	for _, pause := range []time.Duration{0, 200 * time.Millisecond} {
		s := newTestScheduler(testPolicy(), testEngines(1, 60_000, 4)...)
		s.Pause(epoch.Add(pause))
		for i := range 4 {
			s.Register(testRequest(i, pond.ClassShort, 10, 100), "engine-0000", 50, epoch)
		}
		// The mean of the first outputs is far above the length of these requests.
		s.drain.queues[queueShort].emitted, s.drain.queues[queueShort].outputs = 1000, 1
		refused := 0
		for i := range 8 {
			req := testRequest(10+i, pond.ClassShort, 10, 100)
			req.Deadline = epoch.Add(8 * time.Second)
			if s.Offer(req, epoch).Verdict == VerdictRefuse {
				refused++
			}
		}
		if paused := pause > 0; paused == (refused > 0) {
			t.Errorf("with a pause of %v, %d of 8 requests are refused", pause, refused)
		}
	}
}
