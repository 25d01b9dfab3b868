package pond

import (
	"fmt"
	"time"
)

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=title-lower -text -output=reason_enumer.go

// Reason is the typed cause of a refusal or of a stream that ended early.
type Reason int

// Reasons. The order is not significant; the names are part of the API for callers.
const (
	ReasonInternal Reason = iota
	ReasonBadRequest
	ReasonUnauthenticated
	ReasonForbidden
	ReasonNotFound
	ReasonTooLarge
	ReasonRateLimited
	ReasonTooManyOpen
	ReasonOverloaded
	ReasonDeadline
	ReasonNotReady
	ReasonLeaving
	ReasonNoBackend
	ReasonBackendFailed
	ReasonGenerationLost
	ReasonSuperseded
	ReasonCursorInvalid
	ReasonKeyMissing
	ReasonKeyInvalid
	ReasonKeyExpired
	ReasonKeyReused
	ReasonExecutorGone
	ReasonTableFull
	ReasonCanceled
	// ReasonUnsafePrompt is a prompt with a part, or a whole request, under which backend servers have crashed.
	ReasonUnsafePrompt
)

// Refusal is the error for a request that the system decided not to serve or could not finish.
type Refusal struct {
	reason  Reason
	run     RunState
	retryAt time.Time
	detail  string
}

// NewRefusal returns a refusal. retryAt is the time from which a retry is useful; zero means that none is advised.
func NewRefusal(reason Reason, run RunState, retryAt time.Time, detail string) *Refusal {
	return &Refusal{reason: reason, run: run, retryAt: retryAt, detail: detail}
}

// Reason returns the typed cause.
func (r *Refusal) Reason() Reason { return r.reason }

// Run returns whether the refused request was run.
func (r *Refusal) Run() RunState { return r.run }

// RetryAt returns the time from which a retry is useful, or the zero time.
func (r *Refusal) RetryAt() time.Time { return r.retryAt }

// Detail returns the human-readable explanation.
func (r *Refusal) Detail() string { return r.detail }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", r.reason, r.run, r.detail)
}
