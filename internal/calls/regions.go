package calls

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// errRegion makes the run try another replica.
var errRegion = errors.New("the call may not run in the region of the replica")

// regions returns the regions in which a call may run, by the manifest in effect.
func (e *Executor) regions(call *pond.Call) pond.Regions {
	manifest := e.options.Source.Current()
	if manifest == nil {
		return pond.Regions{}
	}
	return manifest.AccountRegions(call.Account)
}

// checkReplica returns why a call must not be sent to a replica, or nil. It is asked directly before each send, because the call may have
// waited.
func (e *Executor) checkReplica(call *pond.Call, replica string) error {
	if !e.options.Backends.Accepting(replica) {
		return errNotAccepting
	}
	regions := e.regions(call)
	if !regions.Restricted() {
		return nil
	}
	if backend, ok := e.options.Source.Current().Backend(replica); !ok || !regions.Allows(backend.Region()) {
		return errRegion
	}
	return nil
}

// refuseForRegions refuses a call for which no replica is left in its regions.
func refuseForRegions(regions pond.Regions, now time.Time) *pond.Refusal {
	return refuseWithRetry(pond.ReasonNoBackend, now, "no replica of the service takes calls in the allowed regions: "+regions.String())
}

// refuseExecutor refuses a call whose key names an instance that must not receive its body. That instance may have run another copy.
func refuseExecutor(regions pond.Regions) *pond.Refusal {
	return refuseRunUnknown(pond.ReasonExecutorGone, "the instance named in the key is not in the allowed regions: "+regions.String())
}

// logRegions logs that the regions of a call leave it nowhere to go.
func (e *Executor) logRegions(call *pond.Call, regions pond.Regions, refusal *pond.Refusal) {
	e.logger.WithFields(logrus.Fields{
		logs.Event: "callRefusedForRegions", logs.Service: call.Service, logs.Account: call.Account, logs.Regions: regions.String(),
		"run": refusal.Run().String(),
	}).Info("a call was refused because of the regions in which it may run: " + refusal.Detail())
}
