package front

import (
	"strconv"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxTimeout bounds Request-Timeout, so that adding it to the arrival time cannot overflow.
const maxTimeout = 365 * 24 * time.Hour

// deadline returns the time by which the caller wants its answer. It refuses a deadline that has passed.
func (r *request) deadline() (time.Time, error) {
	deadline, err := r.requestedDeadline()
	if err != nil {
		return time.Time{}, err
	}
	if !deadline.After(r.arrived) {
		return time.Time{}, refuse(pond.ReasonDeadline, "the deadline has passed")
	}
	return deadline, nil
}

// requestedDeadline returns the deadline of X-Deadline or Request-Timeout, or else the manifest's default.
func (r *request) requestedDeadline() (time.Time, error) {
	if value := r.Header.Get("X-Deadline"); value != "" {
		deadline, err := time.Parse(time.RFC3339, value)
		if err != nil {
			return time.Time{}, refuse(pond.ReasonBadRequest, "X-Deadline is not an RFC 3339 time")
		}
		return deadline, nil
	}
	if value := r.Header.Get("Request-Timeout"); value != "" {
		seconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || seconds < 0 {
			return time.Time{}, refuse(pond.ReasonBadRequest, "Request-Timeout is not a number of whole seconds")
		}
		return r.arrived.Add(min(time.Duration(seconds)*time.Second, maxTimeout)), nil
	}
	return r.arrived.Add(r.manifest.Policy().DefaultDeadline()), nil
}

// requestedClass returns the class of X-Class, or pond.ClassUnknown if the header is missing.
func (r *request) requestedClass() (pond.Class, error) {
	value := r.Header.Get("X-Class")
	if value == "" {
		return pond.ClassUnknown, nil
	}
	class, err := pond.ClassString(value)
	if err != nil || class == pond.ClassUnknown {
		return pond.ClassUnknown, refuse(pond.ReasonBadRequest, "X-Class is neither short nor long")
	}
	return class, nil
}
