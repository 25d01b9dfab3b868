package feed

import (
	"slices"
	"time"
)

const (
	// historyLimit bounds the changes that are kept for followers. A deployment with 50 backend servers writes a few
	// changes a second, so that this covers about a minute.
	historyLimit = 512

	// graveLimit bounds the deleted keys that are remembered; see view.graves.
	graveLimit = 1024
)

// Record is one published value or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch is an answer of a source.
type Batch struct {
	// Records are the changes since the revision that was asked for, or everything if Snapshot is true.
	Records  []Record
	Revision uint64
	Snapshot bool
	// ConfirmedAt is a time at which the source's state was current.
	ConfirmedAt time.Time
	// DisturbedAt is the last time at which the store did not answer as it should; zero for never.
	DisturbedAt time.Time
}

// view is a copy of the published records. It has no lock and no clock.
type view struct {
	records  map[string]Record
	revision uint64
	// history holds the latest changes in the order of application; base is the revision before the first one.
	history []Record
	base    uint64
	// graves holds the revisions of deleted keys. The pages of a snapshot are read one after the other, so a page may
	// hold a key whose deletion is known already.
	graves      map[string]uint64
	confirmedAt time.Time
	disturbedAt time.Time
}

func newView() *view {
	return &view{records: make(map[string]Record), graves: make(map[string]uint64)}
}

// apply adds a batch and returns what it changed. A batch that is older than the view changes and confirms nothing.
func (v *view) apply(batch Batch) []Record {
	if batch.DisturbedAt.After(v.disturbedAt) {
		v.disturbedAt = batch.DisturbedAt
	}
	if batch.Revision < v.revision {
		return nil
	}
	var changed []Record
	if batch.Snapshot {
		changed = v.removeMissing(batch)
	}
	for _, record := range batch.Records {
		if v.put(record) {
			changed = append(changed, record)
		}
	}
	v.revision = batch.Revision
	if batch.ConfirmedAt.After(v.confirmedAt) {
		v.confirmedAt = batch.ConfirmedAt
	}
	v.remember(changed, batch.Snapshot)
	return changed
}

// removeMissing deletes the records that a snapshot does not hold.
func (v *view) removeMissing(batch Batch) []Record {
	present := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = true
	}
	var removed []Record
	for key, record := range v.records {
		if !present[key] && record.Revision <= batch.Revision {
			gone := Record{Key: key, Revision: batch.Revision, Deleted: true}
			v.put(gone)
			removed = append(removed, gone)
		}
	}
	return removed
}

// put applies one record and reports whether it changed anything.
func (v *view) put(record Record) bool {
	known, ok := v.records[record.Key]
	if ok && known.Revision >= record.Revision || v.graves[record.Key] >= record.Revision {
		return false
	}
	if !record.Deleted {
		delete(v.graves, record.Key)
		v.records[record.Key] = record
		return true
	}
	if len(v.graves) >= graveLimit {
		clear(v.graves)
	}
	v.graves[record.Key] = record.Revision
	delete(v.records, record.Key)
	return ok
}

// remember keeps changes for followers. After a snapshot, the order of its records is unknown, so the history starts anew.
func (v *view) remember(changed []Record, snapshot bool) {
	if snapshot {
		v.history, v.base = nil, v.revision
		return
	}
	v.history = append(v.history, changed...)
	if excess := len(v.history) - historyLimit; excess > 0 {
		v.base = v.history[excess-1].Revision
		v.history = slices.Clone(v.history[excess:])
	}
}

// since returns the changes after a revision, or a snapshot if the history does not reach back so far.
func (v *view) since(revision uint64) Batch {
	batch := Batch{Revision: v.revision, ConfirmedAt: v.confirmedAt, DisturbedAt: v.disturbedAt}
	if revision >= v.base && revision > 0 {
		for _, record := range v.history {
			if record.Revision > revision {
				batch.Records = append(batch.Records, record)
			}
		}
		return batch
	}
	batch.Snapshot = true
	for _, record := range v.records {
		batch.Records = append(batch.Records, record)
	}
	return batch
}
