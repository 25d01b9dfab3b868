package member

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// record is one row of the member table.
type record struct {
	instance pond.Instance
	version  uint64
	// deadline is the time at which a suspect or unanswering leaving member becomes gone; zero for none.
	deadline time.Time
	// forget is the time at which a gone record is dropped.
	forget time.Time
	// nextHint is the earliest time of the next probe that a contradicting report may cause.
	nextHint time.Time
	// disputed is true while another member reports this version as gone. The member is told, so that it refutes.
	disputed bool
	// ready is true if the member's last datagram said that its manifest is confirmed. It then knows earlier notices.
	ready bool
	// retired is the incarnation that this one replaced; late reports about it are ignored.
	retired pond.Incarnation
}

func (r *record) id() pond.InstanceID           { return r.instance.ID() }
func (r *record) state() pond.InstanceState     { return r.instance.State() }
func (r *record) incarnation() pond.Incarnation { return r.instance.Ref().Incarnation }
func (r *record) address() string               { return r.instance.PeerAddress() }

func (r *record) setState(state pond.InstanceState) {
	r.instance = r.instance.WithState(state)
}

func (r *record) forgotten(now time.Time) bool {
	return r.state() == pond.InstanceGone && !now.Before(r.forget)
}

// full encodes the record with its addresses, for receivers that may not know the member.
func (r *record) full() *peerpb.Member {
	e := r.compact()
	e.HttpAddress = r.instance.HTTPAddress()
	e.PeerAddress = r.instance.PeerAddress()
	e.DataCentre = r.instance.DataCentre()
	e.Region = r.instance.Region()
	e.Capacity = r.instance.Capacity()
	return e
}

// compact encodes what changes in the life of an incarnation. It is about a quarter of the full size.
func (r *record) compact() *peerpb.Member {
	return &peerpb.Member{
		Id:          string(r.id()),
		Incarnation: uint64(r.incarnation()),
		Version:     r.version,
		State:       uint32(r.state()),
	}
}

func decodeInstance(e *peerpb.Member) pond.Instance {
	return pond.NewInstance(refOf(e), pond.InstanceState(e.GetState()), e.GetHttpAddress(), e.GetPeerAddress(),
		e.GetDataCentre(), e.GetRegion()).WithCapacity(e.GetCapacity())
}

func refOf(e *peerpb.Member) pond.InstanceRef {
	return pond.InstanceRef{ID: pond.InstanceID(e.GetId()), Incarnation: pond.Incarnation(e.GetIncarnation())}
}

func validState(e *peerpb.Member) bool {
	state := pond.InstanceState(e.GetState())
	return e.GetId() != "" && state != pond.InstanceUnknown && state.IsAInstanceState()
}

// precedence orders the states of one version of a record; a greater one replaces a smaller one.
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
