package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

const (
	// PullWait is the time for which the store is asked to hold a request until there is a change. Together with one
	// retry it has to stay well under the 5 s for which keys may be accepted without confirmation.
	PullWait = 800 * time.Millisecond

	// pullSlack is the time beyond PullWait that a source has to respond.
	pullSlack = 700 * time.Millisecond

	// PullTimeout bounds the time for which the store is silent, before its response or within it, and a whole pull of changes from
	// another instance.
	PullTimeout = PullWait + pullSlack

	// bodyTimeout bounds a whole pull from the store, or of a snapshot where StartTimeout does not apply. The first
	// snapshot of a large configuration takes 1 to 2 s over a link of 10 Mbit/s.
	bodyTimeout = 5 * time.Second

	// staleAfter bounds the age of a source's confirmation; beyond it the source is stale and the next one is tried. A
	// confirmation by the store is PullWait old when it arrives, and the next one comes PullWait later.
	staleAfter = 2200 * time.Millisecond

	// hurryAfter is the age of the last confirmation from which the store is tried before other instances once one has failed. Another
	// silent instance takes PullTimeout, and a configuration has to be in effect after 3 s.
	hurryAfter = 1200 * time.Millisecond

	// urgentSources is the number of sources that are asked at once after one has failed. Asked one after the other, each silent one
	// takes PullTimeout.
	urgentSources = 3

	// sourceBackoff is the time for which a source is skipped after it failed or was stale.
	sourceBackoff = 1500 * time.Millisecond

	// entryExpiry is the time without a response from the store after which entries of backend servers may have expired:
	// an entry expires after three missed heartbeats of 1.2 s.
	entryExpiry = 3 * time.Second

	// StartTimeout bounds a pull from a seed during the start. A seed that starts at the same moment needs about 50 ms to
	// read the store; instances start within 0.3 s of each other.
	StartTimeout = 600 * time.Millisecond

	// startBackoff is the time for which a source is skipped after it failed during the start.
	startBackoff = 100 * time.Millisecond

	// storePause is the time after a response of the store with changes before it is asked for the next ones. Each question is charged, and
	// with hundreds of backend servers that come and go, each one brought a single change. The first change after a time without one is
	// not delayed. It is also the time before an instance that is behind is asked again.
	storePause = 60 * time.Millisecond

	// idleDelay is the time between two searches for a source while all of them are in backoff.
	idleDelay = 100 * time.Millisecond

	// followerWait bounds the time for which a follower's request is held. It exceeds PullWait, so that a follower usually
	// gets the next confirmation, and is below PullTimeout, so that the follower does not time out.
	followerWait = 1100 * time.Millisecond
)

// ErrSilent is wrapped by the error of a source from which nothing has arrived for PullTimeout. Its connection may have gone silent while new
// ones work.
var ErrSilent = errors.New("nothing arrived for too long")

// Source returns the changes after a cursor. Without a change, Pull waits for the first one, up to PullWait at the
// store and followerWait at an instance; for the zero position, and for one of another era, it returns a snapshot as soon as there is one.
type Source interface {
	Pull(ctx context.Context, cursor Cursor) (Batch, error)
}

// SourceFunc adapts a function to Source.
type SourceFunc func(ctx context.Context, cursor Cursor) (Batch, error)

// Pull calls f.
func (f SourceFunc) Pull(ctx context.Context, cursor Cursor) (Batch, error) { return f(ctx, cursor) }

// Upstream is a source with its name and kind.
type Upstream struct {
	Name   string
	Source Source
	// IsStore is true for the platform's store, whose failures may count as an outage; see Feed.StoreOutageAt.
	IsStore bool
	// DuringStart is true for a source that is used while this instance starts. Without a snapshot, its pulls time out
	// after StartTimeout. They are retried after startBackoff, because the source may have started a moment later.
	DuringStart bool
}

//go:generate go tool enumer -type=PullResult -trimprefix=Pull -transform=title-lower -output=pullresult_enumer.go

