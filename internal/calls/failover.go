package calls

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// failover selects the replicas to try for one at-most-once call. The next replica is tried only if the previous one
// certainly did not receive the call.
type failover struct {
	replicas []spec.Backend
	next     int
	outcome  pond.Outcome
	// regions are those in which the call may run.
	regions pond.Regions
}

func newFailover(replicas []spec.Backend, regions pond.Regions) *failover {
	return &failover{replicas: replicas, outcome: pond.OutcomeNotSent, regions: regions}
}

// nextReplica returns the replica to try, or false if none is left or another attempt could run the call twice.
func (f *failover) nextReplica() (spec.Backend, bool) {
	if f.outcome != pond.OutcomeNotSent || f.next >= len(f.replicas) {
		return spec.Backend{}, false
	}
	replica := f.replicas[f.next]
	f.next++
	// Until the outcome is reported, no further replica is returned.
	f.outcome = pond.OutcomeMaybeSent
	return replica, true
}

// reportOutcome records the outcome of the attempt on the replica that nextReplica returned last.
func (f *failover) reportOutcome(outcome pond.Outcome) { f.outcome = outcome }

// refusal returns the refusal for a call that got no answer.
func (f *failover) refusal(now time.Time) *pond.Refusal {
	if f.outcome == pond.OutcomeNotSent && f.regions.Restricted() {
		return refuseForRegions(f.regions, now)
	}
	if f.outcome == pond.OutcomeNotSent {
		return refuseNotRun(pond.ReasonNoBackend, "no replica of the service accepted a connection")
	}
	return refuseRunUnknown(pond.ReasonBackendFailed, "the replica failed after the call may have reached it")
}
