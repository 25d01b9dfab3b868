package feed

import (
	"bytes"
	"slices"
	"time"
)

const (
	// historyLimit bounds the changes that are kept for followers. A deployment with 50 backend servers publishes a few
	// changes per second, one with 3,000 some hundred. A follower that lacks more gets a snapshot, which is longer on its way than 512 of those
	// changes take, so that it would lack too many again.
	historyLimit = 8192

	// historyBytes bounds the memory of these changes. A configuration has up to 1 MB, and an instance may have 112 MB for everything.
	historyBytes = 2 << 20

	// recordOverhead is the memory of a change beside its key and value.
	recordOverhead = 96

	// largeValue is the size from which a value in the history is dropped as soon as its key has a newer one. Followers that
	// lack both need only the newer one.
	largeValue = 4 << 10

	// tombstoneLimit bounds the tombstones; see replica.tombstones.
	tombstoneLimit = 1024
)

// Record is one published value or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Restored is true for a change that may be due to the store's return from an older copy only: a value that has been replaced or
	// removed since the copy was made, or a removal of one that was written since.
	Restored bool
}

// size returns the memory that a record takes, in bytes.
func (r Record) size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Batch is a response of a source.
type Batch struct {
	// Records are the changes after the requested revision, or all records if Snapshot is true.
	Records []Record
	// Position is that of the source. Its era is the number of times that the store has come back from an older copy, as it states
	// in its responses.
	Position
	Snapshot bool
	// Number is the greatest number of the source's numbered records; 0 for a response of the store.
	Number uint64
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
	// position is that of the newest batch. All records are of its era.
	position Position
	// numbers holds the numbers of numbered records, as number returns them; see Options.Number.
	numbers map[string]uint64
	number  func(record Record) uint64
	// history holds the latest changes in the order in which they were applied; historyBase is the revision before the
	// first one.
	history     []Record
	historyBase uint64
	historySize int // the bytes of the changes in history
	// largeKeys holds the keys of which the history may hold a large value.
	largeKeys map[string]bool
	// tombstones holds the revisions of deleted keys. The pages of a snapshot are read one after the other, so a page may
	// hold a key whose deletion is already known.
	tombstones map[string]uint64
	// completeAt is the last time at which the records were known to be complete before the newest changes.
	completeAt    time.Time
	confirmedAt   time.Time
	storeOutageAt time.Time
	storeFailedAt time.Time
}

func newReplica(number func(record Record) uint64) *replica {
	return &replica{
		records: make(map[string]Record), tombstones: make(map[string]uint64), numbers: make(map[string]uint64), number: number,
		largeKeys: make(map[string]bool),
	}
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
	if batch.Compare(r.position) < 0 || r.beginsEra(batch) && !batch.Snapshot {
		return nil
	}
	var changed []Record
	switch {
	case r.beginsEra(batch):
		changed = r.beginEra(batch)
	case batch.Snapshot:
		changed = append(r.removeMissing(batch), r.putAll(batch.Records)...)
	default:
		changed = r.putAll(batch.Records)
	}
	r.position = batch.Position
	if len(changed) > 0 {
		r.completeAt = r.confirmedAt
	}
	if batch.ConfirmedAt.After(r.confirmedAt) {
		r.confirmedAt = batch.ConfirmedAt
	}
	r.appendHistory(changed, batch.Snapshot)
	return changed
}

// beginsEra reports whether the store has come back from an older copy since the newest batch.
func (r *replica) beginsEra(batch Batch) bool {
	return r.position.Revision > 0 && batch.Era > r.position.Era
}

// beginEra replaces the records by those of an older copy. Revisions of the two eras cannot be compared, but numbers can: a
// numbered record stays until one with a greater number is written. The copy had all records up to the revision of each that it
// still holds unchanged, so what is missing of those has been removed since.
func (r *replica) beginEra(batch Batch) []Record {
	former := r.records
	r.records, r.tombstones = make(map[string]Record, len(batch.Records)), make(map[string]uint64)
	for key := range r.numbers {
		r.records[key] = Record{Key: key, Value: former[key].Value}
	}
	var changed []Record
	copiedUntil := uint64(0)
	for _, record := range batch.Records {
		if former[record.Key].Revision == record.Revision && bytes.Equal(former[record.Key].Value, record.Value) {
			copiedUntil = max(copiedUntil, record.Revision)
		}
		if r.put(record) && (former[record.Key].Key == "" || !bytes.Equal(former[record.Key].Value, record.Value)) {
			record.Restored = true
			changed = append(changed, record)
		}
	}
	for key, record := range former {
		if _, ok := r.records[key]; !ok {
			removal := Record{Key: key, Revision: batch.Revision, Deleted: true, Restored: record.Revision > copiedUntil}
			changed = append(changed, removal)
		}
	}
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
		removal := Record{Key: key, Revision: batch.Revision, Deleted: true}
		if !present[key] && record.Revision <= batch.Revision && r.put(removal) {
			removed = append(removed, removal)
		}
	}
	return removed
}

