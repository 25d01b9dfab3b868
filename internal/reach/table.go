package reach

import "time"

const (
	// doubtServers is the number of backend servers at which connections have to fail before the instance doubts itself.
	doubtServers = 2

	// evidenceAge is the time for which reaching one server shows that failures at others are their own.
	evidenceAge = 500 * time.Millisecond

	// sameTime is the time before a probe that reached a server in which failures at others are taken for their own. In a longer time, the
	// ways of the instance may have come back.
	sameTime = 100 * time.Millisecond

	// failureMemory is the time after which a failed connection counts no more, and blockMemory that after which a server
	// that only helpers reached is forgotten, unless it is used.
	failureMemory = 10 * time.Second
	blockMemory   = 30 * time.Second

	// forgetInterval is the time between two searches for what is too old.
	forgetInterval = 100 * time.Millisecond

	// probeInterval is the time between two probes of the same way, and isolatedProbeInterval that while there is no other way.
	probeInterval         = time.Second
	isolatedProbeInterval = 250 * time.Millisecond

	// downTime is the time for which helpers are not asked about a server at which they failed too.
	downTime = time.Second

	// isolationTime is the time for which connections fail at once after all helpers turned out to be cut off as well.
	isolationTime = 500 * time.Millisecond
)

// block is a server that a helper reached when this instance did not.
type block struct {
	// since is the beginning of the failed connection.
	since   time.Time
	usedAt  time.Time
	probeAt time.Time
}

// Table holds what one instance knows about its own ways to backend servers. Servers are named by their addresses, and
// connections by the times at which they were begun. Table does no I/O and is not safe for concurrent use.
type Table struct {
	// reachedAt is the beginning of the latest connection on which a server sent something.
	reachedAt time.Time
	// failures holds the beginning of the latest failed connection to each server, if it is after reachedAt.
	failures map[string]time.Time
	blocks   map[string]*block
	// downUntil holds the servers at which helpers failed too.
	downUntil     map[string]time.Time
	isolatedUntil time.Time
	// probeAt is the earliest time of the next probe while the instance doubts itself.
	probeAt  time.Time
	forgetAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		failures: make(map[string]time.Time), blocks: make(map[string]*block), downUntil: make(map[string]time.Time),
	}
}

// Reached records that a server sent something on a direct connection, or that a probe of it succeeded.
func (t *Table) Reached(address string, begun time.Time) {
	if b := t.blocks[address]; b != nil && begun.After(b.since) {
		delete(t.blocks, address)
	}
	if !begun.After(t.reachedAt) {
		return
	}
	t.reachedAt, t.isolatedUntil = begun, time.Time{}
	for failed, failedAt := range t.failures {
		if !failedAt.After(t.reachedAt) {
			delete(t.failures, failed)
		}
	}
}

// ProbeReached records that a probe reached a server. Others at which connections failed just before are down.
func (t *Table) ProbeReached(address string, begun, now time.Time) {
	for failed, failedAt := range t.failures {
		if age := begun.Sub(failedAt); age >= 0 && age <= sameTime && failed != address && t.blocks[failed] == nil {
			t.Down(failed, now)
		}
	}
	t.Reached(address, begun)
}

// Failed records that a direct connection could not be established, or ended before the server sent anything. It does not count
// if helpers fail at the server as well.
func (t *Table) Failed(address string, begun time.Time) {
	if begun.After(t.reachedAt) && begun.After(t.failures[address]) && !begun.Before(t.downUntil[address]) {
		t.failures[address] = begun
	}
	if b := t.blocks[address]; b != nil && begun.After(b.since) {
		b.since = begun
	}
}

// Tunneled records that a helper reached a server. A direct connection begun at failedAt had failed before; the zero time
// stands for none.
func (t *Table) Tunneled(address string, failedAt, now time.Time) {
	t.isolatedUntil = time.Time{}
	delete(t.downUntil, address)
	if failedAt.IsZero() {
		failedAt = t.failures[address]
	}
	if failedAt.IsZero() {
		return
	}
	t.Failed(address, failedAt)
	if t.blocks[address] == nil {
		t.blocks[address] = &block{since: failedAt, usedAt: now, probeAt: now.Add(probeInterval)}
	}
}

// Down records that helpers that reach other servers fail at one as well, or that this instance does and reaches others.
func (t *Table) Down(address string, now time.Time) {
	t.downUntil[address] = now.Add(downTime)
	delete(t.failures, address)
}

