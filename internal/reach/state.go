package reach

//go:generate go tool enumer -type=State -trimprefix=State -transform=title-lower -output=state_enumer.go

// State tells what an instance believes of its own ways to backend servers.
type State int

// States.
const (
	// StateDirect is an instance that connects directly.
	StateDirect State = iota
	// StateDoubtful is an instance whose connections to several servers failed while none succeeded.
	StateDoubtful
	// StateCutOff is a doubtful instance whose helpers reach the servers.
	StateCutOff
	// StateIsolated is a doubtful instance whose helpers do not reach the servers either.
	StateIsolated
)
