package fakes

import (
	"strings"
	"testing"
	"time"
)

var testBatch = BatchConfig{
	MemoryTokens:       100,
	MaxRunning:         4,
	CacheTokens:        10 * cacheBlockTokens,
	PromptChunk:        1000,
	StepBase:           10 * time.Millisecond,
	StepPerRunning:     time.Millisecond,
	StepPerPromptToken: 100 * time.Microsecond,
}

// testJob returns a generation whose prompt has the given number of tokens.
func testJob(id string, prompt, priority, length int) *Job {
	return NewJob(id, strings.Repeat(id[:1], prompt*promptBytesPerToken), priority, length)
}

// runSteps runs n steps on virtual time and returns the time at the end of the last one.
func runSteps(b *Batch, n int) time.Time {
	now := time.Time{}.Add(time.Hour)
	for range n {
		took, _ := b.Step(now, 1)
		now = now.Add(took)
	}
	return now
}

func jobIDs(jobs []*Job) string {
	names := make([]string, 0, len(jobs))
	for _, j := range jobs {
		names = append(names, j.ID())
	}
	return strings.Join(names, " ")
}

// Guards against a change in the order of admission and preemption, which measurements of the scheduler depend on.
func TestBatchOrder(t *testing.T) {
	tests := []struct {
		name    string
		jobs    []*Job
		steps   int
		running string
		waiting string
		counts  BatchCounters
	}{
		{"all fit", []*Job{testJob("a", 20, 1, 50), testJob("b", 20, 1, 50)}, 3, "a b", "", BatchCounters{Tokens: 6}},
		{"generation that does not fit blocks the queue", []*Job{testJob("a", 60, 1, 50), testJob("b", 50, 1, 9),
			testJob("c", 5, 1, 9)}, 1, "a", "b c", BatchCounters{Tokens: 1}},
		{"priority is admitted first", []*Job{testJob("a", 60, 1, 9), testJob("b", 60, 2, 9)}, 1, "b", "a",
			BatchCounters{Tokens: 1}},
		{"batch is bounded", []*Job{testJob("a", 5, 1, 9), testJob("b", 5, 1, 9), testJob("c", 5, 1, 9),
			testJob("d", 5, 1, 9), testJob("e", 5, 1, 9)}, 1, "a b c d", "e", BatchCounters{Tokens: 4}},
		{"memory full, latest arrival is preempted", []*Job{testJob("a", 48, 1, 50), testJob("b", 48, 1, 50)}, 3,
			"a", "b", BatchCounters{Tokens: 5, Preemptions: 1}},
		{"memory full, lowest priority is preempted", []*Job{testJob("a", 48, 1, 50), testJob("b", 48, 2, 50)}, 3,
			"b", "a", BatchCounters{Tokens: 5, Preemptions: 1}},
		{"finished generation frees memory", []*Job{testJob("a", 60, 1, 2), testJob("b", 50, 1, 9)}, 3, "b", "",
			BatchCounters{Tokens: 3}},
		{"prompt that exceeds the free memory by one token waits", []*Job{testJob("a", 50, 1, 9), testJob("b", 50, 1, 9)},
			1, "a", "b", BatchCounters{Tokens: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBatch(testBatch)
			for _, j := range test.jobs {
				b.Add(j)
			}
			runSteps(b, test.steps)
			if got := jobIDs(b.running); got != test.running {
				t.Errorf("running: got %q, want %q", got, test.running)
			}
			if got := jobIDs(b.waiting); got != test.waiting {
				t.Errorf("waiting: got %q, want %q", got, test.waiting)
			}
			if got := b.Counters(); got != test.counts {
				t.Errorf("counters: got %+v, want %+v", got, test.counts)
			}
			usedTokens := 0
			for _, j := range b.running {
				usedTokens += j.usedTokens()
			}
			if usedTokens != b.UsedTokens() || usedTokens > testBatch.MemoryTokens {
				t.Errorf("memory: running generations use %d tokens, batch counts %d, limit %d", usedTokens,
					b.UsedTokens(), testBatch.MemoryTokens)
			}
		})
	}
}