// Isolate records that no helper reaches any server. It reports whether that leaves no way to any server, because this instance
// doubts its own ways too.
func (t *Table) Isolate(now time.Time) bool {
	if !t.Doubtful(now) {
		return false
	}
	t.isolatedUntil = now.Add(isolationTime)
	return true
}

// Unreached returns the number of servers at which connections have failed since one was reached.
func (t *Table) Unreached(now time.Time) int {
	t.forget(now)
	return len(t.failures)
}

// forget drops what is too old to count, from time to time.
func (t *Table) forget(now time.Time) {
	if now.Before(t.forgetAt) {
		return
	}
	t.forgetAt = now.Add(forgetInterval)
	for address, failedAt := range t.failures {
		if now.Sub(failedAt) > failureMemory {
			delete(t.failures, address)
		}
	}
	for address, b := range t.blocks {
		if now.Sub(b.usedAt) > blockMemory {
			delete(t.blocks, address)
		}
	}
	for address, until := range t.downUntil {
		if !now.Before(until) {
			delete(t.downUntil, address)
		}
	}
}

// Doubtful reports whether failures may be due to this instance instead of the servers.
func (t *Table) Doubtful(now time.Time) bool { return t.State(now) != StateDirect }

// IsDown reports whether a server was found down a short time ago.
func (t *Table) IsDown(address string, now time.Time) bool { return now.Before(t.downUntil[address]) }

// HasFailed reports whether a connection to a server has failed since one was reached.
func (t *Table) HasFailed(address string) bool { return !t.failures[address].IsZero() }

// Blocked reports whether a helper reached a server when this instance did not.
func (t *Table) Blocked(address string) bool { return t.blocks[address] != nil }

// Blames reports whether the failure of a connection is the server's own.
func (t *Table) Blames(address string, now time.Time) bool {
	return t.IsDown(address, now) || !t.Doubtful(now) && t.blocks[address] == nil
}

// Proves reports whether a failure at a server proves that it is the server's own, also to other instances.
func (t *Table) Proves(address string, now time.Time) bool {
	return t.Blames(address, now) && (t.IsDown(address, now) || t.fresh(now))
}

// fresh reports whether a server was reached a short time ago.
func (t *Table) fresh(now time.Time) bool { return now.Sub(t.reachedAt) <= evidenceAge }

// State returns what the instance believes of its own ways.
func (t *Table) State(now time.Time) State {
	t.forget(now)
	broken := 0
	for _, b := range t.blocks {
		if b.since.After(t.reachedAt) {
			broken++
		}
		if broken == doubtServers {
			break
		}
	}
	switch {
	case now.Before(t.isolatedUntil):
		return StateIsolated
	case broken >= doubtServers:
		return StateCutOff
	case len(t.failures) >= doubtServers && !t.fresh(now):
		return StateDoubtful
	default:
		return StateDirect
	}
}

// Plan returns how to connect to a server, and whether to probe it meanwhile.
func (t *Table) Plan(address string, now time.Time) (plan Plan, probe bool) {
	state := t.State(now)
	b := t.blocks[address]
	switch {
	case state == StateIsolated && !t.failures[address].IsZero():
		return PlanNone, probeDue(&t.probeAt, isolatedProbeInterval, now)
	case b != nil:
		b.usedAt = now
		return PlanTunnel, probeDue(&b.probeAt, probeInterval, now)
	case t.IsDown(address, now):
		return PlanDirectOnly, false
	case state != StateDirect:
		return PlanTunnel, probeDue(&t.probeAt, probeInterval, now)
	default:
		return PlanDirect, false
	}
}

// ProbeDue reports whether a probe of any way is due, and sets the time of the next one.
func (t *Table) ProbeDue(now time.Time) bool { return probeDue(&t.probeAt, probeInterval, now) }

// Reaches reports whether this instance may connect to a server for another one.
func (t *Table) Reaches(address string, now time.Time) bool {
	failedAt, failed := t.failures[address]
	state := t.State(now)
	return state != StateCutOff && state != StateIsolated && t.blocks[address] == nil && !(failed && now.Sub(failedAt) < downTime)
}

// probeDue reports whether a probe is due at a time, and sets the time of the next one. An earlier probe may have left a
// later time.
func probeDue(at *time.Time, interval time.Duration, now time.Time) bool {
	if now.Before(*at) && at.Sub(now) <= interval {
		return false
	}
	*at = now.Add(interval)
	return true
}
