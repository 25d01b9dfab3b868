package front

import (
	"strconv"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxTimeout bounds Request-Timeout, so that the sum with the present time cannot overflow.
const maxTimeout = 365 * 24 * time.Hour

// deadline returns the time by which the caller wants its answer.
func (r *request) deadline() (time.Time, error) {
	deadline, err := r.statedDeadline()
	if err != nil {
		return time.Time{}, err
	}
	if !deadline.After(r.arrived) {
		return time.Time{}, refuse(pond.ReasonDeadline, "the deadline has passed")
	}
	return deadline, nil
}

func (r *request) statedDeadline() (time.Time, error) {
	if text := r.Header.Get("X-Deadline"); text != "" {
		deadline, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return time.Time{}, refuse(pond.ReasonBadRequest, "X-Deadline is not an RFC 3339 time")
		}
		return deadline, nil
	}
	if text := r.Header.Get("Request-Timeout"); text != "" {
		seconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil || seconds < 0 {
			return time.Time{}, refuse(pond.ReasonBadRequest, "Request-Timeout is not a number of whole seconds")
		}
		return r.arrived.Add(min(time.Duration(seconds)*time.Second, maxTimeout)), nil
	}
	return r.arrived.Add(r.manifest.Policy().DefaultDeadline()), nil
}

// class returns the kind of work that the caller announced.
func (r *request) class() (pond.Class, error) {
	text := r.Header.Get("X-Class")
	if text == "" {
		return pond.ClassUnknown, nil
	}
	class, err := pond.ClassString(text)
	if err != nil || class == pond.ClassUnknown {
		return pond.ClassUnknown, refuse(pond.ReasonBadRequest, "X-Class is neither short nor long")
	}
	return class, nil
}
