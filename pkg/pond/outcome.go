package pond

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=title-lower -output=outcome_enumer.go
//go:generate go tool enumer -type=RunState -trimprefix=Run -transform=lower -text -output=runstate_enumer.go

// Outcome is what is known about one attempt to send a request to a backend server or a peer.
type Outcome int

// Outcomes, reported from the transport layer upwards. Only OutcomeNotSent proves that the receiver did not run the
// request.
const (
	// OutcomeMaybeSent is the zero value, so that a forgotten assignment never claims that nothing was sent.
	OutcomeMaybeSent Outcome = iota
	OutcomeNotSent
	OutcomeAnswered
)

// RunState states whether a request was run, as reported to its caller.
type RunState int

// Run states. RunUnknown is the zero value for the same reason as OutcomeMaybeSent.
const (
	RunUnknown RunState = iota
	// RunNo states that the request was not run and never will be.
	RunNo
	RunYes
)

// RunState returns the run state to report to a caller after an attempt with outcome o.
func (o Outcome) RunState() RunState {
	switch o {
	case OutcomeNotSent:
		return RunNo
	case OutcomeAnswered:
		return RunYes
	default:
		return RunUnknown
	}
}