// Guards against a preempted generation that loses tokens, recomputes too many, or whose stall is not counted.
func TestBatchPreemptedGenerationContinues(t *testing.T) {
	b := NewBatch(testBatch)
	a, c := testJob("a", 48, 1, 6), testJob("c", 48, 1, 6)
	b.Add(a)
	b.Add(c)
	now := time.Time{}.Add(time.Hour)
	var preemptedAt time.Time
	emittedTokens := 0
	for !b.Idle() {
		before := b.Counters().Preemptions
		took, emitted := b.Step(now, 1)
		if b.Counters().Preemptions > before {
			preemptedAt = now
		}
		now = now.Add(took)
		for _, j := range emitted {
			if j != c {
				continue
			}
			emittedTokens++
			if c.Generated() != emittedTokens {
				t.Fatalf("token %d was emitted as number %d", c.Generated(), emittedTokens)
			}
			if emittedTokens == 3 && b.Counters().Stall != now.Sub(preemptedAt) {
				t.Errorf("stall: got %v, want %v", b.Counters().Stall, now.Sub(preemptedAt))
			}
		}
	}
	if emittedTokens != 6 || a.Generated() != 6 {
		t.Errorf("tokens: got %d and %d, want 6 each", a.Generated(), emittedTokens)
	}
	// The prompt of 48 tokens is below one cache block, so the prompt and 2 output tokens are computed again.
	if got := b.Counters(); got.Preemptions != 1 || got.RecomputedTokens != 50 {
		t.Errorf("got %d preemptions and %d recomputed tokens, want 1 and 50", got.Preemptions, got.RecomputedTokens)
	}
}

// Guards against a generation that runs alone, exceeds the memory and is preempted forever.
func TestBatchLoneGenerationEndsAtMemory(t *testing.T) {
	b := NewBatch(testBatch)
	j := testJob("a", 90, 1, 50)
	b.Add(j)
	runSteps(b, 20)
	if !b.Idle() || !j.Finished() || j.Generated() != 10 || b.UsedTokens() != 0 {
		t.Errorf("idle %v, finished %v, %d tokens generated, %d tokens of memory in use",
			b.Idle(), j.Finished(), j.Generated(), b.UsedTokens())
	}
}

// Guards against memory that stays in use after a generation was cancelled.
func TestBatchCancel(t *testing.T) {
	b := NewBatch(testBatch)
	running, waiting := testJob("a", 60, 1, 9), testJob("b", 60, 1, 9)
	b.Add(running)
	b.Add(waiting)
	runSteps(b, 2)
	for _, j := range []*Job{waiting, running} {
		if !b.Cancel(j) {
			t.Errorf("generation %s: Cancel did not find it", j.ID())
		}
		if b.Cancel(j) {
			t.Errorf("generation %s: Cancel found it again after it was cancelled", j.ID())
		}
	}
	if !b.Idle() || b.UsedTokens() != 0 {
		t.Errorf("idle %v, %d tokens of memory in use", b.Idle(), b.UsedTokens())
	}
}

// Guards against step times that do not grow with the batch and the prompt, or that ignore a slowdown or the cache.
func TestBatchStepTime(t *testing.T) {
	const prompt = 3*cacheBlockTokens + 8
	config := testBatch
	config.MemoryTokens = 10_000
	config.PromptChunk = 150
	b := NewBatch(config)
	tests := []struct {
		name     string
		add      *Job
		slowdown float64
		want     time.Duration
		emitted  int
	}{
		{"first chunk of the prompt", testJob("a", prompt, 1, 99), 1, 26 * time.Millisecond, 0},
		{"rest of the prompt", nil, 1, 16 * time.Millisecond, 1},
		{"no prompt", nil, 1, 11 * time.Millisecond, 1},
		{"slowed tenfold", nil, 10, 110 * time.Millisecond, 1},
		{"cached prompt", testJob("a", prompt, 1, 99), 1, 12*time.Millisecond + 800*time.Microsecond, 2},
		{"other prompt", testJob("b", 10, 1, 99), 1, 14 * time.Millisecond, 3},
	}
	for _, test := range tests {
		if test.add != nil {
			b.Add(test.add)
		}
		took, emitted := b.Step(time.Time{}, test.slowdown)
		if took != test.want || len(emitted) != test.emitted {
			t.Errorf("%s: %v and %d tokens, want %v and %d", test.name, took, len(emitted), test.want, test.emitted)
		}
	}
}

// Guards against a prefix cache that grows without bound or keeps blocks whose preceding blocks were evicted.
func TestPrefixCacheEvicts(t *testing.T) {
	c := newPrefixCache(3 * cacheBlockTokens)
	prompt := func(letter string, blocks int) string { return strings.Repeat(letter, blocks*cacheBlockBytes+4) }
	c.store(prompt("a", 2))
	c.store(prompt("b", 2))
	if got := c.match(prompt("b", 2)); got != 2*cacheBlockTokens {
		t.Errorf("newest prompt: %d tokens cached", got)
	}
	if got := c.match(prompt("a", 2)); got != cacheBlockTokens {
		t.Errorf("oldest prompt: %d tokens cached, want its first block", got)
	}
	var kinds []string
	for _, event := range c.takeEvents() {
		kinds = append(kinds, event.Kind)
	}
	if got := strings.Join(kinds, " "); got != "stored stored stored stored evicted" {
		t.Errorf("events: %s", got)
	}
}
