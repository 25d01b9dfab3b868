package entry

import "sync/atomic"

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=lower -text -output=phase_enumer.go

// Phase is the state of an instance's life.
type Phase int32

// Phases, in the order in which an instance passes them.
const (
	PhaseStarting Phase = iota
	PhaseReady
	PhaseLeaving
	PhaseDraining
	PhaseStopped
)

// lifecycle holds the current phase. Phases never go back.
type lifecycle struct{ phase atomic.Int32 }

func (l *lifecycle) current() Phase { return Phase(l.phase.Load()) }

// advance moves to phase unless a later one was reached.
func (l *lifecycle) advance(phase Phase) {
	for {
		current := l.phase.Load()
		if current >= int32(phase) || l.phase.CompareAndSwap(current, int32(phase)) {
			return
		}
	}
}
