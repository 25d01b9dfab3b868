package calls

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// result is the result of a call: a refusal, or an answer if the refusal is nil.
type result struct {
	answer  pond.Answer
	refusal *pond.Refusal
}

func (r result) bytes() int64 {
	total := int64(len(r.answer.Body))
	for name, values := range r.answer.Header {
		total += int64(len(name))
		for _, value := range values {
			total += int64(len(value))
		}
	}
	return total
}

// record is the state of one run key. A tombstone is the record of a refused key; its result is set from the start.
type record struct {
	key     string
	account string
	hash    [sha256.Size]byte
	expiry  time.Time
	evictAt time.Time
	// done is closed when result is set; it is nil in a tombstone.
	done      chan struct{}
	result    result
	tombstone bool
}

// ended reports whether the result is set.
func (r *record) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// recordTable stores the records of one incarnation. Its methods do not lock.
type recordTable struct {
	records       map[string]*record
	tombstones    int
	running       int
	openByAccount map[string]int
	answerBytes   int64
	evictions     evictionQueue
}

func newRecordTable() *recordTable {
	return &recordTable{records: make(map[string]*record), openByAccount: make(map[string]int)}
}

// evictExpired removes finished records whose retention has ended. Running records are not in the queue.
func (t *recordTable) evictExpired(now time.Time) {
	for len(t.evictions) > 0 && !t.evictions[0].evictAt.After(now) {
		r := heap.Pop(&t.evictions).(*record)
		delete(t.records, r.key)
		t.answerBytes -= r.result.bytes()
		if r.tombstone {
			t.tombstones--
		}
	}
}

// callCount returns the number of records that are not tombstones.
func (t *recordTable) callCount() int { return len(t.records) - t.tombstones }

func (t *recordTable) addRecord(key, account string, hash [sha256.Size]byte, expiry time.Time) *record {
	r := &record{
		key:     key,
		account: account,
		hash:    hash,
		expiry:  expiry,
		evictAt: expiry.Add(answerRetention),
		done:    make(chan struct{}),
	}
	t.records[key] = r
	t.running++
	t.openByAccount[account]++
	return r
}

func (t *recordTable) finish(r *record, res result) {
	r.result = res
	t.running--
	t.openByAccount[r.account]--
	if t.openByAccount[r.account] == 0 {
		delete(t.openByAccount, r.account)
	}
	t.answerBytes += res.bytes()
	heap.Push(&t.evictions, r)
	close(r.done)
}

// addTombstone records a refused key. The tombstone is evicted when the key expires, because expired keys are refused
// anyway.
func (t *recordTable) addTombstone(key string, expiry time.Time, refusal *pond.Refusal) {
	r := &record{key: key, expiry: expiry, evictAt: expiry, tombstone: true}
	r.result = result{refusal: refusal}
	t.records[key] = r
	t.tombstones++
	heap.Push(&t.evictions, r)
}

// evictionQueue is a heap of finished records, the earliest evictAt first.
type evictionQueue []*record

func (q evictionQueue) Len() int           { return len(q) }
func (q evictionQueue) Less(i, j int) bool { return q[i].evictAt.Before(q[j].evictAt) }
func (q evictionQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *evictionQueue) Push(r any) { *q = append(*q, r.(*record)) }

// Pop implements heap.Interface.
func (q *evictionQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
