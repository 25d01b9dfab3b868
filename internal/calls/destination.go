package calls

import "github.com/dragonflypond/dragonflypond/pkg/pond"

// destination is where a keyed call is executed. Exactly one of local, address and refusal is set.
type destination struct {
	local   bool
	address string
	region  string // of the instance with the address
	refusal *pond.Refusal
}

// destinationOf returns the destination of a call, which only the incarnation named in its key may run. The membership
// view determines only whether that incarnation can be reached; an instance that cannot reach it must refuse with an
// unknown run state, because other copies of the call may have run.
func destinationOf(key runKey, self pond.InstanceRef, forwarded bool, directory pond.Directory) destination {
	if key.ref == self {
		return destination{local: true}
	}
	if forwarded {
		return destination{refusal: refuseRunUnknown(pond.ReasonExecutorGone, "the key names another incarnation")}
	}
	for _, instance := range directory.Instances() {
		if instance.Ref() == key.ref {
			return destination{address: instance.PeerAddress(), region: instance.Region()}
		}
	}
	return destination{refusal: refuseRunUnknown(pond.ReasonExecutorGone, "the instance named in the key is not known")}
}
