package feed

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

const (
	// consultTime bounds the time for which a first snapshot from the store is held back to ask other instances. An instance that starts learns
	// of those that it cannot know from its settings in 0.35 s, and is waited for by others that start for StartTimeout.
	consultTime = 400 * time.Millisecond

	// slowestAnswer is the time that the other instances still have when the first one has answered.
	slowestAnswer = 100 * time.Millisecond

	// consultInterval is the time between two looks for instances that have become known.
	consultInterval = 25 * time.Millisecond

	// maxConsulted bounds the instances that are asked at the same time.
	maxConsulted = 5
)

// StartOptions configure a source for the start of an instance. All fields are required.
type StartOptions struct {
	// Others returns the other instances that are known so far.
	Others func() []Upstream
	// Number is that of the feed; see Options.Number.
	Number func(record Record) uint64
	Log    logrus.FieldLogger
}

// CompleteAtStart returns the store as a source whose first snapshot holds the newest numbered records that other instances have. A store
// that has come back from an older copy lacks what was written since the copy was made until it is written again, and an instance that
// starts in this time knows nothing else. While others may answer, the snapshot is held back for consultTime at most. A store of era 0 has
// never lost a record, so nobody is asked.
func CompleteAtStart(store Source, options StartOptions) Source {
	return SourceFunc(func(ctx context.Context, cursor Cursor) (Batch, error) {
		batch, err := store.Pull(ctx, cursor)
		if err != nil || cursor.Revision > 0 || batch.Era == 0 {
			return batch, err
		}
		c := &consultation{options: options, batch: batch, newest: make(map[string]Record), answers: make(chan answer), asked: make(map[string]bool)}
		for _, record := range batch.Records {
			c.greatest = max(c.greatest, options.Number(record))
		}
		c.run(ctx)
		batch.Records = c.complete(batch.Records)
		return batch, nil
	})
}

// answer is the response of another instance; err is nil if it has one.
type answer struct {
	from  string
	batch Batch
	err   error
}

// consultation asks other instances for numbered records that are newer than those of a snapshot.
type consultation struct {
	options  StartOptions
	batch    Batch
	greatest uint64 // number of the snapshot's records

	answers  chan answer
	asked    map[string]bool
	pending  int
	knowing  int // instances that have answered and hold records
	newest   map[string]Record
	newestOf string // the instance that the newest record came from
}

// run asks some of the instances that are known at a time, until one that holds records has answered. It returns when the others of that time have
// answered too, or when the time is up.
func (c *consultation) run(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, consultTime)
	defer cancel()
	ticker := time.NewTicker(consultInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && (c.pending > 0 || c.knowing == 0) {
		if c.knowing == 0 {
			c.ask(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case a := <-c.answers:
			if first := c.knowing == 0; c.take(a) && first {
				time.AfterFunc(slowestAnswer, cancel)
			}
		}
	}
	entry := c.options.Log.WithFields(logrus.Fields{
		logs.Event: "startConsulted", "era": c.batch.Era, logs.Revision: c.batch.Revision, "number": c.greatest,
		"asked": len(c.asked), "answered": c.knowing, "newer": len(c.newest), logs.Source: c.newestOf, "tookMillis": time.Since(began).Milliseconds(),
	})
	if c.knowing == 0 {
		entry.Warn("no other instance holds records; the store may lack what was written before it came back from an older copy")
		return
	}
	entry.Info("other instances were asked for newer records than those of the store")
}

// ask asks instances that were not asked before.
func (c *consultation) ask(ctx context.Context) {
	for _, other := range c.options.Others() {
		if c.pending >= maxConsulted {
			return
		}
		if c.asked[other.Name] {
			continue
		}
		c.asked[other.Name] = true
		c.pending++
		go func() {
			batch, err := other.Source.Pull(ctx, Cursor{Position: c.batch.Position, Number: c.greatest, Inquires: true})
			select {
			case c.answers <- answer{from: other.Name, batch: batch, err: err}:
			case <-ctx.Done():
			}
		}()
	}
}

// take takes over the numbered records of an answer and reports whether the other instance holds records.
func (c *consultation) take(a answer) (knows bool) {
	c.pending--
	if a.err != nil {
		c.options.Log.WithError(a.err).WithFields(logrus.Fields{logs.Event: "startNotAnswered", logs.Source: a.from}).
			Info("another instance has no records for one that starts")
		return false
	}
	if a.batch.Revision == 0 {
		return false // It starts as well.
	}
	c.knowing++
	for _, record := range a.batch.Records {
		if number := c.options.Number(record); number > c.greatest && number > c.options.Number(c.newest[record.Key]) {
			c.newest[record.Key], c.newestOf = record, a.from
		}
	}
	return true
}

// complete returns records with the newest ones in place of those with the same key. They keep the revisions of the store, which orders later
// writes by them.
func (c *consultation) complete(records []Record) []Record {
	completed := slices.Clone(records)
	for key, newest := range c.newest {
		at := slices.IndexFunc(completed, func(record Record) bool { return record.Key == key })
		if at < 0 {
			at = len(completed)
			completed = append(completed, Record{Key: key, Revision: c.batch.Revision})
		}
		completed[at].Value, completed[at].Deleted = newest.Value, false
	}
	return completed
}
