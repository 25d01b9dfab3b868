package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

//go:generate go tool enumer -type=Admission -trimprefix=Admit -transform=lower -text -output=admission_enumer.go
//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=lower -output=verdict_enumer.go
//go:generate go tool enumer -type=Obstacle -trimprefix=Obstacle -transform=first-lower -output=obstacle_enumer.go

// Admission is the rule for how much of an engine's memory a request reserves.
type Admission int

// Admission rules. AdmitForecast is the rule in use; the others are for comparison.
const (
	// AdmitForecast reserves a request's expected peak, given the tokens already emitted, and on each engine a margin
	// for the policy's quantile of the sum. Outputs do not peak together, so summing the quantiles of AdmitQuantile
	// left two thirds of the memory unused.
	AdmitForecast Admission = iota
	// AdmitQuantile reserves the prompt, the emitted output and a conditional quantile of the remainder.
	AdmitQuantile
	// AdmitCount limits only the number of running requests.
	AdmitCount
	// AdmitMaximum reserves the prompt and the maximum output.
	AdmitMaximum
)

// Policy holds the parameters of the decisions. Its fields have no defaults.
type Policy struct {
	Admission Admission
	// ShortMaxTokens is the predicted output length up to which a request of unknown class counts as short.
	ShortMaxTokens int
	// ShortShare is the share of an engine's memory and batch that long requests may not use.
	ShortShare float64
	// Headroom is the share of an engine's memory kept free for outputs that grow beyond their reservation.
	Headroom float64
	// LengthQuantile is the quantile of the learned lengths for which memory is reserved.
	LengthQuantile float64
	// TokenGap is the time between tokens assumed before any was observed.
	TokenGap time.Duration
	// LongAgingLimit is the wait after which a long request goes before short ones. The wait counts from the last
	// dispatch of a long request of the account, if that is later than the offer. In both queues, each LongAgingLimit
	// of such a wait raises the priority by one.
	LongAgingLimit time.Duration
	// RetryBudget is the number of retries allowed per first attempt.
	RetryBudget float64
	// StragglerRatio is how many times slower than the median an engine must be to count as a straggler; zero if no
	// engine is to be avoided.
	StragglerRatio float64
	// PrefixLoadBound is the greatest load of an engine with a cached prefix, as a multiple of the least loaded
	// engine's.
	PrefixLoadBound float64
	// DefaultDeadline is the time allowed for a request without a deadline.
	DefaultDeadline time.Duration
	// TokenCopyTime is the time to copy the memory of one token to another engine in the same data centre; zero if
	// engines cannot move requests.
	TokenCopyTime time.Duration
	// Disabled holds the mechanisms that are switched off.
	Disabled pond.MechanismSet
}

// without returns the policy with the parameters that switch its disabled mechanisms off.
func (p Policy) without(disabled pond.MechanismSet) Policy {
	p.Disabled = disabled
	if disabled.Has(pond.MechanismForecast) {
		p.Admission = AdmitCount
	}
	if disabled.Has(pond.MechanismShortShare) {
		p.ShortShare = 0
	}
	if disabled.Has(pond.MechanismStragglers) {
		p.StragglerRatio = 0
	}
	if disabled.Has(pond.MechanismPrefixAffinity) {
		p.PrefixLoadBound = 0
	}
	if disabled.Has(pond.MechanismMoves) {
		p.TokenCopyTime = 0
	}
	return p
}

// Verdict is the kind of a decision.
type Verdict int

// Verdicts. Every offered request that is not cancelled finally gets exactly one of VerdictServe, VerdictRefuse and VerdictSend.
// VerdictServe may be followed by any number of VerdictMove.
const (
	VerdictWait Verdict = iota
	VerdictServe
	VerdictRefuse
	// VerdictMove moves a running request to another engine.
	VerdictMove
	// VerdictSend sends a request that has not run to another region. It ends the request here.
	VerdictSend
)
