package once

import "github.com/dragonflypond/dragonflypond/pkg/pond"

// route tells where a keyed call goes. Exactly one of its fields is set.
type route struct {
	local   bool
	address string
	refusal *pond.Refusal
}

// routeOf applies the rule that only the incarnation named in the key runs the call. The view of the membership decides
// only whether that incarnation can be reached; an instance that cannot reach it knows nothing about other copies.
func routeOf(key runKey, self pond.InstanceRef, forwarded bool, directory pond.Directory) route {
	if key.ref == self {
		return route{local: true}
	}
	if forwarded {
		return route{refusal: refuseUnknown(pond.ReasonExecutorGone, "the key names another incarnation")}
	}
	for _, instance := range directory.Instances() {
		if instance.Ref() == key.ref {
			return route{address: instance.PeerAddress()}
		}
	}
	return route{refusal: refuseUnknown(pond.ReasonExecutorGone, "the instance named in the key is not known")}
}
