package relay

import (
	"fmt"
	"net/http"
)

// unprovenRejectionError is the error of a response with the status of a rejection from a backend server that does not state that it did not run the
// request. Such a status must not reach callers: they may repeat any request after it, and this one may have run.
type unprovenRejectionError struct{ status int }

// Error implements error.
func (e *unprovenRejectionError) Error() string {
	return fmt.Sprintf("the backend server answered %d without stating that it did not run the request", e.status)
}

// isRejection reports whether callers take a response with the status as proof that their request was not run, whoever sends it.
func isRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
