package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

const (
	// PullWait is the time for which a source keeps a request waiting for a change. Together with one retry it has to
	// stay well under the 5 s for which keys may be accepted without confirmation.
	PullWait = 800 * time.Millisecond

	// pullSlack is the time beyond PullWait after which a source counts as silent.
	pullSlack = 700 * time.Millisecond

	// PullLimit is the time after which a source that has not begun to answer counts as silent.
	PullLimit = PullWait + pullSlack

	// bodyLimit bounds a whole answer. The first snapshot of a large configuration takes 1 to 2 s over a link of 10 Mbit/s.
	bodyLimit = 5 * time.Second

	// staleLimit is the age of the confirmation at which a source is left for the next one. A confirmation by the store
	// is PullWait old when it arrives, and the next one comes PullWait later.
	staleLimit = 2200 * time.Millisecond

	// sourcePause is the time for which a source that failed is passed over.
	sourcePause = 1500 * time.Millisecond

	// expiryTime is the time without contact from which the entries of backend servers may have expired: they do after
	// three heartbeats of 1.2 s.
	expiryTime = 3 * time.Second

	// StartLimit is the time after which a source that is asked during the start counts as silent. A source that starts at
	// the same moment needs about 50 ms to read the store; instances start within 0.3 s of each other.
	StartLimit = 600 * time.Millisecond

	// startPause is the time for which a source that failed during the start is passed over.
	startPause = 100 * time.Millisecond

	// idlePause is the time between two rounds over all sources while each of them is paused.
	idlePause = 100 * time.Millisecond

	// followerWait bounds the wait of a follower's request. It exceeds PullWait, so that a follower usually hears of the
	// next confirmation, and ends before the follower takes its source for silent.
	followerWait = 1100 * time.Millisecond
)

// Source gives changes after a revision. Pull waits for up to PullWait for the first change; after zero it returns a
// snapshot at once.
type Source interface {
	Pull(ctx context.Context, after uint64) (Batch, error)
}

// SourceFunc adapts a function to Source.
type SourceFunc func(ctx context.Context, after uint64) (Batch, error)

// Pull calls f.
func (f SourceFunc) Pull(ctx context.Context, after uint64) (Batch, error) { return f(ctx, after) }

// Upstream is a source with a name for logs.
type Upstream struct {
	Name   string
	Source Source
	// Store is true for the platform's store, whose failures are remembered as a disturbance.
	Store bool
	// Starting is true for a source that is asked while this instance starts. It counts as silent after StartLimit and is
	// asked again after startPause, because it may have begun to start a moment later.
	Starting bool
}

//go:generate go tool enumer -type=PullResult -trimprefix=Pull -transform=title-lower -output=pullresult_enumer.go

// PullResult tells what came of a question to a source.
type PullResult int

// Results of questions.
const (
	PullFailed PullResult = iota
	PullStale
	PullUnchanged
	PullChanged
)

// Options hold what a Feed needs.
type Options struct {
	// Upstreams returns the sources in the order of preference. It may ask the Feed for its state.
	Upstreams func() []Upstream
	// Clock is a clock that counts the time in which the process is suspended.
	Clock func() time.Time
	Log   logrus.FieldLogger
	// Changed is called with each set of changes, in order.
	Changed func(records []Record)
	// Pulled is called after each question to a source, with its result; nil if nobody counts.
	Pulled func(upstream Upstream, result PullResult)
}

// Feed keeps the copy of one instance current. It is safe for concurrent use.
type Feed struct {
	options Options

	mu      sync.Mutex
	view    *view
	waiters chan struct{} // closed at the next change
	paused  map[string]time.Time
	// failing holds the instances that failed since a source last gave a current answer.
	failing map[string]bool
	source  string
}

// New returns an empty feed.
func New(options Options) *Feed {
	return &Feed{
		options: options,
		view:    newView(),
		waiters: make(chan struct{}),
		paused:  make(map[string]time.Time),
		failing: make(map[string]bool),
	}
}

// Run follows sources until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		upstream, ok := f.choose()
		if !ok {
			select {
			case <-ctx.Done():
			case <-time.After(idlePause):
			}
			continue
		}
		f.pull(ctx, upstream)
	}
	return context.Cause(ctx)
}

// choose returns the first source that is not paused. While instances fail, each of them is tried once before any is tried
// again: silent ones take longer to fail than a pause lasts, so that the first few would never let the others have a turn. The
// store is asked again after its pause: a reader whose one call was lost has only its own followers beside it.
func (f *Feed) choose() (Upstream, bool) {
	now := f.options.Clock()
	upstreams := f.options.Upstreams()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.revision > 0 && now.Sub(f.view.confirmedAt) > staleLimit {
		upstreams = storeFirst(upstreams)
	}
	ready := func(u Upstream) bool { return !now.Before(f.paused[u.Name]) }
	at := slices.IndexFunc(upstreams, func(u Upstream) bool { return ready(u) && !f.failing[u.Name] })
	if at < 0 {
		if at = slices.IndexFunc(upstreams, ready); at < 0 {
			return Upstream{}, false
		}
		clear(f.failing) // Each has had its turn.
	}
	upstream := upstreams[at]
	delete(f.paused, upstream.Name)
	if f.source != upstream.Name {
		f.options.Log.WithFields(logrus.Fields{
			logs.Event: "sourceChosen", logs.Source: upstream.Name, logs.Former: f.source, logs.Revision: f.view.revision,
		}).Info("source of the configuration changed")
		f.source = upstream.Name
	}
	return upstream, true
}

