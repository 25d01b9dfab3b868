package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// benchScheduler returns a pool with learned lengths and perEngine long requests offered per engine. Below 64 a random
// half of them has ended, so that engines are loaded unevenly.
func benchScheduler(engines, perEngine int) *Scheduler {
	s := newTestScheduler(testPolicy(), testEngines(engines, 60_000, 64)...)
	finishOutputs(s, "a", pond.ClassLong, 400, minLengthSamples)
	offerAll(s, 0, perEngine*engines, pond.ClassLong, 200, 2000)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range perEngine * engines {
		if random.IntN(2) == 0 && perEngine < 64 {
			s.Finish(fmt.Sprintf("g%05d", i), End{}, epoch)
		}
	}
	return s
}

// BenchmarkDecision measures the offer and the end of one request. In "free" most engines have room; in "full" none
// has, and the request is queued after a search over all of them; "falling" is the worst order of loads for the search.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 50, 150, 600, 1200} {
		for _, state := range []string{"free", "full", "falling"} {
			b.Run(fmt.Sprint(state, "/", engines), func(b *testing.B) { benchDecision(b, engines, state) })
		}
	}
}

func benchDecision(b *testing.B, engines int, state string) {
	perEngine, want := 48, VerdictServe
	if state == "full" {
		perEngine, want = 64, VerdictWait
	}
	s := benchScheduler(engines, perEngine)
	if state == "full" {
		for id, r := range s.requests.All() {
			if r.waiting() {
				s.Cancel(id, epoch)
			}
		}
	}
	if state == "falling" {
		for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
			s.engines.At(slot).reserved = 40_000 - int(slot)
		}
	}
	req := testRequest(99_999_999, pond.ClassLong, 200, 2000)
	req.PrefixHash = 7
	b.ReportAllocs()
	for b.Loop() {
		if got := s.Offer(req, epoch).Verdict; got != want {
			b.Fatalf("%v, want %v", got, want)
		}
		s.Finish(req.ID, End{}, epoch)
	}
}

// BenchmarkTick measures a tick at full load with 1,000 waiting requests of 10 accounts, while one request ends, one
// arrives and one is dispatched.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{10, 150, 600, 1200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) { benchTick(b, engines) })
	}
}

func benchTick(b *testing.B, engines int) {
	s := newTestScheduler(testPolicy(), testEngines(engines, 60_000, 64)...)
	var running []string
	var ids []string
	for i := range 100_000 {
		ids = append(ids, fmt.Sprintf("g%06d", i))
	}
	accounts := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	next := 0
	offer := func() Verdict {
		req := Request{
			ID: ids[next%len(ids)], Account: accounts[next%len(accounts)], Class: pond.ClassLong, PromptTokens: 200,
			MaxTokens: 2000, Deadline: epoch.Add(time.Hour),
		}
		next++
		verdict := s.Offer(req, epoch).Verdict
		if verdict == VerdictServe {
			running = append(running, req.ID)
		}
		return verdict
	}
	for s.Stats().WaitingLong < 1000 {
		offer()
	}
	now, turn := epoch, 0
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		turn = (turn + 1) % len(running)
		s.Finish(running[turn], End{}, now)
		offer()
		for _, decision := range s.Tick(now) {
			running[turn] = decision.ID
		}
	}
	b.ReportMetric(float64(s.Stats().WaitingLong), "waiting")
}

// BenchmarkMemory reports the bytes that the tables take for one engine and for one running request.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	const engines, requests = 1200, 40_000
	for b.Loop() {
		specs, reqs := testEngines(engines, 60_000, 64), make([]Request, requests)
		for i := range reqs {
			reqs[i] = testRequest(i, pond.ClassShort, 100, 100)
		}
		start := heap()
		s := newTestScheduler(testPolicy(), specs...)
		withEngines := heap()
		for _, req := range reqs {
			s.Offer(req, epoch)
		}
		end := heap()
		b.ReportMetric((withEngines-start)/engines, "B/engine")
		b.ReportMetric((end-withEngines)/requests, "B/request")
		runtime.KeepAlive(s)
		runtime.KeepAlive(reqs)
	}
}

// engineModel simulates one engine in virtual time. Each step adds a token to every running output. When the memory is
// full, the output that started last is preempted, and its tokens are recomputed when there is room.
type engineModel struct {
	s         *Scheduler
	random    *rand.Rand
	now       time.Time
	next      int
	waiting   int
	running   []*modelOutput
	preempted []*modelOutput

	delivered, recomputed, preemptions int
}

type modelOutput struct {
	id              string
	emitted, length int
}

