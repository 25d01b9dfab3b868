package fakes

import (
	"cmp"
	"slices"
	"time"
)

// BatchConfig holds the settings of a Batch.
type BatchConfig struct {
	// MemoryTokens is the size of the KV cache. A generation occupies its prompt and its output so far.
	MemoryTokens int
	// MaxRunning is the maximum number of generations in the batch.
	MaxRunning int
	// CacheTokens is the size of the prefix cache, which does not count towards MemoryTokens.
	CacheTokens int
	// PromptChunk is the maximum number of prompt tokens computed in one step, over all generations.
	PromptChunk int
	// StepBase is the duration of a step with an empty batch.
	StepBase time.Duration
	// StepPerRunning is added for each generation in the batch.
	StepPerRunning time.Duration
	// StepPerPromptToken is added for each prompt token that is computed in the step.
	StepPerPromptToken time.Duration
}

// DefaultBatchConfig returns settings under which a batch of 20 takes 20 ms for a step.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{
		MemoryTokens:       60_000,
		MaxRunning:         48,
		CacheTokens:        20_000,
		PromptChunk:        512,
		StepBase:           14 * time.Millisecond,
		StepPerRunning:     300 * time.Microsecond,
		StepPerPromptToken: 40 * time.Microsecond,
	}
}

// BatchCounters holds the counters of a Batch since its creation.
type BatchCounters struct {
	// Tokens is the number of generated tokens.
	Tokens int64
	// Preemptions is the number of times that a running generation was put back into the queue for lack of memory.
	Preemptions int64
	// RecomputedTokens is the number of tokens computed again after preemptions.
	RecomputedTokens int64
	// Stall is the sum over preemptions of the time until the generation's next token.
	Stall time.Duration
}

// Job is one generation in a Batch.
type Job struct {
	id       string
	prompt   string
	priority int
	length   int

	sequence     int64
	promptTokens int
	// uncomputedTokens is the number of prompt tokens and, after a preemption, output tokens to compute before the
	// next token.
	uncomputedTokens int
	generated        int
	preemptedAt      time.Time
	memoryExhausted  bool
}

// NewJob returns a generation of the given output length. A higher priority is admitted earlier and preempted later.
func NewJob(id, prompt string, priority, length int) *Job {
	return &Job{id: id, prompt: prompt, priority: priority, length: length, promptTokens: PromptTokens(prompt)}
}

// ID returns the generation ID.
func (j *Job) ID() string { return j.id }

// Generated returns the number of tokens generated so far.
func (j *Job) Generated() int { return j.generated }

// Finished reports whether the generation has its full length or has run out of memory.
func (j *Job) Finished() bool { return j.generated >= j.length || j.memoryExhausted }

func (j *Job) usedTokens() int { return j.promptTokens + j.generated }

// Batch is the state machine of an engine with continuous batching. Callers pass the time; it starts no goroutine.
type Batch struct {
	config     BatchConfig
	waiting    []*Job
	running    []*Job
	usedTokens int
	sequence   int64
	cache      *prefixCache
	counters   BatchCounters
}

// NewBatch returns an empty batch.
func NewBatch(config BatchConfig) *Batch {
	return &Batch{config: config, cache: newPrefixCache(config.CacheTokens)}
}

// Fits reports whether a generation can run in an otherwise empty batch.
func (b *Batch) Fits(job *Job) bool { return job.promptTokens < b.config.MemoryTokens }

// Add puts a generation into the queue.
func (b *Batch) Add(job *Job) {
	b.sequence++
	job.sequence = b.sequence
	b.enqueue(job)
}

// enqueue keeps the queue ordered by priority, then by arrival.
func (b *Batch) enqueue(job *Job) {
	index, _ := slices.BinarySearchFunc(b.waiting, job, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.sequence, y.sequence))
	})
	b.waiting = slices.Insert(b.waiting, index, job)
}

// Cancel removes a generation and frees its memory. It reports whether the generation was queued or running.
func (b *Batch) Cancel(job *Job) bool {
	if i := slices.Index(b.waiting, job); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return true
	}
	return b.remove(job)
}

