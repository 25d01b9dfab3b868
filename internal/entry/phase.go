package entry

import "sync/atomic"

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=lower -text -output=phase_enumer.go

// Phase is a phase of an instance's lifecycle.
type Phase int32

// Phases, in the order in which an instance goes through them.
const (
	PhaseStarting Phase = iota
	PhaseReady
	PhaseLeaving
	PhaseDraining
	PhaseStopped
)

// lifecycle holds the current phase. It never returns to an earlier phase.
type lifecycle struct{ phase atomic.Int32 }

func (l *lifecycle) current() Phase { return Phase(l.phase.Load()) }

// advance enters phase unless the current one is the same or later.
func (l *lifecycle) advance(phase Phase) {
	for {
		current := l.phase.Load()
		if current >= int32(phase) || l.phase.CompareAndSwap(current, int32(phase)) {
			return
		}
	}
}
