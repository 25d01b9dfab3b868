package fakes

import (
	"cmp"
	"slices"
	"time"
)

// BatchConfig holds the settings of a Batch.
type BatchConfig struct {
	// MemoryTokens is the key-value memory; a generation holds its prompt and its output so far.
	MemoryTokens int
	// MaxRunning bounds the batch.
	MaxRunning int
	// CacheTokens is the memory of the prefix cache, apart from MemoryTokens.
	CacheTokens int
	// PromptChunk is the number of prompt tokens computed in one step over all generations.
	PromptChunk int
	// StepBase is the time of a step with an empty batch.
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

// BatchCounters count what a Batch did since it was made.
type BatchCounters struct {
	// Tokens is the number of generated tokens.
	Tokens int64
	// Preemptions is the number of times that a running generation lost its memory.
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
	// uncomputed is the number of prompt and, after a preemption, output tokens to compute before the next token.
	uncomputed   int
	generated    int
	preemptedAt  time.Time
	outOfContext bool
}

// NewJob returns a generation of the given output length. A larger priority is preempted later.
func NewJob(id, prompt string, priority, length int) *Job {
	return &Job{id: id, prompt: prompt, priority: priority, length: length, promptTokens: PromptTokens(prompt)}
}

// ID returns the generation ID.
func (j *Job) ID() string { return j.id }

// Generated returns the number of tokens generated so far.
func (j *Job) Generated() int { return j.generated }

// Finished reports whether the generation is at its end.
func (j *Job) Finished() bool { return j.generated >= j.length || j.outOfContext }

func (j *Job) held() int { return j.promptTokens + j.generated }

// Batch is the state machine of an engine with continuous batching. It reads no clock and starts no goroutine.
type Batch struct {
	config   BatchConfig
	waiting  []*Job
	running  []*Job
	used     int
	sequence int64
	cache    *prefixCache
	counters BatchCounters
}

// NewBatch returns an empty batch.
func NewBatch(config BatchConfig) *Batch {
	return &Batch{config: config, cache: newPrefixCache(config.CacheTokens)}
}

// Fits reports whether a generation could ever run in an otherwise empty batch.
func (b *Batch) Fits(job *Job) bool { return job.promptTokens < b.config.MemoryTokens }

// Add puts a generation into the queue.
func (b *Batch) Add(job *Job) {
	b.sequence++
	job.sequence = b.sequence
	b.enqueue(job)
}

// enqueue keeps the queue ordered by priority, then by arrival.
func (b *Batch) enqueue(job *Job) {
	at, _ := slices.BinarySearchFunc(b.waiting, job, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.sequence, y.sequence))
	})
	b.waiting = slices.Insert(b.waiting, at, job)
}

// Cancel removes a generation and frees its memory. It reports whether the batch held the generation.
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
	b.used -= job.held()
	return true
}

// Running returns the size of the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the length of the queue.
func (b *Batch) Waiting() int { return len(b.waiting) }

// UsedTokens returns the key-value memory in use.
func (b *Batch) UsedTokens() int { return b.used }

// Counters returns what the batch did so far.
func (b *Batch) Counters() BatchCounters { return b.counters }

// Idle reports whether there is nothing to compute.
func (b *Batch) Idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }

// Step computes one step that begins at now. It returns the time that the step takes, which is multiplied by slowdown,
// and the generations that gain one token each at its end. Finished ones have left the batch.
func (b *Batch) Step(now time.Time, slowdown float64) (time.Duration, []*Job) {
	b.admit()
	b.makeRoom(now)
	prompt, ready := b.computePrompts()
	took := b.config.StepBase
	took += time.Duration(len(b.running)) * b.config.StepPerRunning
	took += time.Duration(prompt) * b.config.StepPerPromptToken
	took = time.Duration(float64(took) * slowdown)
	b.emit(ready, now.Add(took))
	return took, ready
}

// admit moves generations from the head of the queue into the batch while memory allows. A head that doesn't fit
// blocks the ones behind it, as in engines that serve in order.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		job := b.waiting[0]
		if b.used+job.held()+1 > b.config.MemoryTokens {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.used += job.held()
		job.uncomputed = job.held() - b.cache.match(job.prompt)
		b.running = append(b.running, job)
	}
}

// makeRoom preempts until each generation in the batch has memory for one more token.
func (b *Batch) makeRoom(now time.Time) {
	for b.used+len(b.running) > b.config.MemoryTokens {
		if len(b.running) == 1 {
			b.running[0].outOfContext = true
			return
		}
		b.preempt(b.victim(), now)
	}
}

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

// computePrompts spends the prompt chunk in order of admission and returns the tokens spent and the generations that
// need no more prompt computation.
func (b *Batch) computePrompts() (spent int, ready []*Job) {
	left := b.config.PromptChunk
	ready = make([]*Job, 0, len(b.running))
	for _, job := range b.running {
		n := min(left, job.uncomputed)
		job.uncomputed -= n
		left -= n
		if !job.preemptedAt.IsZero() {
			b.counters.RecomputedTokens += int64(n)
		}
		if job.uncomputed > 0 {
			continue
		}
		if n > 0 {
			b.cache.store(job.prompt)
		}
		ready = append(ready, job)
	}
	return b.config.PromptChunk - left, ready
}

func (b *Batch) emit(ready []*Job, at time.Time) {
	for _, job := range ready {
		if job.outOfContext {
			b.remove(job)
			continue
		}
		job.generated++
		b.used++
		b.counters.Tokens++
		if !job.preemptedAt.IsZero() {
			b.counters.Stall += at.Sub(job.preemptedAt)
			job.preemptedAt = time.Time{}
		}
		if job.Finished() {
			b.remove(job)
		}
	}
}
