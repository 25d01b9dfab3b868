package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 20261203, Checks: 2000, Steps: 60}) }

var epoch = time.Unix(1_800_000_000, 0)

func testPolicy() Policy {
	return Policy{
		ShortMaxTokens:  128,
		ShortShare:      0.2,
		Headroom:        0.1,
		LengthQuantile:  0.8,
		TokenGap:        20 * time.Millisecond,
		LongAgingLimit:  10 * time.Second,
		RetryBudget:     0.1,
		StragglerRatio:  2.5,
		PrefixLoadBound: 1.25,
		DefaultDeadline: time.Minute,
	}
}

func newTestScheduler(policy Policy, engines ...Engine) *Scheduler {
	s := New(policy, rand.New(rand.NewPCG(1, 2)))
	s.SetEngines(engines)
	return s
}

func testEngines(n, memory, maxRunning int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{Name: fmt.Sprintf("engine-%04d", i), MemoryTokens: memory, MaxRunning: maxRunning, Accepting: true}
	}
	return engines
}

// schedulerModel applies random events to a scheduler and tracks the expected state of its requests.
type schedulerModel struct {
	s         *Scheduler
	policy    Policy
	engines   []Engine
	now       time.Time
	offered   map[string]Request
	waiting   []string
	running   []string
	engineOf  map[string]string
	decisions map[string]int
	serial    int
}

func (m *schedulerModel) offer(t *rapid.T) {
	m.serial++
	req := Request{
		ID:           fmt.Sprintf("g%04d", m.serial),
		Account:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Weight:       rapid.IntRange(1, 4).Draw(t, "weight"),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		Class:        rapid.SampledFrom(pond.ClassValues()).Draw(t, "class"),
		PromptTokens: rapid.IntRange(1, 1200).Draw(t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 800).Draw(t, "max"),
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "deadline")) * time.Millisecond),
	}
	m.offered[req.ID] = req
	m.waiting = append(m.waiting, req.ID)
	m.checkDecisions(t, m.s.Offer(req, m.now))
}

func (m *schedulerModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	m.checkDecisions(t, m.s.Tick(m.now)...)
}

// checkDecisions checks decisions of one call against the properties that hold for each one.
func (m *schedulerModel) checkDecisions(t *rapid.T, decisions ...Decision) {
	for _, decision := range decisions {
		if decision.Verdict != VerdictWait {
			m.checkDecision(t, decision)
		}
	}
	for _, decision := range decisions {
		if decision.Verdict == VerdictServe {
			m.checkReservations(t, decision.Engine)
		}
	}
}

func (m *schedulerModel) checkDecision(t *rapid.T, decision Decision) {
	m.decisions[decision.ID]++
	if m.decisions[decision.ID] > 1 {
		t.Fatalf("request %s got a second final decision %v", decision.ID, decision)
	}
	m.waiting = removeID(m.waiting, decision.ID)
	if decision.Verdict == VerdictRefuse {
		return
	}
	if !m.now.Before(m.offered[decision.ID].Deadline) {
		t.Fatalf("request %s is served after its deadline", decision.ID)
	}
	for _, engine := range m.engines {
		if engine.Name == decision.Engine && !engine.Accepting {
			t.Fatalf("request %s is sent to %s, which is not accepting", decision.ID, engine.Name)
		}
	}
	m.running = append(m.running, decision.ID)
	m.engineOf[decision.ID] = decision.Engine
}

// checkReservations compares the sum of the reservations on an engine with its limits and counters after an admission.
// Outputs may later grow into the headroom, but no admission may use it.
func (m *schedulerModel) checkReservations(t *rapid.T, name string) {
	var engine Engine
	for _, engine = range m.engines {
		if engine.Name == name {
			break
		}
	}
	usable := int(float64(engine.MemoryTokens) * (1 - m.policy.Headroom))
	sum, longSum, count, variance := 0, 0, 0, 0.0
	for _, id := range m.running {
		if m.engineOf[id] != name {
			continue
		}
		r, _ := m.s.requests.Get(id)
		need := r.reserved.tokens
		if m.policy.Admission == AdmitMaximum {
			need = min(m.offered[id].PromptTokens+m.offered[id].MaxTokens, usable)
			if r.queue == queueLong {
				need = min(need, r.reserved.tokens)
			}
		}
		sum += need
		if r.queue == queueLong {
			longSum += need
		}
		count++
		variance += r.reserved.variance
	}
	row, _ := m.s.engines.Get(name)
	margin := row.marginFor(variance)
	if count == 1 {
		margin = 0 // A request that runs alone may use all of the engine.
	}
	if sum+margin > usable || count > engine.MaxRunning {
		t.Fatalf("engine %s holds %d of %d tokens and runs %d of %d after an admission",
			name, sum, usable, count, engine.MaxRunning)
	}
	if last, _ := m.s.requests.Get(m.running[len(m.running)-1]); last.queue == queueLong && count > 1 &&
		(longSum+margin > row.longLimit || row.runningLong > row.maxLong) {
		t.Fatalf("engine %s holds %d long tokens of %d after the admission of a long request", name, longSum, row.longLimit)
	}
	if row.reserved != sum || row.reservedLong != longSum || row.running != count {
		t.Fatalf("engine %s counts %d reserved, %d long, %d running; its requests add up to %d, %d, %d",
			name, row.reserved, row.reservedLong, row.running, sum, longSum, count)
	}
}

