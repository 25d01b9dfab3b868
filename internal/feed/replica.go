package feed

import (
	"slices"
	"time"
)

const (
	// historyLimit bounds the changes that are kept for followers. A deployment with 50 backend servers publishes a few
	// changes per second, so that this covers about a minute.
	historyLimit = 512

	// tombstoneLimit bounds the tombstones; see replica.tombstones.
	tombstoneLimit = 1024
)

// Record is one published value or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch is a response of a source.
type Batch struct {
	// Records are the changes after the requested revision, or all records if Snapshot is true.
	Records []Record
	// Era is the number of times that the store has come back from an older copy, as it states in its responses.
	Era      uint64
	Revision uint64
	Snapshot bool
	// ConfirmedAt is the last time at which the source's state was known to be current.
	ConfirmedAt time.Time
	// FromInstance is true for a response of another instance.
	FromInstance bool
	// StoreOutageAt is the last time at which the store was known to be in an outage; zero for never.
	StoreOutageAt time.Time
	// StoreFailedAt is the last time at which a call to the store failed; zero for never.
	StoreFailedAt time.Time
}

// replica is a local copy of the published records. It has no lock and no clock.
type replica struct {
	records map[string]Record
	// era is the highest one that a source has stated.
	era      uint64
	revision uint64
	// history holds the latest changes in the order in which they were applied; historyBase is the revision before the
	// first one.
	history     []Record
	historyBase uint64
	// tombstones holds the revisions of deleted keys. The pages of a snapshot are read one after the other, so a page may
	// hold a key whose deletion is already known.
	tombstones    map[string]uint64
	confirmedAt   time.Time
	storeOutageAt time.Time
	storeFailedAt time.Time
}

func newReplica() *replica {
	return &replica{records: make(map[string]Record), tombstones: make(map[string]uint64)}
}

// storeFailing reports whether a call to the store has failed since the last confirmation.
func (r *replica) storeFailing() bool { return r.storeFailedAt.After(r.confirmedAt) }

// apply applies a batch and returns the changes. A batch older than the replica changes no record and confirms nothing.
func (r *replica) apply(batch Batch) []Record {
	// An instance that is more current knows better whether the store was in an outage: what failed here may have been
	// only the way to the store.
	if batch.StoreOutageAt.After(r.storeOutageAt) || batch.FromInstance && batch.ConfirmedAt.After(r.confirmedAt) {
		r.storeOutageAt = batch.StoreOutageAt
	}
	if batch.StoreFailedAt.After(r.storeFailedAt) {
		r.storeFailedAt = batch.StoreFailedAt
	}
	if batch.Revision < r.revision {
		return nil
	}
	var changed []Record
	if batch.Snapshot {
		changed = r.removeMissing(batch)
	}
	for _, record := range batch.Records {
		if r.put(record) {
			changed = append(changed, record)
		}
	}
	r.revision = batch.Revision
	if batch.ConfirmedAt.After(r.confirmedAt) {
		r.confirmedAt = batch.ConfirmedAt
	}
	r.appendHistory(changed, batch.Snapshot)
	return changed
}

// removeMissing deletes the records that a snapshot does not hold.
func (r *replica) removeMissing(batch Batch) []Record {
	present := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = true
	}
	var removed []Record
	for key, record := range r.records {
		if !present[key] && record.Revision <= batch.Revision {
			removal := Record{Key: key, Revision: batch.Revision, Deleted: true}
			r.put(removal)
			removed = append(removed, removal)
		}
	}
	return removed
}

// put applies one record and reports whether it changed anything.
func (r *replica) put(record Record) bool {
	known, ok := r.records[record.Key]
	if ok && known.Revision >= record.Revision || r.tombstones[record.Key] >= record.Revision {
		return false
	}
	if !record.Deleted {
		delete(r.tombstones, record.Key)
		r.records[record.Key] = record
		return true
	}
	if len(r.tombstones) >= tombstoneLimit {
		clear(r.tombstones)
	}
	r.tombstones[record.Key] = record.Revision
	delete(r.records, record.Key)
	return ok
}

// appendHistory keeps changes for followers. The order of the changes in a snapshot is unknown, so after one the
// history restarts empty.
func (r *replica) appendHistory(changed []Record, snapshot bool) {
	if snapshot {
		r.history, r.historyBase = nil, r.revision
		return
	}
	r.history = append(r.history, changed...)
	if excess := len(r.history) - historyLimit; excess > 0 {
		r.historyBase = r.history[excess-1].Revision
		r.history = slices.Clone(r.history[excess:])
	}
}

// changesSince returns the changes after a revision, or a snapshot if the history does not reach back so far.
func (r *replica) changesSince(revision uint64) Batch {
	batch := Batch{
		Era: r.era, Revision: r.revision, ConfirmedAt: r.confirmedAt,
		StoreOutageAt: r.storeOutageAt, StoreFailedAt: r.storeFailedAt,
	}
	if revision >= r.historyBase && revision > 0 {
		for _, record := range r.history {
			if record.Revision > revision {
				batch.Records = append(batch.Records, record)
			}
		}
		return batch
	}
	batch.Snapshot = true
	for _, record := range r.records {
		batch.Records = append(batch.Records, record)
	}
	return batch
}
