package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// outcome is what became of one arrival.
type outcome struct {
	arrival Arrival
	// sent is the time of the first send, and ended the time at which the caller had its answer or gave up. Both count
	// from the beginning of the run, as the intended time does.
	sent, ended time.Duration
	// firstToken counts from the beginning of the run; zero means that no token came.
	firstToken time.Duration
	tokens     int
	whole      bool
	// refusals are the reasons of all refusals.
	refusals []string
	// failure is the reason of the last refusal, or why the caller gave up.
	failure string
	// violation describes a broken token order, or is empty.
	violation string
	resumes   int
	retries   int
	charge    chargeLog
}

func (o *outcome) onTime() bool { return o.whole && o.ended <= o.arrival.Due }

// waited returns the time from the intended send time to the first token or, if none came, to the end. Requests that
// were never served count too, so that a system can't improve the figure by refusing late.
func (o *outcome) waited() time.Duration {
	if o.firstToken > 0 {
		return o.firstToken - o.arrival.At
	}
	return o.ended - o.arrival.At
}

// chargeLog holds what the caller of a charge was told about each key it used.
type chargeLog struct {
	answered []string
	notRun   []string
}

// Reasons of callers, beside the ones that the system gives.
const (
	gaveUpTimeout    = "callerTimeout"
	gaveUpConnection = "connectionFailed"
	gaveUpStatus     = "status"
)

// problem is the body of a refusal.
type problem struct {
	Reason string `json:"reason"`
	Run    string `json:"run"`
	// retryAfter is the value of the header; zero means that no retry is advised.
	retryAfter time.Duration
}

const maxProblemBytes = 64 << 10

// readProblem reads a refusal. An answer of another form has the reason "statusNNN" and tells nothing about the run.
func readProblem(resp *http.Response) problem {
	var p problem
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil || json.Unmarshal(body, &p) != nil || p.Reason == "" {
		p = problem{Reason: gaveUpStatus + strconv.Itoa(resp.StatusCode)}
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.retryAfter = time.Duration(seconds) * time.Second
	}
	return p
}
