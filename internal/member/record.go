package member

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// record is one row of the membership table.
type record struct {
	instance pond.Instance
	version  uint64
	// suspicionDeadline is when a suspect or unresponsive leaving member becomes gone; zero for none.
	suspicionDeadline time.Time
	// removeAt is when the record of a gone member is removed.
	removeAt time.Time
	// nextConflictProbe is the earliest time at which conflicting reports may cause another probe.
	nextConflictProbe time.Time
	// disputed is true while another member reports this version as gone. Datagrams to the member say so, so that it
	// refutes.
	disputed bool
	// manifestConfirmed is the flag from the member's last datagram. A member with a confirmed manifest has received
	// all earlier notices.
	manifestConfirmed bool
	// release is what the incarnation has stated in its datagrams.
	release Release
	// previousIncarnation is the incarnation that this one replaced; late reports about it are ignored.
	previousIncarnation pond.Incarnation
}

// Release is the release of an instance, as it states it.
type Release struct {
	// Number is that of package peerpb, and the oldest one if the instance has changed it without a restart.
	Number uint32
	// Heard is false until the instance has sent something itself.
	Heard bool
	// Unsteady is true if the instance has changed the number without a restart.
	Unsteady bool
}

// state records the number in a datagram.
func (r *Release) state(number uint32) {
	switch {
	case r.Unsteady:
	case r.Heard && r.Number != number:
		r.Number, r.Unsteady = peerpb.OldestRelease, true
	default:
		r.Number, r.Heard = number, true
	}
}

func (r *record) id() pond.InstanceID           { return r.instance.ID() }
func (r *record) state() pond.InstanceState     { return r.instance.State() }
func (r *record) incarnation() pond.Incarnation { return r.instance.Ref().Incarnation }
func (r *record) address() string               { return r.instance.PeerAddress() }

func (r *record) setState(state pond.InstanceState) {
	r.instance = r.instance.WithState(state)
}

func (r *record) removable(now time.Time) bool {
	return r.state() == pond.InstanceGone && !now.Before(r.removeAt)
}

// encodeFull encodes the record with its addresses, for receivers that may not know the member.
func (r *record) encodeFull() *peerpb.Member {
	e := r.encodeCompact()
	e.HttpAddress = r.instance.HTTPAddress()
	e.PeerAddress = r.instance.PeerAddress()
	e.DataCentre = r.instance.DataCentre()
	e.Region = r.instance.Region()
	e.Capacity = r.instance.Capacity()
	return e
}

// encodeCompact encodes the identity and the fields that change during an incarnation. The result is about a quarter of
// the full size.
func (r *record) encodeCompact() *peerpb.Member {
	return &peerpb.Member{
		Id:          string(r.id()),
		Incarnation: uint64(r.incarnation()),
		Version:     r.version,
		State:       uint32(r.state()),
		Starting:    r.instance.Starting(),
	}
}

func decodeInstance(e *peerpb.Member) pond.Instance {
	return pond.NewInstance(refOf(e), pond.InstanceState(e.GetState()), e.GetHttpAddress(), e.GetPeerAddress(),
		e.GetDataCentre(), e.GetRegion()).WithCapacity(e.GetCapacity()).WithStarting(e.GetStarting())
}

func refOf(e *peerpb.Member) pond.InstanceRef {
	return pond.InstanceRef{ID: pond.InstanceID(e.GetId()), Incarnation: pond.Incarnation(e.GetIncarnation())}
}

func validMember(e *peerpb.Member) bool {
	state := pond.InstanceState(e.GetState())
	return e.GetId() != "" && state != pond.InstanceUnknown && state.IsAInstanceState()
}

// precedence orders the states of one record version: a state replaces those of lower precedence.
func precedence(state pond.InstanceState) int {
	switch state {
	case pond.InstanceLive:
		return 1
	case pond.InstanceLeaving:
		return 2
	case pond.InstanceSuspect:
		return 3
	case pond.InstanceGone:
		return 4
	default:
		return 0
	}
}
