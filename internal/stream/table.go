package stream

import (
	"cmp"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// generationRecord is what an instance knows about a generation that it relays, relayed or arbitrates. A taker is a
// resume request that takes over a generation.
type generationRecord struct {
	epoch uint64
	// session is set while a caller is attached here.
	session *session
	// parked is set while the generation waits for its caller to resume.
	parked *parkedGeneration
	// holder is the taker that the generation was released to.
	holder string
	// pending is the local taker that is asking for the release of the generation.
	pending string
	timer   *time.Timer
}

// parkedGeneration is a generation that waits for its caller to resume.
type parkedGeneration struct {
	placement pond.Placement
	address   string
	tokens    int
}

// generationTable holds the records of an instance by generation.
type generationTable struct {
	// self is the taker that is returned as the holder while a caller is attached here.
	self    string
	lock    sync.Mutex
	records map[string]*generationRecord
}

func newGenerationTable(self string) *generationTable {
	return &generationTable{
		self:    self,
		records: make(map[string]*generationRecord),
	}
}

// attach registers a session as the holder of its generation.
func (t *generationTable) attach(s *session) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.replace(s.sequence.generation, &generationRecord{epoch: s.epoch, session: s})
}

// detach ends a session. It reports whether the session still held its generation. If so, the record is removed if p is
// nil, and otherwise kept as parked until limit has passed; then it is removed and expire is called.
func (t *generationTable) detach(s *session, p *parkedGeneration, limit time.Duration, expire func()) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	generation := s.sequence.generation
	current, ok := t.records[generation]
	if !ok || current.session != s {
		return false
	}
	if p == nil {
		t.replace(generation, nil)
		return true
	}
	next := &generationRecord{epoch: s.epoch, parked: p}
	next.timer = time.AfterFunc(limit, func() {
		if t.removeIfCurrent(generation, next) {
			expire()
		}
	})
	t.replace(generation, next)
	return true
}

// removeIfCurrent removes a record if it is still the one of its generation.
func (t *generationTable) removeIfCurrent(generation string, r *generationRecord) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.records[generation] != r {
		return false
	}
	delete(t.records, generation)
	return true
}

func (t *generationTable) replace(generation string, next *generationRecord) {
	if old, ok := t.records[generation]; ok && old.timer != nil {
		old.timer.Stop()
	}
	if next == nil {
		delete(t.records, generation)
		return
	}
	t.records[generation] = next
}

// claim sets the pending taker of a generation. It returns false if another local taker is pending. The session, parked
// generation and holder of an existing record do not change.
func (t *generationTable) claim(generation, taker string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	current, ok := t.records[generation]
	if !ok {
		t.records[generation] = &generationRecord{pending: taker}
		return true
	}
	if current.pending != "" {
		return false
	}
	current.pending = taker
	return true
}

// unclaim ends a claim that was not followed by attach.
func (t *generationTable) unclaim(generation, taker string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	current, ok := t.records[generation]
	if !ok || current.pending != taker {
		return
	}
	current.pending = ""
	if current.session == nil && current.parked == nil && current.holder == "" {
		t.replace(generation, nil)
	}
}

// releaseResult is the response to a taker.
type releaseResult struct {
	released bool
	epoch    uint64
	holder   string
	// formerSession is the session that held the generation and has to be stopped; nil without one.
	formerSession *session
	// parked is what the taker gets if no session was attached.
	parked *parkedGeneration
}

// release hands a generation over to a taker. The first taker that presents the current epoch gets it. A parked
// generation is also handed to a taker with an older epoch, because its caller may have lost the connection before the
// first new cursor arrived. For a generation without a record, whose relay is gone, this instance is the arbiter.
func (t *generationTable) release(generation string, epoch uint64, taker string) releaseResult {
	t.lock.Lock()
	defer t.lock.Unlock()
	current, ok := t.records[generation]
	if !ok {
		current = &generationRecord{epoch: epoch}
	}
	if current.pending != "" && current.pending != taker {
		return releaseResult{epoch: current.epoch, holder: current.pending}
	}
	if !current.releasable(epoch) {
		return releaseResult{epoch: current.epoch, holder: cmp.Or(current.holder, t.self)}
	}
	result := releaseResult{
		released:      true,
		epoch:         max(epoch, current.epoch) + 1,
		holder:        taker,
		formerSession: current.session,
		parked:        current.parked,
	}
	next := &generationRecord{epoch: result.epoch, holder: taker, pending: current.pending}
	next.timer = time.AfterFunc(releaseRetention, func() { t.removeIfCurrent(generation, next) })
	t.replace(generation, next)
	return result
}

func (r *generationRecord) releasable(epoch uint64) bool {
	if r.parked != nil {
		return true
	}
	return epoch >= r.epoch
}
