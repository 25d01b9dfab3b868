package member

import (
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

//go:generate go tool enumer -type=BackendState -trimprefix=Backend -transform=lower -text -output=backendstate_enumer.go

// BackendState is the state of a backend server in notices between instances.
type BackendState int

// Backend server states. BackendUnknown means that there is no notice.
const (
	BackendUnknown BackendState = iota
	BackendAccepting
	BackendLeaving
	BackendGone
)

// supersedes reports whether notice a replaces notice b about the same backend server. Serials are Lamport clocks: an
// instance that contradicts a notice uses a serial greater than the one it saw. Of two concurrent notices the one with
// the greater state wins, which stops new work.
func supersedes(a, b *peerpb.BackendNotice) bool {
	if a.GetSerial() != b.GetSerial() {
		return a.GetSerial() > b.GetSerial()
	}
	return a.GetState() > b.GetState()
}

func validNotice(n *peerpb.BackendNotice) bool {
	state := BackendState(n.GetState())
	return n.GetBackend() != "" && state != BackendUnknown && state.IsABackendState()
}
