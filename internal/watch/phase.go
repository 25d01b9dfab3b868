package watch

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=lower -text -output=phase_enumer.go

// Phase is the confirmation phase of the manifest in effect.
type Phase int

// Phases. New work is accepted in PhaseConfirmed and PhaseAlone.
const (
	// PhaseStarting is the phase after a start or a pause of the process, while other instances are queried.
	PhaseStarting Phase = iota
	// PhaseConfirmed means that a confirmed instance has recently sent its version.
	PhaseConfirmed
	// PhaseAlone means that no confirmed instance can be reached.
	PhaseAlone
)
