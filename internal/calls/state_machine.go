package calls

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// phase is a stage in the lifecycle of an executor.
type phase int

const (
	phaseServing phase = iota
	// phaseDraining refuses new calls; recorded calls continue.
	phaseDraining
	// phaseClosed also refuses recorded calls that have not been sent, because the process is about to exit.
	phaseClosed
)

// stateMachine decides on the at-most-once calls of one incarnation. Its methods do not lock, block or start
// goroutines.
type stateMachine struct {
	keys           *keyIssuer
	table          *recordTable
	limits         *limits
	phase          phase
	maxAnswerBytes int64
}

// smallAnswerBytes is the size of an answer that is kept in any case.
const smallAnswerBytes = 4 << 10

// snapshot is the state of the environment at the time of a decision.
type snapshot struct {
	manifest  *spec.Manifest
	confirmed bool
	now       time.Time
}

// decision is the result of admit. If mustSend is true, the caller must send the call and then call finish. Otherwise
// it waits for the record, or returns the refusal if there is no record.
type decision struct {
	record   *record
	mustSend bool
	refusal  *pond.Refusal
}

// admit decides on a call with an authenticated key. It records a new call before anything is sent.
func (m *stateMachine) admit(call *pond.Call, key runKey, snap snapshot) decision {
	m.table.evictExpired(snap.now)
	expiry := m.keys.started.Add(key.expiry)
	hash := requestHash(call)
	if r, ok := m.table.records[key.text]; ok {
		return attachToRecord(r, hash)
	}
	if !snap.now.Before(expiry) {
		return decision{refusal: refuseRunUnknown(pond.ReasonKeyExpired, "the run key has expired")}
	}
	if refusal := m.checkNewCall(call, snap); refusal != nil {
		return decision{refusal: m.finalRefusal(key.text, expiry, refusal, snap)}
	}
	return decision{record: m.table.addRecord(key.text, call.Account, hash, expiry), mustSend: true}
}

func attachToRecord(r *record, hash [sha256.Size]byte) decision {
	if r.tombstone {
		return decision{refusal: r.result.refusal}
	}
	if r.hash != hash {
		// The key may have run with the other request, so "run: no" would be ambiguous.
		return decision{refusal: refuseRunUnknown(pond.ReasonKeyReused, "the run key was used for another request")}
	}
	return decision{record: r}
}

// checkNewCall returns a refusal if a new call cannot be admitted, or nil.
func (m *stateMachine) checkNewCall(call *pond.Call, snap snapshot) *pond.Refusal {
	if m.phase != phaseServing {
		return refuseWithRetry(pond.ReasonLeaving, snap.now, "the instance that must run the call is leaving")
	}
	if snap.manifest == nil || !snap.confirmed {
		return refuseWithRetry(pond.ReasonNotReady, snap.now, "the manifest is not confirmed")
	}
	service, ok := snap.manifest.Service(call.Service)
	if !ok {
		return refuseNotRun(pond.ReasonNotFound, "no such service")
	}
	if _, ok := service.Repeat(call.Method, call.Path); !ok {
		return refuseNotRun(pond.ReasonNotFound, "the service declares no such route")
	}
	if m.table.callCount() >= snap.manifest.Policy().MaxServiceRecords() || m.table.answerBytes >= m.maxAnswerBytes {
		return refuseWithRetry(pond.ReasonTableFull, snap.now, "the table of records is full")
	}
	return m.limits.check(call.Account, m.table.openByAccount[call.Account], snap)
}

// finalRefusal stores a tombstone, so that later copies of the call are refused as well. If there is no room for the
// tombstone, the returned refusal has an unknown run state.
func (m *stateMachine) finalRefusal(key string, expiry time.Time, refusal *pond.Refusal, snap snapshot) *pond.Refusal {
	if m.table.tombstones >= maxTombstones(snap.manifest) {
		return pond.NewRefusal(refusal.Reason(), pond.RunUnknown, refusal.RetryAt(), refusal.Detail())
	}
	m.table.addTombstone(key, expiry, refusal)
	return refusal
}

// maxTombstones returns the same limit as for records, or a small fixed one if there is no manifest.
func maxTombstones(m *spec.Manifest) int {
	const maxWithoutManifest = 1000
	if m == nil {
		return maxWithoutManifest
	}
	return m.Policy().MaxServiceRecords()
}

// checkSend decides on a recorded call directly before it is sent to a replica. A nil result allows the send.
func (m *stateMachine) checkSend(r *record, deadline time.Time, snap snapshot) *pond.Refusal {
	switch {
	case m.phase == phaseClosed:
		return refuseWithRetry(pond.ReasonLeaving, snap.now, "the instance that must run the call is leaving")
	case snap.manifest == nil || !snap.confirmed:
		return refuseWithRetry(pond.ReasonNotReady, snap.now, "the manifest is not confirmed")
	case !snap.now.Before(r.expiry):
		return refuseNotRun(pond.ReasonKeyExpired, "the run key expired before the call was sent")
	case !snap.now.Before(deadline):
		return refuseNotRun(pond.ReasonDeadline, "the deadline passed before the call was sent")
	}
	return nil
}

// finish stores the result of a call. Repeats get the same result. Calls that were admitted while there was room may end with large answers
// together; beyond as much again, only small ones are kept.
func (m *stateMachine) finish(r *record, res result) {
	if bytes := res.bytes(); bytes > smallAnswerBytes && m.table.answerBytes+bytes > 2*m.maxAnswerBytes {
		res = result{refusal: pond.NewRefusal(pond.ReasonTooLarge, pond.RunYes, time.Time{}, "the call has run, but there is no room to keep its answer")}
	}
	m.table.finish(r, res)
}

func refuseNotRun(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, time.Time{}, detail)
}

// refuseWithRetry advises the caller to retry with a new run key, which another instance may issue at once.
func refuseWithRetry(reason pond.Reason, now time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, now.Add(newKeyRetryDelay), detail)
}

func refuseRunUnknown(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunUnknown, time.Time{}, detail)
}

// requestHash covers everything that determines the effect of a call. Length prefixes make the encoding unambiguous.
func requestHash(call *pond.Call) [sha256.Size]byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{call.Service, call.Method, call.Path} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(call.Body)
	return [sha256.Size]byte(h.Sum(nil))
}