// PullResult is the result of a pull from a source.
type PullResult int

// Results of pulls.
const (
	PullFailed PullResult = iota
	PullStale
	// PullBehind is that of an instance which lacks changes that this replica has, and will soon have them: with hundreds of changes a second a
	// follower that has read the store is ahead of all others. It is asked again while this replica has been confirmed recently.
	PullBehind
	PullUnchanged
	PullChanged
)

// Options configure a Feed.
type Options struct {
	// Upstreams returns the sources in the order of preference. It may call methods of the Feed.
	Upstreams func() []Upstream
	// Clock is a clock that counts the time in which the process is suspended.
	Clock func() time.Time
	Log   logrus.FieldLogger
	// Number returns the number that the publisher has assigned to a record, 0 for one without. A record never replaces one with
	// a greater number, also if the store does not hold that any more. Nil stands for records without numbers.
	Number func(record Record) uint64
	// OnChange is called with each set of changes, those of the sources in order. Feed.Knowledge tells what was known then.
	OnChange func(records []Record)
	// OnPull is called after each pull with its result; it may be nil.
	OnPull func(upstream Upstream, result PullResult)
}

// Feed keeps the replica of one instance current. It is safe for concurrent use.
type Feed struct {
	options Options

	// applyMu keeps the changes of sources that are asked at once in order. It is held before mu.
	applyMu sync.Mutex

	mu           sync.Mutex
	replica      *replica
	updated      chan struct{} // closed at the next change or newer confirmation
	backoffUntil map[string]time.Time
	// failedInstances holds the instances that failed or were stale since a source last gave a current response. The
	// store is never marked.
	failedInstances map[string]bool
	// failing is true if a source, the store included, failed or was stale since one last gave a current response, and
	// storeSilent if the store was silent since then.
	failing       bool
	storeSilent   bool
	currentSource string
	// pauseUntil is the time before which no source is asked for changes; see storePause.
	pauseUntil time.Time
	// lacking is the name of the source that lacked numbered records in its last response, and lackingAbove the greatest number
	// that it had.
	lacking      string
	lackingAbove uint64
}

// New returns a feed with an empty replica.
func New(options Options) *Feed {
	if options.Number == nil {
		options.Number = func(Record) uint64 { return 0 }
	}
	return &Feed{
		options:         options,
		replica:         newReplica(options.Number),
		updated:         make(chan struct{}),
		backoffUntil:    make(map[string]time.Time),
		failedInstances: make(map[string]bool),
	}
}

// Run pulls from the sources until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sources := f.nextSources()
		if len(sources) == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(idleDelay):
			}
			continue
		}
		f.pullFirst(ctx, sources)
		f.awaitPause(ctx)
	}
	return context.Cause(ctx)
}

// awaitPause waits until the sources may be asked again.
func (f *Feed) awaitPause(ctx context.Context) {
	f.mu.Lock()
	pause := f.pauseUntil.Sub(f.options.Clock())
	f.mu.Unlock()
	if pause <= 0 || pause > storePause { // The clock may have been set.
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// nextSources returns the source to ask, or urgentSources of them if one has failed since the last current response.
func (f *Feed) nextSources() []Upstream {
	now := f.options.Clock()
	upstreams := f.options.Upstreams()
	f.mu.Lock()
	defer f.mu.Unlock()
	// A snapshot is too large to be requested several times.
	urgent := f.failing && f.replica.position.Revision > 0
	age := now.Sub(f.replica.confirmedAt)
	if f.replica.position.Revision > 0 && (age > staleAfter || age > hurryAfter && f.instanceFailed()) {
		upstreams = storeFirst(upstreams)
	}
	limit := 1
	if urgent {
		limit = urgentSources
	}
	var sources []Upstream
	for len(sources) < limit {
		upstream, ok := f.nextSource(upstreams, now)
		if !ok || slices.ContainsFunc(sources, func(u Upstream) bool { return u.Name == upstream.Name }) {
			break
		}
		sources = append(sources, upstream)
		upstreams = slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return u.Name == upstream.Name })
	}
	return sources
}