func (b *Batch) remove(job *Job) bool {
	i := slices.Index(b.running, job)
	if i < 0 {
		return false
	}
	b.running = slices.Delete(b.running, i, i+1)
	b.usedTokens -= job.usedTokens()
	return true
}

// Running returns the size of the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the length of the queue.
func (b *Batch) Waiting() int { return len(b.waiting) }

// UsedTokens returns the size of the used part of the KV cache.
func (b *Batch) UsedTokens() int { return b.usedTokens }

// Counters returns the current counters.
func (b *Batch) Counters() BatchCounters { return b.counters }

// Idle reports whether no generation is queued or running.
func (b *Batch) Idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }

// Step computes one step that begins at now. It returns the duration of the step, multiplied by slowdown, and the
// generations that gain one token each at its end. Finished generations are removed from the batch.
func (b *Batch) Step(now time.Time, slowdown float64) (time.Duration, []*Job) {
	b.admit()
	b.makeRoom(now)
	promptTokens, ready := b.computePrompts()
	stepTime := b.config.StepBase
	stepTime += time.Duration(len(b.running)) * b.config.StepPerRunning
	stepTime += time.Duration(promptTokens) * b.config.StepPerPromptToken
	stepTime = time.Duration(float64(stepTime) * slowdown)
	b.emit(ready, now.Add(stepTime))
	return stepTime, ready
}

// admit moves generations from the head of the queue into the batch while memory allows. A generation that does
// not fit blocks those behind it, as in engines that admit in order.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		job := b.waiting[0]
		if b.usedTokens+job.usedTokens()+1 > b.config.MemoryTokens {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.usedTokens += job.usedTokens()
		job.uncomputedTokens = job.usedTokens() - b.cache.match(job.prompt)
		b.running = append(b.running, job)
	}
}

// makeRoom preempts until each generation in the batch has memory for one more token. A generation that runs alone ends
// instead, because it would be preempted forever.
func (b *Batch) makeRoom(now time.Time) {
	for b.usedTokens+len(b.running) > b.config.MemoryTokens {
		if len(b.running) == 1 {
			b.running[0].memoryExhausted = true
			return
		}
		b.preempt(b.victim(), now)
	}
}

// victim returns the generation to preempt: the latest arrival among those of the lowest priority.
func (b *Batch) victim() *Job {
	return slices.MinFunc(b.running, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.sequence, x.sequence))
	})
}

func (b *Batch) preempt(job *Job, now time.Time) {
	b.remove(job)
	b.counters.Preemptions++
	if job.preemptedAt.IsZero() {
		job.preemptedAt = now
	}
	b.enqueue(job)
}

// computePrompts computes up to PromptChunk tokens in order of admission. It returns the number of computed tokens and
// the generations that can produce an output token.
func (b *Batch) computePrompts() (computedTokens int, ready []*Job) {
	remaining := b.config.PromptChunk
	ready = make([]*Job, 0, len(b.running))
	for _, job := range b.running {
		n := min(remaining, job.uncomputedTokens)
		job.uncomputedTokens -= n
		remaining -= n
		if !job.preemptedAt.IsZero() {
			b.counters.RecomputedTokens += int64(n)
		}
		if job.uncomputedTokens > 0 {
			continue
		}
		if n > 0 {
			b.cache.store(job.prompt)
		}
		ready = append(ready, job)
	}
	return b.config.PromptChunk - remaining, ready
}

// emit adds one output token to each ready generation and removes the finished ones.
func (b *Batch) emit(ready []*Job, stepEnd time.Time) {
	for _, job := range ready {
		if job.memoryExhausted {
			b.remove(job)
			continue
		}
		job.generated++
		b.usedTokens++
		b.counters.Tokens++
		if !job.preemptedAt.IsZero() {
			b.counters.Stall += stepEnd.Sub(job.preemptedAt)
			job.preemptedAt = time.Time{}
		}
		if job.Finished() {
			b.remove(job)
		}
	}
}
