package engine

import (
	"fmt"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Error is the failure of a request to a backend server.
type Error struct {
	outcome pond.Outcome
	status  int
	leaving bool
	cause   error
}

// Outcome returns whether the request was sent and answered, as far as is known.
func (e *Error) Outcome() pond.Outcome { return e.outcome }

// Status returns the HTTP status of the response, or 0 if there was none.
func (e *Error) Status() int { return e.status }

// Leaving reports whether the backend server responded that it takes no new work.
func (e *Error) Leaving() bool { return e.leaving }

// Gone reports whether the failure of a resume proves that the generation cannot continue at the engine: the engine
// does not know it or has fewer tokens of it than the caller, or no process listens at the engine's address.
func (e *Error) Gone() bool {
	switch e.status {
	case http.StatusNotFound, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
		return true
	case 0:
		return e.outcome == pond.OutcomeNotSent && errors.Is(e.cause, syscall.ECONNREFUSED)
	default:
		return false
	}
}

// NotRun reports whether the failure of a start proves that the generation was not run. A status that an engine may
// also send for a generation that it is running, such as 409 or 500, proves nothing.
func (e *Error) NotRun() bool {
	if e.outcome == pond.OutcomeNotSent || e.leaving {
		return true
	}
	switch e.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// Error implements error.
func (e *Error) Error() string {
	if e.status != 0 {
		return fmt.Sprintf("backend server answered %d: %v", e.status, e.cause)
	}
	return fmt.Sprintf("request to backend server failed (%s): %v", e.outcome, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NewError returns an error with the given outcome and HTTP status, for implementations of Runner other than Client.
func NewError(outcome pond.Outcome, status int, leaving bool, cause error) *Error {
	return &Error{outcome: outcome, status: status, leaving: leaving, cause: cause}
}