// nextSource returns the first source that is not in backoff. While instances fail, each of them is tried once before
// any is retried: a pull from an unresponsive one takes longer than the backoff, so that otherwise the first few would
// be tried in turn and the rest never. The store is retried as soon as its backoff ends, because the other sources of
// the instance that reads the store are its own followers. The lock must be held.
func (f *Feed) nextSource(upstreams []Upstream, now time.Time) (Upstream, bool) {
	available := func(u Upstream) bool { return !now.Before(f.backoffUntil[u.Name]) }
	index := slices.IndexFunc(upstreams, func(u Upstream) bool { return available(u) && !f.failedInstances[u.Name] })
	if index < 0 {
		if index = slices.IndexFunc(upstreams, available); index < 0 {
			return Upstream{}, false
		}
		clear(f.failedInstances) // Each was tried once.
	}
	upstream := upstreams[index]
	delete(f.backoffUntil, upstream.Name)
	return upstream, true
}

// pullFirst pulls from sources at once, until one has given a current response.
func (f *Feed) pullFirst(ctx context.Context, sources []Upstream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, upstream := range sources {
		f.logChosen(upstream)
		group.Go(func() {
			if f.pull(ctx, upstream) {
				cancel()
			}
		})
	}
	group.Wait()
}

// logChosen logs a change of the source.
func (f *Feed) logChosen(upstream Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentSource == upstream.Name {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		logs.Event: "sourceChosen", logs.Source: upstream.Name, logs.Former: f.currentSource,
		logs.Revision: f.replica.position.Revision,
	}).Info("source of the configuration changed")
	f.currentSource = upstream.Name
}

// instanceFailed reports whether an instance failed since a source last gave a current response. The lock must be held.
func (f *Feed) instanceFailed() bool {
	for _, failed := range f.failedInstances {
		if failed {
			return true
		}
	}
	return false
}

// storeFirst moves the store before the instances. A stale replica has no time to try more instances: with a third of
// them frozen, one stale and two unresponsive sources took 4.7 s, and a configuration has to be in effect after 4 s.
func storeFirst(upstreams []Upstream) []Upstream {
	ordered := slices.Clone(upstreams)
	slices.SortStableFunc(ordered, func(a, b Upstream) int {
		switch {
		case a.IsStore == b.IsStore:
			return 0
		case a.IsStore:
			return -1
		default:
			return 1
		}
	})
	return ordered
}

// pull pulls from one source. It reports whether the response is current.
func (f *Feed) pull(ctx context.Context, upstream Upstream) (current bool) {
	cursor := f.cursor(upstream)
	timeout := PullTimeout
	switch {
	case upstream.DuringStart && cursor.Revision == 0:
		timeout = StartTimeout
	case upstream.IsStore || cursor.Revision == 0:
		timeout = bodyTimeout // The store's client bounds each silence itself.
	}
	pullCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch, err := upstream.Source.Pull(pullCtx, cursor)
	now := f.options.Clock()
	if err != nil {
		if ctx.Err() != nil {
			return false // Another source was faster, or the instance ends.
		}
		f.reportPull(upstream, PullFailed)
		f.handleFailure(upstream, err, now)
		return false
	}
	result := f.applyInOrder(batch)
	f.noteLacking(upstream, batch)
	// A source at an earlier position cannot confirm this replica, however recent its own confirmation is.
	age := now.Sub(batch.ConfirmedAt)
	switch behind := batch.Compare(cursor.Position) < 0; {
	case behind && batch.FromInstance && age <= staleAfter && batch.Era == cursor.Era && now.Sub(f.ConfirmedAt()) <= hurryAfter:
		result = PullBehind
		f.pause(now)
	case behind || age > staleAfter:
		result = PullStale
		f.deferSource(upstream, now)
		f.options.Log.WithFields(logrus.Fields{
			logs.Event: "sourceStale", logs.Source: upstream.Name, logs.AgeMillis: age.Milliseconds(),
			logs.Revision: batch.Revision, "ownRevision": cursor.Revision, "era": batch.Era, "ownEra": cursor.Era,
		}).Warn("source of the configuration is not current")
	default:
		f.clearFailures()
		current = true
		if upstream.IsStore && result == PullChanged && cursor.Revision > 0 {
			f.pause(now)
		}
	}
	f.reportPull(upstream, result)
	return current
}

