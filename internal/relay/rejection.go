package relay

import (
	"fmt"
	"net/http"
)

// unprovenRejectionError is the error of a response whose status says that the request was not run, from a backend server that does not state so. It
// may have run the request, so that its status must not reach the caller, who would take it for a promise.
type unprovenRejectionError struct{ status int }

// Error implements error.
func (e *unprovenRejectionError) Error() string {
	return fmt.Sprintf("the backend server answered %d without stating that it did not run the request", e.status)
}

// promisesNotRun reports whether callers take a status as the promise that their request has not run and never will, whoever sends it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
