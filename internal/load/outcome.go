package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// outcome is the result of one arrival.
type outcome struct {
	arrival Arrival
	// sent is the time of the first attempt, and ended the time at which the caller had its answer or gave up. Both
	// count from the beginning of the run, as the intended time does.
	sent, ended time.Duration
	// firstToken counts from the beginning of the run; zero means that no token came.
	firstToken time.Duration
	tokens     int
	complete   bool
	// refusals are the reasons of all refusals, in order.
	refusals []string
	// failure is the reason of the last refusal, or why the caller gave up.
	failure string
	// violation describes an invalid event or lost, repeated, reordered or mixed tokens; it is empty if there are none.
	violation string
	resumes   int
	retries   int
	charge    chargeLog
}

func (o *outcome) onTime() bool { return o.complete && o.ended <= o.arrival.Due }

// waitTime returns the time from the intended send time to the first token or, if none came, to the end. Requests that
// were never served count too, so that a system can't improve the figure by refusing late.
func (o *outcome) waitTime() time.Duration {
	if o.firstToken > 0 {
		return o.firstToken - o.arrival.At
	}
	return o.ended - o.arrival.At
}

// chargeLog holds the keys of a charge that were answered and those that were refused as not run.
type chargeLog struct {
	answeredKeys []string
	notRunKeys   []string
}

// Failure reasons that callers add to the refusal reasons of the system.
const (
	reasonTimeout      = "callerTimeout"
	reasonConnection   = "connectionFailed"
	reasonStatusPrefix = "status"
)

// problem is the body of a refusal.
type problem struct {
	Reason   string `json:"reason"`
	RunState string `json:"run"`
	// retryAfter is the value of the Retry-After header; zero means that no retry is advised.
	retryAfter time.Duration
}

const maxProblemBytes = 64 << 10

// readProblem reads a refusal. A response in another format gets the reason "statusNNN" and an empty run state.
func readProblem(resp *http.Response) problem {
	var p problem
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil || json.Unmarshal(body, &p) != nil || p.Reason == "" {
		p = problem{Reason: reasonStatusPrefix + strconv.Itoa(resp.StatusCode)}
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.retryAfter = time.Duration(seconds) * time.Second
	}
	return p
}