func (f *Feed) pause(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauseUntil = now.Add(storePause)
}

// applyInOrder applies a batch and passes its changes on before another batch is applied.
func (f *Feed) applyInOrder(batch Batch) PullResult {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	changed := f.applyBatch(batch)
	if len(changed) == 0 {
		return PullUnchanged
	}
	f.options.OnChange(changed)
	return PullChanged
}

// cursor returns what a source is told about the replica.
func (f *Feed) cursor(upstream Upstream) Cursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	cursor := Cursor{Position: f.replica.position, Number: f.replica.greatestNumber()}
	if f.lacking == upstream.Name {
		cursor.Offered = f.replica.numberedAbove(f.lackingAbove)
	}
	return cursor
}

// noteLacking records whether an instance lacks numbered records that this one holds. It gets them with the next pull.
func (f *Feed) noteLacking(upstream Upstream, batch Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacking == upstream.Name {
		f.lacking = ""
	}
	// An instance of a former release states no number and takes no offers.
	if !upstream.IsStore && batch.Number > 0 && batch.Number < f.replica.greatestNumber() {
		f.lacking, f.lackingAbove = upstream.Name, batch.Number
	}
}

// Offer takes over the numbered records of a follower that are newer than the own ones. The store may have lost them.
func (f *Feed) Offer(records []Record) {
	f.mu.Lock()
	newer := slices.DeleteFunc(slices.Clone(records), func(record Record) bool {
		return f.options.Number(record) <= f.replica.numbers[record.Key] || !f.replica.put(record)
	})
	if len(newer) > 0 {
		f.wakeFollowers()
	}
	f.mu.Unlock()
	if len(newer) > 0 {
		f.options.Log.WithFields(logrus.Fields{logs.Event: "recordsOffered", "records": len(newer)}).
			Info("a follower holds newer records than the store")
		f.options.OnChange(newer)
	}
}

// clearFailures makes all instances eligible again after a source gave a current response.
func (f *Feed) clearFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.failedInstances)
	f.failing, f.storeSilent = false, false
}

func (f *Feed) reportPull(upstream Upstream, result PullResult) {
	if f.options.OnPull != nil {
		f.options.OnPull(upstream, result)
	}
}

func (f *Feed) handleFailure(upstream Upstream, err error, now time.Time) {
	f.deferSource(upstream, now)
	if upstream.IsStore {
		f.noteStoreFailure(now)
		f.retrySilentStore(upstream, err)
	}
	f.options.Log.WithError(err).WithFields(logrus.Fields{
		logs.Event: "sourceFailed", logs.Source: upstream.Name, logs.Revision: f.Revision(),
		"confirmedAgeMillis": now.Sub(f.ConfirmedAt()).Milliseconds(),
	}).Warn("source of the configuration failed")
}

// noteStoreFailure records a failed call to the store. It counts as an outage if the last confirmation is so old that
// entries may have expired. After a shorter failure, or one of this instance's own link, a removed entry means that the
// backend server is gone.
func (f *Feed) noteStoreFailure(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := f.replica.storeFailing()
	f.replica.storeFailedAt = now
	if !failing {
		f.wakeFollowers()
	}
	if now.Sub(f.replica.confirmedAt) > entryExpiry {
		f.replica.storeOutageAt = now
	}
}

func (f *Feed) deferSource(upstream Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedInstances[upstream.Name], f.failing = !upstream.IsStore, true
	backoff := sourceBackoff
	if upstream.DuringStart {
		backoff = startBackoff
	}
	f.backoffUntil[upstream.Name] = now.Add(backoff)
}