// putAll applies records and returns those that changed anything.
func (r *replica) putAll(records []Record) []Record {
	var changed []Record
	for _, record := range records {
		if r.put(record) {
			changed = append(changed, record)
		}
	}
	return changed
}

// put applies one record and reports whether it changed anything. Numbers go before revisions.
func (r *replica) put(record Record) bool {
	known, ok := r.records[record.Key]
	number := r.number(record)
	newer := number > r.numbers[record.Key]
	if !newer && (ok && known.Revision >= record.Revision || r.tombstones[record.Key] >= record.Revision) {
		return false
	}
	if number < r.numbers[record.Key] {
		known.Revision = record.Revision
		r.records[record.Key] = known
		return number == 0 && !record.Deleted // It cannot be read, which its user reports.
	}
	if !record.Deleted {
		delete(r.tombstones, record.Key)
		if newer {
			r.numbers[record.Key] = number
		}
		record.Revision = max(record.Revision, known.Revision)
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

// greatestNumber returns the greatest number of the numbered records.
func (r *replica) greatestNumber() uint64 {
	greatest := uint64(0)
	for _, number := range r.numbers {
		greatest = max(greatest, number)
	}
	return greatest
}

// numberedAbove returns the numbered records with a number greater than the given one.
func (r *replica) numberedAbove(number uint64) []Record {
	var records []Record
	for key, own := range r.numbers {
		if own > number {
			records = append(records, r.records[key])
		}
	}
	return records
}

// appendHistory keeps changes for followers, within historyLimit and historyBytes. The order of the changes in a snapshot is unknown, so after
// one the history restarts empty.
func (r *replica) appendHistory(changed []Record, snapshot bool) {
	if snapshot {
		r.history, r.historyBase, r.historySize = nil, r.position.Revision, 0
		clear(r.largeKeys)
		return
	}
	for _, record := range changed {
		r.dropReplaced(record.Key)
		if len(record.Value) >= largeValue {
			r.largeKeys[record.Key] = true
		}
		r.history = append(r.history, record)
		r.historySize += record.size()
	}
	excess, size := 0, r.historySize
	for excess < len(r.history) && (len(r.history)-excess > historyLimit || size > historyBytes) {
		size -= r.history[excess].size()
		excess++
	}
	if excess > 0 {
		r.historyBase, r.historySize = r.history[excess-1].Revision, size
		clear(r.history[:excess]) // The array may stay in use for a while.
		r.history = r.history[excess:]
	}
}

// dropReplaced drops the large values of a key from the history.
func (r *replica) dropReplaced(key string) {
	if !r.largeKeys[key] {
		return
	}
	delete(r.largeKeys, key)
	r.history = slices.DeleteFunc(r.history, func(former Record) bool {
		replaced := former.Key == key && len(former.Value) >= largeValue
		if replaced {
			r.historySize -= former.size()
		}
		return replaced
	})
}

// state returns a batch without records.
func (r *replica) state() Batch {
	return Batch{
		Position: r.position, Number: r.greatestNumber(), ConfirmedAt: r.confirmedAt,
		StoreOutageAt: r.storeOutageAt, StoreFailedAt: r.storeFailedAt,
	}
}

// changesSince returns the changes after a follower's cursor, or a snapshot if the history does not reach back so far.
func (r *replica) changesSince(cursor Cursor) Batch {
	batch := r.state()
	if cursor.Era == r.position.Era && cursor.Revision >= r.historyBase && cursor.Revision > 0 {
		for _, record := range r.history {
			if record.Revision > cursor.Revision {
				batch.Records = append(batch.Records, record)
			}
		}
		batch.Records = append(batch.Records, r.numberedAbove(cursor.Number)...)
		return batch
	}
	batch.Snapshot = true
	for _, record := range r.records {
		batch.Records = append(batch.Records, record)
	}
	return batch
}
