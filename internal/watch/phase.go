package watch

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=lower -text -output=phase_enumer.go

// Phase tells how far the manifest in effect is confirmed.
type Phase int

// Phases. New work is accepted in PhaseConfirmed and PhaseAlone.
const (
	// PhaseStarting lasts until other instances were asked after a start or a pause of the process.
	PhaseStarting Phase = iota
	// PhaseConfirmed means that a confirmed instance gave its version.
	PhaseConfirmed
	// PhaseAlone means that no confirmed instance can be reached.
	PhaseAlone
)