// retrySilentStore makes the store eligible again at once after a first silence, on a new connection and beside other sources. The
// followers of the instance that reads the store know no more than it does.
func (f *Feed) retrySilentStore(upstream Upstream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if errors.Is(err, ErrSilent) && !f.storeSilent {
		f.storeSilent = true
		delete(f.backoffUntil, upstream.Name)
	}
}

func (f *Feed) applyBatch(batch Batch) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	began := f.replica.beginsEra(batch) && batch.Snapshot
	former := f.replica.position
	confirmedAt, failing := f.replica.confirmedAt, f.replica.storeFailing()
	changed := f.replica.apply(batch)
	if began {
		f.options.Log.WithFields(logrus.Fields{
			logs.Event: "storeEraChanged", "era": batch.Era, "formerEra": former.Era,
			logs.Revision: batch.Revision, "formerRevision": former.Revision, "changes": len(changed), "number": f.replica.greatestNumber(),
		}).Warn("the store has come back from an older copy")
	}
	if began || len(changed) > 0 || f.replica.confirmedAt.After(confirmedAt) || f.replica.storeFailing() != failing {
		f.wakeFollowers()
	}
	return changed
}

// wakeFollowers ends the waits of Serve. The lock must be held.
func (f *Feed) wakeFollowers() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// Revision returns the revision of the replica; 0 before the first snapshot.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.position.Revision
}

// Era returns the era of the replica; see Position.
func (f *Feed) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.position.Era
}

// Number returns the greatest number of the numbered records; see Options.Number.
func (f *Feed) Number() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.greatestNumber()
}

// ConfirmedAt returns the last time at which the replica was known to be current.
func (f *Feed) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.confirmedAt
}

// StoreFailing reports whether a call to the store has failed since the replica was last known to be current, here or at
// the instances that this one follows.
func (f *Feed) StoreFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.storeFailing()
}

// Knowledge tells what was known when records changed.
type Knowledge struct {
	// StoreOutageAt is the last time at which the store was known to be in an outage; zero for never.
	StoreOutageAt time.Time
	// CompleteAt is the last time before the changes at which the records were known to be complete; zero for never.
	CompleteAt time.Time
}

// Knowledge returns what was known when records changed last.
func (f *Feed) Knowledge() Knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Knowledge{StoreOutageAt: f.replica.storeOutageAt, CompleteAt: f.replica.completeAt}
}

// StoreOutageAt returns the last time at which the store was known to be in an outage; zero for never.
func (f *Feed) StoreOutageAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.storeOutageAt
}

// Serve returns the changes after a cursor to a follower. It waits up to followerWait for a change or a newer
// confirmation, and until this replica has reached the follower's revision. It returns at once if the follower lacks changes, holds other numbered
// records, or is of another era, and as soon as there is a snapshot if neither side has one yet.
func (f *Feed) Serve(ctx context.Context, cursor Cursor) Batch {
	if cursor.Inquires {
		return f.numberedSince(cursor)
	}
	f.Offer(cursor.Offered)
	timer := time.NewTimer(followerWait)
	defer timer.Stop()
	for waited := false; ; waited = true {
		batch, updated := f.changesSince(cursor)
		behind := batch.Era == cursor.Era && batch.Revision < cursor.Revision && batch.Revision > 0
		hasOtherNumber := batch.Number != cursor.Number && len(cursor.Offered) == 0
		if hasOtherNumber || !behind && (waited || batch.Position != cursor.Position) {
			return batch
		}
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			batch, _ = f.changesSince(cursor)
			return batch
		case <-updated:
		}
	}
}

func (f *Feed) numberedSince(cursor Cursor) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch := f.replica.state()
	batch.Records = f.replica.numberedAbove(cursor.Number)
	return batch
}

func (f *Feed) changesSince(cursor Cursor) (Batch, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.changesSince(cursor), f.updated
}
