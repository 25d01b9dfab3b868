package sched

import "time"

//go:generate go tool enumer -type=Admission -trimprefix=Admit -transform=lower -text -output=admission_enumer.go
//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=lower -output=verdict_enumer.go

// Admission tells how much of an engine's memory a request takes up.
type Admission int

// Admission rules. AdmitForecast is the rule in use; the others serve as comparison.
const (
	// AdmitForecast reserves what a request is expected to hold at its peak, given what it has shown, and for each
	// engine a margin by the policy's quantile of the sum. Outputs do not peak together, so the sum of the quantiles of
	// AdmitQuantile left two thirds of the memory unused.
	AdmitForecast Admission = iota
	// AdmitQuantile reserves the prompt, the shown output and a conditional quantile of the remainder.
	AdmitQuantile
	// AdmitCount limits only the number of running requests.
	AdmitCount
	// AdmitMaximum reserves the prompt and the greatest allowed output.
	AdmitMaximum
)

// Policy holds the weights of the decisions. All fields are required.
type Policy struct {
	Admission Admission
	// ShortMaxTokens is the predicted output length up to which a request of unknown class counts as short.
	ShortMaxTokens int
	// ShortShare is the share of an engine's memory and batch that long work may not use.
	ShortShare float64
	// Headroom is the share of an engine's memory that is left free for growth.
	Headroom float64
	// LengthQuantile is the quantile of the learned lengths that is reserved.
	LengthQuantile float64
	// TokenGap is the time between tokens assumed before any was observed.
	TokenGap time.Duration
	// LongAgingLimit is the wait after which long work goes before short work.
	LongAgingLimit time.Duration
	// RetryBudget is the number of retries allowed for each first attempt.
	RetryBudget float64
	// StragglerRatio is how many times slower than the median an engine must be to count as a straggler.
	StragglerRatio float64
	// PrefixLoadBound is how much more loaded than the least loaded engine a prefix holder may be.
	PrefixLoadBound float64
	// DefaultDeadline is the time allowed for a request without a deadline.
	DefaultDeadline time.Duration
	// CopyTime is the time that it takes to copy the memory of one token to another engine of the same place; zero if
	// engines cannot move requests.
	CopyTime time.Duration
}

// Verdict is the kind of a decision.
type Verdict int

// Verdicts. Every offered request gets exactly one of VerdictServe and VerdictRefuse in the end; after VerdictServe there
// may be any number of VerdictMove.
const (
	VerdictWait Verdict = iota
	VerdictServe
	VerdictRefuse
	// VerdictMove tells that a running request is to go on on another engine.
	VerdictMove
)
