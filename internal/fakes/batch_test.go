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

// job returns a generation whose prompt has the given number of tokens.
func job(id string, prompt, priority, length int) *Job {
	return NewJob(id, strings.Repeat(id[:1], prompt*promptBytesPerToken), priority, length)
}

// steps runs n steps on virtual time and returns the time after them.
func steps(b *Batch, n int) time.Time {
	now := time.Time{}.Add(time.Hour)
	for range n {
		took, _ := b.Step(now, 1)
		now = now.Add(took)
	}
	return now
}

func ids(jobs []*Job) string {
	names := make([]string, 0, len(jobs))
	for _, j := range jobs {
		names = append(names, j.ID())
	}
	return strings.Join(names, " ")
}

// Guards against an engine stand-in whose order of admission and preemption differs from the one that the scheduler is
// measured against.
func TestBatchOrder(t *testing.T) {
	tests := []struct {
		name    string
		jobs    []*Job
		steps   int
		running string
		waiting string
		counts  BatchCounters
	}{
		{"all fit", []*Job{job("a", 20, 1, 50), job("b", 20, 1, 50)}, 3, "a b", "", BatchCounters{Tokens: 6}},
		{"head that does not fit blocks", []*Job{job("a", 60, 1, 50), job("b", 50, 1, 9), job("c", 5, 1, 9)}, 1,
			"a", "b c", BatchCounters{Tokens: 1}},
		{"priority is admitted first", []*Job{job("a", 60, 1, 9), job("b", 60, 2, 9)}, 1, "b", "a",
			BatchCounters{Tokens: 1}},
		{"batch is bounded", []*Job{job("a", 5, 1, 9), job("b", 5, 1, 9), job("c", 5, 1, 9), job("d", 5, 1, 9),
			job("e", 5, 1, 9)}, 1, "a b c d", "e", BatchCounters{Tokens: 4}},
		{"memory full, youngest leaves", []*Job{job("a", 48, 1, 50), job("b", 48, 1, 50)}, 3, "a", "b",
			BatchCounters{Tokens: 5, Preemptions: 1}},
		{"memory full, lowest priority leaves", []*Job{job("a", 48, 1, 50), job("b", 48, 2, 50)}, 3, "b", "a",
			BatchCounters{Tokens: 5, Preemptions: 1}},
		{"finished generation frees memory", []*Job{job("a", 60, 1, 2), job("b", 50, 1, 9)}, 3, "b", "",
			BatchCounters{Tokens: 3}},
		{"prompt larger than the memory left by one token waits", []*Job{job("a", 50, 1, 9), job("b", 50, 1, 9)}, 1,
			"a", "b", BatchCounters{Tokens: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBatch(testBatch)
			for _, j := range test.jobs {
				b.Add(j)
			}
			steps(b, test.steps)
			if got := ids(b.running); got != test.running {
				t.Errorf("running: got %q, want %q", got, test.running)
			}
			if got := ids(b.waiting); got != test.waiting {
				t.Errorf("waiting: got %q, want %q", got, test.waiting)
			}
			if got := b.Counters(); got != test.counts {
				t.Errorf("counters: got %+v, want %+v", got, test.counts)
			}
			held := 0
			for _, j := range b.running {
				held += j.held()
			}
			if held != b.UsedTokens() || held > testBatch.MemoryTokens {
				t.Errorf("memory: %d tokens held, %d counted, %d allowed", held, b.UsedTokens(), testBatch.MemoryTokens)
			}
		})
	}
}

// Guards against a preempted generation that loses tokens, is computed again for nothing, or whose stall is not counted.
func TestBatchPreemptedGenerationContinues(t *testing.T) {
	b := NewBatch(testBatch)
	a, c := job("a", 48, 1, 6), job("c", 48, 1, 6)
	b.Add(a)
	b.Add(c)
	now := time.Time{}.Add(time.Hour)
	var preemptedAt time.Time
	shown := 0
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
			shown++
			if c.Generated() != shown {
				t.Fatalf("token %d was shown as number %d", c.Generated(), shown)
			}
			if shown == 3 && b.Counters().Stall != now.Sub(preemptedAt) {
				t.Errorf("stall: got %v, want %v", b.Counters().Stall, now.Sub(preemptedAt))
			}
		}
	}
	if shown != 6 || a.Generated() != 6 {
		t.Errorf("tokens: got %d and %d, want 6 each", a.Generated(), shown)
	}
	// The prompt of 48 tokens is below one cache block, so the prompt and 2 output tokens are computed again.
	if got := b.Counters(); got.Preemptions != 1 || got.RecomputedTokens != 50 {
		t.Errorf("got %d preemptions and %d recomputed tokens, want 1 and 50", got.Preemptions, got.RecomputedTokens)
	}
}

// Guards against a generation that outgrows an empty engine and is preempted forever.
func TestBatchLoneGenerationEndsAtMemory(t *testing.T) {
	b := NewBatch(testBatch)
	a := job("a", 90, 1, 50)
	b.Add(a)
	steps(b, 20)
	if !b.Idle() || !a.Finished() || a.Generated() != 10 || b.UsedTokens() != 0 {
		t.Errorf("idle %v, finished %v, %d tokens, %d held", b.Idle(), a.Finished(), a.Generated(), b.UsedTokens())
	}
}

// Guards against memory that stays held after a cancel.
func TestBatchCancel(t *testing.T) {
	b := NewBatch(testBatch)
	running, waiting := job("a", 60, 1, 9), job("b", 60, 1, 9)
	b.Add(running)
	b.Add(waiting)
	steps(b, 2)
	for _, j := range []*Job{waiting, running} {
		if !b.Cancel(j) {
			t.Errorf("%s was not held", j.ID())
		}
		if b.Cancel(j) {
			t.Errorf("%s was still held after its cancel", j.ID())
		}
	}
	if !b.Idle() || b.UsedTokens() != 0 {
		t.Errorf("idle %v, %d tokens held", b.Idle(), b.UsedTokens())
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
		{"first chunk of the prompt", job("a", prompt, 1, 99), 1, 26 * time.Millisecond, 0},
		{"rest of the prompt", nil, 1, 16 * time.Millisecond, 1},
		{"no prompt", nil, 1, 11 * time.Millisecond, 1},
		{"slowed tenfold", nil, 10, 110 * time.Millisecond, 1},
		{"cached prompt", job("a", prompt, 1, 99), 1, 12*time.Millisecond + 800*time.Microsecond, 2},
		{"other prompt", job("b", 10, 1, 99), 1, 14 * time.Millisecond, 3},
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

// Guards against a prefix cache that grows without bound or keeps blocks whose beginning is gone.
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
