package member

import (
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

//go:generate go tool enumer -type=BackendState -trimprefix=Backend -transform=lower -text -output=backendstate_enumer.go

// BackendState is what instances tell each other about a backend server.
type BackendState int

// Backend server states. BackendUnknown means that nobody told anything.
const (
	BackendUnknown BackendState = iota
	BackendAccepting
	BackendLeaving
	BackendGone
)

// newer reports whether notice a replaces b for the same backend server. Serials are Lamport counters: an instance that
// contradicts a notice uses a serial greater than the one it saw. Of two concurrent notices the one against new work
// wins.
func newer(a, b *peerpb.BackendNotice) bool {
	if a.GetSerial() != b.GetSerial() {
		return a.GetSerial() > b.GetSerial()
	}
	return a.GetState() > b.GetState()
}

func validNotice(n *peerpb.BackendNotice) bool {
	state := BackendState(n.GetState())
	return n.GetBackend() != "" && state != BackendUnknown && state.IsABackendState()
}