const (
	modelMemoryTokens = 60_000
	modelPromptTokens = 600
	modelStep         = 16 * time.Millisecond
)

func (m *engineModel) step() {
	m.now = m.now.Add(modelStep)
	for m.waiting < 8 {
		req := testRequest(m.next, pond.ClassLong, modelPromptTokens, 12_000)
		req.Deadline = m.now.Add(time.Hour)
		m.next++
		m.waiting++
		m.apply(m.s.Offer(req, m.now))
	}
	used := 0
	for _, output := range m.running {
		output.emitted++
		used += modelPromptTokens + output.emitted
		if m.next%4 == 0 || output.emitted%8 == 0 {
			m.s.Progress(output.id, Progress{Tokens: output.emitted, Gap: modelStep}, m.now)
		}
	}
	for ; used > modelMemoryTokens; m.preemptions++ {
		last := m.running[len(m.running)-1]
		used -= modelPromptTokens + last.emitted
		m.recomputed += modelPromptTokens + last.emitted
		m.preempted = append(m.preempted, last)
		m.running = m.running[:len(m.running)-1]
	}
	for len(m.preempted) > 0 && used+modelPromptTokens+m.preempted[0].emitted < modelMemoryTokens*9/10 {
		used += modelPromptTokens + m.preempted[0].emitted
		m.running = append(m.running, m.preempted[0])
		m.preempted = m.preempted[1:]
	}
	kept := m.running[:0]
	for _, output := range m.running {
		if output.emitted < output.length {
			kept = append(kept, output)
			continue
		}
		m.delivered += output.length
		m.s.Finish(output.id, End{Tokens: output.length, Complete: true}, m.now)
	}
	m.running = kept
	for _, decision := range m.s.Tick(m.now) {
		m.apply(decision)
	}
}

func (m *engineModel) apply(decision Decision) {
	if decision.Verdict != VerdictServe {
		return
	}
	m.waiting--
	length := min(max(int(600*math.Exp(m.random.NormFloat64())), 1), 12_000)
	m.running = append(m.running, &modelOutput{id: decision.ID, length: length})
}

// runModel runs a constant backlog of long requests for ten minutes of virtual time under an admission rule.
func runModel(admission Admission) *engineModel {
	policy := testPolicy()
	policy.Admission, policy.Headroom, policy.ShortShare = admission, 0.05, 0
	m := &engineModel{random: rand.New(rand.NewPCG(5, 6)), now: epoch}
	m.s = newTestScheduler(policy, testEngines(1, modelMemoryTokens, 128)...)
	for range int(10 * time.Minute / modelStep) {
		m.step()
	}
	return m
}

// TestAdmissionModel guards against a forecast that leaves memory unused or causes preemptions.
func TestAdmissionModel(t *testing.T) {
	forecast, count := runModel(AdmitForecast), runModel(AdmitCount)
	if 10*forecast.preemptions > count.preemptions {
		t.Errorf("%d preemptions, more than a tenth of the %d with AdmitCount", forecast.preemptions, count.preemptions)
	}
	if quantile := runModel(AdmitQuantile); 10*forecast.delivered < 13*quantile.delivered {
		t.Errorf("%d tokens delivered, less than 1.3 times the %d with AdmitQuantile",
			forecast.delivered, quantile.delivered)
	}
}

// BenchmarkAdmission reports what each admission rule delivers in the engine model.
func BenchmarkAdmission(b *testing.B) {
	for _, admission := range AdmissionValues() {
		b.Run(admission.String(), func(b *testing.B) {
			for b.Loop() {
				m := runModel(admission)
				b.ReportMetric(float64(m.delivered)/600, "tokens/s")
				b.ReportMetric(float64(m.recomputed)/600, "wasted/s")
				b.ReportMetric(float64(m.preemptions), "preemptions")
			}
		})
	}
}

// TestDecisionDoesNotAllocate guards against allocations on the decision path.
func TestDecisionDoesNotAllocate(t *testing.T) {
	s := benchScheduler(600, 48)
	req := testRequest(99_999_999, pond.ClassUnknown, 200, 2000)
	req.PrefixHash = 7
	s.Offer(req, epoch)
	s.Finish(req.ID, End{}, epoch)
	got := testing.AllocsPerRun(100, func() {
		s.Offer(req, epoch)
		s.Progress(req.ID, Progress{Tokens: 400}, epoch)
		s.Tick(epoch)
		s.Finish(req.ID, End{}, epoch)
	})
	if got != 0 {
		t.Errorf("%v allocations for one decision, want 0", got)
	}
}
