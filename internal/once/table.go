package once

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// result is the end of a call: an answer, or a refusal if that is not nil.
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

// record is the memory of one run key. A tombstone is a record that was born finished with a refusal.
type record struct {
	key     string
	account string
	hash    [sha256.Size]byte
	expiry  time.Time
	dropAt  time.Time
	// done is closed when result is set.
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

// table keeps the records of one incarnation. Its methods do not lock.
type table struct {
	records     map[string]*record
	tombstones  int
	running     int
	openOf      map[string]int
	answerBytes int64
	drops       dropQueue
}

func newTable() *table {
	return &table{records: make(map[string]*record), openOf: make(map[string]int)}
}

// sweep drops finished records whose retention has ended. Running records are not in the queue.
func (t *table) sweep(now time.Time) {
	for len(t.drops) > 0 && !t.drops[0].dropAt.After(now) {
		r := heap.Pop(&t.drops).(*record)
		delete(t.records, r.key)
		t.answerBytes -= r.result.bytes()
		if r.tombstone {
			t.tombstones--
		}
	}
}

// calls returns the number of records that are not tombstones.
func (t *table) calls() int { return len(t.records) - t.tombstones }

func (t *table) start(key, account string, hash [sha256.Size]byte, expiry time.Time) *record {
	r := &record{
		key:     key,
		account: account,
		hash:    hash,
		expiry:  expiry,
		dropAt:  expiry.Add(answerRetention),
		done:    make(chan struct{}),
	}
	t.records[key] = r
	t.running++
	t.openOf[account]++
	return r
}

func (t *table) finish(r *record, end result) {
	r.result = end
	t.running--
	t.openOf[r.account]--
	if t.openOf[r.account] == 0 {
		delete(t.openOf, r.account)
	}
	t.answerBytes += end.bytes()
	heap.Push(&t.drops, r)
	close(r.done)
}

// addTombstone records a refused key. After its expiry a key is refused anyway, so a tombstone is dropped then.
func (t *table) addTombstone(key string, expiry time.Time, refusal *pond.Refusal) {
	r := &record{key: key, expiry: expiry, dropAt: expiry, tombstone: true}
	r.result = result{refusal: refusal}
	t.records[key] = r
	t.tombstones++
	heap.Push(&t.drops, r)
}

// dropQueue is a heap of finished records, the earliest dropAt first.
type dropQueue []*record

func (q dropQueue) Len() int           { return len(q) }
func (q dropQueue) Less(i, j int) bool { return q[i].dropAt.Before(q[j].dropAt) }
func (q dropQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dropQueue) Push(r any) { *q = append(*q, r.(*record)) }

// Pop implements heap.Interface.
func (q *dropQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