func (m *schedulerModel) progress(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(m.running).Draw(t, "running")
	r, _ := m.s.requests.Get(id)
	tokens := min(r.emitted+rapid.IntRange(1, 200).Draw(t, "tokens"), r.maxOutput)
	m.s.Progress(id, Progress{Tokens: tokens, Gap: 20 * time.Millisecond}, m.now)
}

func (m *schedulerModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(m.running).Draw(t, "running")
	r, _ := m.s.requests.Get(id)
	m.running = removeID(m.running, id)
	m.s.Finish(id, End{Tokens: r.emitted, Complete: true}, m.now)
}

func (m *schedulerModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(m.waiting).Draw(t, "waiting")
	m.waiting = removeID(m.waiting, id)
	m.decisions[id]++ // Any later decision is an error.
	m.s.Cancel(id, m.now)
}

func (m *schedulerModel) toggleAccepting(t *rapid.T) {
	i := rapid.IntRange(0, len(m.engines)-1).Draw(t, "engine")
	m.engines[i].Accepting = !m.engines[i].Accepting
	m.s.SetAccepting(m.engines[i].Name, m.engines[i].Accepting)
}

// checkShortWaiting fails if a short request waits although an engine has room for it. Only other short requests, the
// batch limit or the memory may prevent its dispatch.
func (m *schedulerModel) checkShortWaiting(t *rapid.T) {
	m.checkDecisions(t, m.s.Tick(m.now)...)
	for _, id := range m.waiting {
		r, ok := m.s.requests.Get(id)
		if !ok || !r.waiting() {
			t.Fatalf("request %s has no final decision, but the scheduler does not queue it", id)
		}
		if r.queue != queueShort || r.heapIndex != 0 {
			continue
		}
		for _, engine := range m.engines {
			row, _ := m.s.engines.Get(engine.Name)
			short := row.reserved - row.reservedLong
			need := r.demand.tokens + row.marginFor(row.variance+r.demand.variance)
			fits := max(row.reserved, row.used)+need <= row.usable && short+need <= row.usable-row.longLimit
			if engine.Accepting && row.running < row.maxRunning && fits {
				t.Fatalf("short request %s waits although engine %s has room in the share of short requests", id, engine.Name)
			}
		}
	}
}

func removeID(ids []string, id string) []string {
	kept := ids[:0]
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// TestSchedulerProperties guards against reservations that exceed an engine's capacity or differ from the sum over its
// requests, lost or repeated decisions, dispatch after the deadline, short requests that wait behind long ones, and
// dispatch to an engine that is not accepting.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := testPolicy()
		policy.StragglerRatio = 0 // Every accepting engine must be used here; stragglers have their own test.
		policy.Admission = rapid.SampledFrom([]Admission{AdmitForecast, AdmitQuantile, AdmitMaximum}).Draw(t, "admission")
		engines := testEngines(3, 2000, 5)
		m := &schedulerModel{
			s: newTestScheduler(policy, engines...), policy: policy, engines: engines, now: epoch,
			offered: map[string]Request{}, engineOf: map[string]string{}, decisions: map[string]int{},
		}
		if rapid.Bool().Draw(t, "learned") {
			for i := range 5 * minLengthSamples {
				for class := range m.s.lengthsByClass {
					m.s.lengthsByClass[class].add(1 + i*i%700)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":    m.offer,
			"offer2":   m.offer,
			"tick":     m.tick,
			"progress": m.progress,
			"finish":   m.finish,
			"cancel":   m.cancel,
			"toggle":   m.toggleAccepting,
			"":         m.checkShortWaiting,
		})
		// Every request that still waits must be decided once its deadline has passed.
		m.now = m.now.Add(time.Hour)
		m.checkDecisions(t, m.s.Tick(m.now)...)
		if len(m.waiting) > 0 {
			t.Fatalf("%d requests got no final decision: %v", len(m.waiting), m.waiting)
		}
	})
}
