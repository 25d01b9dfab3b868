package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// phase is the lifecycle of an executor.
type phase int

const (
	phaseServing phase = iota
	// phaseDraining refuses new calls; recorded calls go on.
	phaseDraining
	// phaseClosed also refuses recorded calls that were not sent yet, because the process is about to exit.
	phaseClosed
)

// core holds the rules of one incarnation for calls that may not be repeated. Its methods do not lock, block or start
// goroutines.
type core struct {
	keys           *keyring
	table          *table
	limits         *limits
	phase          phase
	maxAnswerBytes int64
}

// terms are the circumstances under which a call is judged.
type terms struct {
	manifest  *spec.Manifest
	confirmed bool
	now       time.Time
}

// decision is the result of accept. If run is true, the caller must send the call and then call finish. Otherwise it
// waits for the record, or returns the refusal if there is no record.
type decision struct {
	record  *record
	run     bool
	refusal *pond.Refusal
}

// accept judges a call whose key was checked. It records a new call before anything is sent.
func (c *core) accept(call *pond.Call, key runKey, t terms) decision {
	c.table.sweep(t.now)
	expiry := c.keys.started.Add(key.expiry)
	hash := bodyHash(call)
	if r, ok := c.table.records[key.text]; ok {
		return attach(r, hash)
	}
	if !t.now.Before(expiry) {
		return decision{refusal: refuseUnknown(pond.ReasonKeyExpired, "the run key has expired")}
	}
	if refusal := c.objection(call, t); refusal != nil {
		return decision{refusal: c.refuseWithTombstone(key.text, expiry, refusal, t)}
	}
	return decision{record: c.table.start(key.text, call.Account, hash, expiry), run: true}
}

func attach(r *record, hash [sha256.Size]byte) decision {
	if r.tombstone {
		return decision{refusal: r.result.refusal}
	}
	if r.hash != hash {
		// The key may have run with the other content, so "no" could be misread.
		return decision{refusal: refuseUnknown(pond.ReasonKeyReused, "the run key was used for another request")}
	}
	return decision{record: r}
}

// objection returns why a new call is refused, or nil.
func (c *core) objection(call *pond.Call, t terms) *pond.Refusal {
	if c.phase != phaseServing {
		return refuseSoon(pond.ReasonLeaving, t.now, "the instance that must run the call is leaving")
	}
	if t.manifest == nil || !t.confirmed {
		return refuseSoon(pond.ReasonNotReady, t.now, "the manifest is not confirmed")
	}
	service, ok := t.manifest.Service(call.Service)
	if !ok {
		return refuseNo(pond.ReasonNotFound, "no such service")
	}
	if _, ok := service.Repeat(call.Method, call.Path); !ok {
		return refuseNo(pond.ReasonNotFound, "the service declares no such route")
	}
	if c.table.calls() >= t.manifest.Policy().MaxServiceRecords() || c.table.answerBytes >= c.maxAnswerBytes {
		return refuseSoon(pond.ReasonTableFull, t.now, "the table of records is full")
	}
	return c.limits.objection(call.Account, c.table.openOf[call.Account], t)
}

// refuseWithTombstone makes a refusal final with a tombstone. Without room for one, the run state is unknown.
func (c *core) refuseWithTombstone(key string, expiry time.Time, refusal *pond.Refusal, t terms) *pond.Refusal {
	if c.table.tombstones >= maxTombstones(t.manifest) {
		return pond.NewRefusal(refusal.Reason(), pond.RunUnknown, refusal.RetryAt(), refusal.Detail())
	}
	c.table.addTombstone(key, expiry, refusal)
	return refusal
}

// maxTombstones equals the bound of records. Without a manifest a small fixed bound applies.
func maxTombstones(m *spec.Manifest) int {
	const withoutManifest = 1000
	if m == nil {
		return withoutManifest
	}
	return m.Policy().MaxServiceRecords()
}

// clear judges a recorded call directly before it is sent to a replica. A nil result allows the send.
func (c *core) clear(r *record, deadline time.Time, t terms) *pond.Refusal {
	switch {
	case c.phase == phaseClosed:
		return refuseSoon(pond.ReasonLeaving, t.now, "the instance that must run the call is leaving")
	case t.manifest == nil || !t.confirmed:
		return refuseSoon(pond.ReasonNotReady, t.now, "the manifest is not confirmed")
	case !t.now.Before(r.expiry):
		return refuseNo(pond.ReasonKeyExpired, "the run key expired before the call was sent")
	case !t.now.Before(deadline):
		return refuseNo(pond.ReasonDeadline, "the deadline passed before the call was sent")
	}
	return nil
}

// finish records the end of a call. Repeats get the same result.
func (c *core) finish(r *record, end result) { c.table.finish(r, end) }

func refuseNo(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, time.Time{}, detail)
}

// refuseSoon advises a retry with a new run key, which another instance may issue at once.
func refuseSoon(reason pond.Reason, now time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, now.Add(newKeyDelay), detail)
}

func refuseUnknown(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunUnknown, time.Time{}, detail)
}

// bodyHash covers everything that determines the effect of a call, each part with its length.
func bodyHash(call *pond.Call) [sha256.Size]byte {
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
