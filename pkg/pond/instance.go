package pond

import "fmt"

//go:generate go tool enumer -type=InstanceState -trimprefix=Instance -transform=lower -text -output=instancestate_enumer.go

// InstanceID is the configured name of an entry instance. It is unique within a deployment.
type InstanceID string

// Incarnation is a random number that an instance chooses at each start of its process. A larger one is not newer.
type Incarnation uint64

// InstanceRef names one incarnation of an instance.
type InstanceRef struct {
	ID          InstanceID
	Incarnation Incarnation
}

// String returns "ID.INCARNATION" with the incarnation in hexadecimal.
func (r InstanceRef) String() string {
	return fmt.Sprintf("%s.%016x", r.ID, uint64(r.Incarnation))
}

// InstanceState is the state of an entry instance as this process sees it.
type InstanceState int

// Instance states.
const (
	InstanceUnknown InstanceState = iota
	InstanceLive
	InstanceSuspect
	InstanceLeaving
	InstanceGone
)

// Instance describes one entry instance, as the membership protocol reports it.
type Instance struct {
	ref         InstanceRef
	state       InstanceState
	httpAddress string
	peerAddress string
	dataCentre  string
	region      string
	capacity    uint32
	starting    bool
}

// NewInstance returns an instance description. Addresses have the form IP:PORT; the peer address serves drpc over TCP
// and membership datagrams over UDP on the same port number.
func NewInstance(ref InstanceRef, state InstanceState, httpAddress, peerAddress, dataCentre, region string) Instance {
	return Instance{
		ref:         ref,
		state:       state,
		httpAddress: httpAddress,
		peerAddress: peerAddress,
		dataCentre:  dataCentre,
		region:      region,
	}
}

// WithCapacity returns the description with the share of work that the instance can handle, relative to other instances
// of the deployment; 0 means that it is not known.
func (i Instance) WithCapacity(capacity uint32) Instance {
	i.capacity = capacity
	return i
}

// WithState returns the description with another state.
func (i Instance) WithState(state InstanceState) Instance {
	i.state = state
	return i
}

// WithStarting returns the description of an instance that has said or not said that it is starting.
func (i Instance) WithStarting(starting bool) Instance {
	i.starting = starting
	return i
}

// Capacity returns the share of work that the instance can handle, relative to others; 0 if it is not known.
func (i Instance) Capacity() uint32 { return i.capacity }

// Starting reports whether the instance has said that it has not been ready for callers since its start. Instances of releases that do not say it
// never are.
func (i Instance) Starting() bool { return i.starting }

// Ref returns the name and incarnation.
func (i Instance) Ref() InstanceRef { return i.ref }

// ID returns the configured name.
func (i Instance) ID() InstanceID { return i.ref.ID }

// State returns the state as this process sees it.
func (i Instance) State() InstanceState { return i.state }

// HTTPAddress returns the IP:PORT that callers connect to.
func (i Instance) HTTPAddress() string { return i.httpAddress }

// PeerAddress returns the IP:PORT that other instances connect to.
func (i Instance) PeerAddress() string { return i.peerAddress }

// DataCentre returns the data centre name.
func (i Instance) DataCentre() string { return i.dataCentre }

// Region returns the region name.
func (i Instance) Region() string { return i.region }

// Directory provides the current view of the entry instances.
type Directory interface {
	// Self returns this instance.
	Self() Instance
	// Instances returns every known instance that is not gone, including this one.
	Instances() []Instance
}

// BackendView reports which backend servers may receive new work.
type BackendView interface {
	// Accepting reports false for a backend server that is leaving, reclaimed or gone.
	Accepting(backend string) bool
}

// BackendViewFunc adapts a function to BackendView.
type BackendViewFunc func(backend string) bool

// Accepting calls f.
func (f BackendViewFunc) Accepting(backend string) bool { return f(backend) }
