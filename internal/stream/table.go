package stream

import (
	"cmp"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// record is what an instance knows about a generation that it relays, relayed or arbitrates.
type record struct {
	epoch uint64
	// session is set while a caller is attached here.
	session *session
	// parked is set while the generation waits for its caller to resume.
	parked *parked
	// holder is the taker that the generation was released to.
	holder string
	// pending is the local taker that is asking other instances for the generation.
	pending string
	timer   *time.Timer
}

// parked is a generation without a caller.
type parked struct {
	placement pond.Placement
	address   string
	tokens    int
}

// table holds the records of an instance.
type table struct {
	// self is the taker that is named while a caller is attached here.
	self    string
	lock    sync.Mutex
	records map[string]*record
}

func newTable(self string) *table {
	return &table{
		self:    self,
		records: make(map[string]*record),
	}
}

// attach registers a session as the holder of its generation.
func (t *table) attach(s *session) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.replace(s.sequence.generation, &record{epoch: s.epoch, session: s})
}

// detach ends a session. It reports whether the session still held its generation; the record is then removed, or
// kept as parked until expire is called after limit.
func (t *table) detach(s *session, p *parked, limit time.Duration, expire func()) bool {
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
	next := &record{epoch: s.epoch, parked: p}
	next.timer = time.AfterFunc(limit, func() {
		if t.drop(generation, next) {
			expire()
		}
	})
	t.replace(generation, next)
	return true
}

// drop removes a record if it is still the current one.
func (t *table) drop(generation string, r *record) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.records[generation] != r {
		return false
	}
	delete(t.records, generation)
	return true
}

func (t *table) replace(generation string, next *record) {
	if old, ok := t.records[generation]; ok && old.timer != nil {
		old.timer.Stop()
	}
	if next == nil {
		delete(t.records, generation)
		return
	}
	t.records[generation] = next
}

// claim marks a generation that this instance does not hold as being asked for by a local taker. It reports false if
// another local taker is asking. A record that is held here is left alone.
func (t *table) claim(generation, taker string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	current, ok := t.records[generation]
	if !ok {
		t.records[generation] = &record{pending: taker}
		return true
	}
	if current.pending != "" {
		return false
	}
	current.pending = taker
	return true
}

// unclaim ends a claim that was not followed by attach.
func (t *table) unclaim(generation, taker string) {
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

// grant is the answer to a taker.
type grant struct {
	released bool
	epoch    uint64
	holder   string
	// stopped is the session that lost the generation.
	stopped *session
	// parked is what the taker gets if no session was attached.
	parked *parked
}

// release gives a generation to a taker. The first taker that shows the current epoch gets it. A parked generation is
// also given to a taker that shows an older epoch: its caller lost the connection before the first new cursor arrived.
// A generation without a record was relayed by an instance that is gone, and this instance arbitrates.
func (t *table) release(generation string, epoch uint64, taker string) grant {
	t.lock.Lock()
	defer t.lock.Unlock()
	current, ok := t.records[generation]
	if !ok {
		current = &record{epoch: epoch}
	}
	if current.pending != "" && current.pending != taker {
		return grant{epoch: current.epoch, holder: current.pending}
	}
	if !current.releasable(epoch) {
		return grant{epoch: current.epoch, holder: cmp.Or(current.holder, t.self)}
	}
	g := grant{
		released: true,
		epoch:    max(epoch, current.epoch) + 1,
		holder:   taker,
		stopped:  current.session,
		parked:   current.parked,
	}
	next := &record{epoch: g.epoch, holder: taker, pending: current.pending}
	next.timer = time.AfterFunc(releasedLimit, func() { t.drop(generation, next) })
	t.replace(generation, next)
	return g
}

func (r *record) releasable(epoch uint64) bool {
	if r.parked != nil {
		return true
	}
	return epoch >= r.epoch
}