// storeFirst moves the store before the instances. A copy that is out of date has no time for more of them: with a third of the
// fleet frozen, a stale source and two silent ones took 4.7 s, and a configuration has to be in force after 4 s.
func storeFirst(upstreams []Upstream) []Upstream {
	ordered := slices.Clone(upstreams)
	slices.SortStableFunc(ordered, func(a, b Upstream) int {
		switch {
		case a.Store == b.Store:
			return 0
		case a.Store:
			return -1
		default:
			return 1
		}
	})
	return ordered
}

func (f *Feed) pull(ctx context.Context, upstream Upstream) {
	after := f.Revision()
	limit := PullLimit
	switch {
	case upstream.Starting && after == 0:
		limit = StartLimit
	case upstream.Store || after == 0:
		limit = bodyLimit // The store bounds the time to the head of its answer itself.
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	batch, err := upstream.Source.Pull(ctx, after)
	now := f.options.Clock()
	if err != nil {
		f.pulled(upstream, PullFailed)
		f.failed(upstream, err, now)
		return
	}
	changed, result := f.merge(batch), PullUnchanged
	if len(changed) > 0 {
		result = PullChanged
		f.options.Changed(changed)
	}
	// A source that is behind this copy confirms nothing of it, however recent its own confirmation is.
	if age := now.Sub(batch.ConfirmedAt); age > staleLimit || batch.Revision < after {
		result = PullStale
		f.pause(upstream, now)
		f.options.Log.WithFields(logrus.Fields{
			logs.Event: "sourceStale", logs.Source: upstream.Name, logs.AgeMillis: age.Milliseconds(),
			logs.Revision: batch.Revision, "ownRevision": after,
		}).Warn("source of the configuration is not current")
	} else {
		f.recovered()
	}
	f.pulled(upstream, result)
}

// recovered notes that a source gave a current answer.
func (f *Feed) recovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.failing)
}

func (f *Feed) pulled(upstream Upstream, result PullResult) {
	if f.options.Pulled != nil {
		f.options.Pulled(upstream, result)
	}
}

func (f *Feed) failed(upstream Upstream, err error, now time.Time) {
	f.pause(upstream, now)
	if upstream.Store {
		f.noteDisturbance(now)
	}
	f.options.Log.WithError(err).WithFields(logrus.Fields{
		logs.Event: "sourceFailed", logs.Source: upstream.Name, logs.Revision: f.Revision(),
		"confirmedAgeMillis": now.Sub(f.ConfirmedAt()).Milliseconds(),
	}).Warn("source of the configuration failed")
}

// noteDisturbance remembers that the store did not answer, once that has lasted so long that entries may have expired. A
// shorter failure, or one of this instance's own link, is no reason to doubt that a removed entry is gone.
func (f *Feed) noteDisturbance(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.view.confirmedAt) > expiryTime {
		f.view.disturbedAt = now
	}
}

func (f *Feed) pause(upstream Upstream, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[upstream.Name] = !upstream.Store
	pause := sourcePause
	if upstream.Starting {
		pause = startPause
	}
	f.paused[upstream.Name] = now.Add(pause)
}

func (f *Feed) merge(batch Batch) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.view.confirmedAt
	changed := f.view.apply(batch)
	if len(changed) > 0 || f.view.confirmedAt.After(before) {
		close(f.waiters)
		f.waiters = make(chan struct{})
	}
	return changed
}

// Revision returns the revision of the copy; 0 before the first snapshot.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.revision
}

// ConfirmedAt returns the last time at which the copy was known to be current.
func (f *Feed) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.confirmedAt
}

// DisturbedAt returns the last time at which the store was known not to answer as it should.
func (f *Feed) DisturbedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.disturbedAt
}

// Serve answers a follower with the changes after a revision. It waits for a while until there is a change or a newer
// confirmation. A follower that holds a greater revision is answered at once, one that holds nothing as soon as there is a
// snapshot.
func (f *Feed) Serve(ctx context.Context, after uint64) Batch {
	timer := time.NewTimer(followerWait)
	defer timer.Stop()
	batch, changed := f.since(after)
	if batch.Revision != after {
		return batch
	}
	select {
	case <-ctx.Done():
		return batch
	case <-timer.C:
	case <-changed:
	}
	batch, _ = f.since(after)
	return batch
}

func (f *Feed) since(after uint64) (Batch, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.since(after), f.waiters
}
