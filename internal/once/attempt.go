package once

import (
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// attempts walks the replicas for one call that may not be repeated. The next replica is tried only after proof that
// the previous one did not get the call.
type attempts struct {
	replicas []spec.Backend
	next     int
	outcome  pond.Outcome
}

func newAttempts(replicas []spec.Backend) *attempts {
	return &attempts{replicas: replicas, outcome: pond.OutcomeNotSent}
}

// target returns the replica to try, or false if there is none or none may be tried.
func (a *attempts) target() (spec.Backend, bool) {
	if a.outcome != pond.OutcomeNotSent || a.next >= len(a.replicas) {
		return spec.Backend{}, false
	}
	replica := a.replicas[a.next]
	a.next++
	// A caller that forgets to report the outcome cannot get another target.
	a.outcome = pond.OutcomeMaybeSent
	return replica, true
}

// ended reports the outcome for the last target.
func (a *attempts) ended(outcome pond.Outcome) { a.outcome = outcome }

// refusal returns what the caller is told if there is no answer.
func (a *attempts) refusal() *pond.Refusal {
	if a.outcome == pond.OutcomeNotSent {
		return refuseNo(pond.ReasonNoBackend, "no replica of the service accepted a connection")
	}
	return refuseUnknown(pond.ReasonBackendFailed, "the replica failed after the call may have reached it")
}
