package logs

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=title-lower -output=cause_enumer.go

// Cause is why a request was not answered on time.
type Cause int

// Causes. CauseNone is an answer on time.
const (
	CauseNone Cause = iota
	// CauseInstanceGone is a request without an end: its instance was lost.
	CauseInstanceGone
	// CauseEngineGone is a stream whose engine was lost before a move of it began.
	CauseEngineGone
	// CauseMoveFailed is a stream whose engine was lost although moves of it had been tried.
	CauseMoveFailed
	// CauseShutdown is a request that the shutdown of its instance ended.
	CauseShutdown
	// CauseBackendFailed is an error of a backend server, or none of its responses.
	CauseBackendFailed
	// CauseRefused is a request that was refused and has not run.
	CauseRefused
	// CauseDeadline is a request whose time was over.
	CauseDeadline
	// CauseCallerLeft is a request whose caller closed the connection.
	CauseCallerLeft
	// CauseLateHome is a late first event or answer that waited mainly for a placement.
	CauseLateHome
	// CauseLateEngine is a late first event or answer that waited mainly in the backend server.
	CauseLateEngine
	// CauseLateMove is a late stream with a long gap between events whose run was moved.
	CauseLateMove
	// CauseLateGap is a late stream with a long gap between events without a move.
	CauseLateGap
	// CauseRejected is a request that was invalid or not permitted.
	CauseRejected
)

// summaryWindow is the length of the windows by which Summary counts.
const summaryWindow = 2 * time.Second

// requestRecord is what the lines of one request say.
type requestRecord struct {
	first      time.Time // of the request's earliest line
	route      string
	outcome    string // "" without an end
	reason     string
	late       string // what was late, "" for nothing
	placedMs   float64
	firstMs    float64
	moved      bool
	moveFailed bool
	status     float64 // of the response; 0 without one
}

func (r *requestRecord) add(line Line) {
	if r.first.IsZero() || line.at.Before(r.first) {
		r.first = line.at
	}
	switch line.Field(Event) {
	case "requestPlaced":
		r.placedMs = line.number(ElapsedMillis)
	case "runMoved":
		r.moved = true
	case "moveFailed", "moveIncomplete":
		r.moveFailed = true
	case "requestEnded":
		r.outcome, r.reason, r.late = line.Field(Outcome), line.Field(Reason), line.Field(Late)
		r.route, r.firstMs, r.status = line.Field(Route), line.number(FirstEventMillis), line.number(Status)
		if r.firstMs == 0 {
			r.firstMs = line.number(ElapsedMillis)
		}
	}
}

// number returns a numeric field, or 0.
func (l Line) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

func (r *requestRecord) cause() Cause {
	switch r.outcome {
	case "":
		return CauseInstanceGone
	case "answered":
		if r.status >= http.StatusInternalServerError {
			return CauseBackendFailed // The response of the backend server was passed on.
		}
		return r.lateCause()
	case "refused":
		return CauseRefused
	case "rejected":
		return CauseRejected
	}
	switch {
	case r.reason == "canceled":
		return CauseCallerLeft
	case r.reason == "leaving":
		return CauseShutdown
	case r.reason == "deadline":
		return CauseDeadline
	case r.reason != "generationLost":
		return CauseBackendFailed
	case r.moveFailed:
		return CauseMoveFailed
	default:
		return CauseEngineGone
	}
}

func (r *requestRecord) lateCause() Cause {
	switch {
	case r.late == "":
		return CauseNone
	case r.late == LateGap && r.moved:
		return CauseLateMove
	case r.late == LateGap:
		return CauseLateGap
	case r.placedMs > r.firstMs/2:
		return CauseLateHome
	default:
		return CauseLateEngine
	}
}

// Summary counts how requests ended, from the logs of all instances.
type Summary struct {
	requests  map[string]*requestRecord
	start     time.Time
	malformed int
}

// NewSummary returns a summary without lines.
func NewSummary() *Summary { return &Summary{requests: make(map[string]*requestRecord)} }

// Malformed returns the number of lines that cannot be decoded.
func (s *Summary) Malformed() int { return s.malformed }

// Read adds the lines of a log.
func (s *Summary) Read(log io.Reader, name string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := ParseLine(scanner.Bytes())
		if err != nil {
			s.malformed++
			continue
		}
		if s.start.IsZero() || line.at.Before(s.start) {
			s.start = line.at
		}
		id := line.Field(Request)
		if id == "" {
			continue
		}
		record, ok := s.requests[id]
		if !ok {
			record = new(requestRecord)
			s.requests[id] = record
		}
		record.add(line)
	}
	return errors.Wrapf(scanner.Err(), "read log %s", name)
}

// causeCount is the number of requests of a route that ended by a cause.
type causeCount struct {
	cause Cause
	route string
	count int
}

// Write prints the requests by cause and route, the most frequent first, and by cause and time since the first line.
func (s *Summary) Write(out io.Writer) error {
	byRoute := make(map[causeCount]int)
	byWindow := make(map[int]map[Cause]int)
	for _, r := range s.requests {
		byRoute[causeCount{cause: r.cause(), route: r.route}]++
		window := int(r.first.Sub(s.start) / summaryWindow)
		if byWindow[window] == nil {
			byWindow[window] = make(map[Cause]int)
		}
		byWindow[window][r.cause()]++
	}
	counts := make([]causeCount, 0, len(byRoute))
	for key, count := range byRoute {
		key.count = count
		counts = append(counts, key)
	}
	slices.SortFunc(counts, func(a, b causeCount) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.cause, b.cause), cmp.Compare(a.route, b.route))
	})
	text := fmt.Sprintf("%d requests\n", len(s.requests))
	for _, c := range counts {
		text += fmt.Sprintf("%7d  %-14s %s\n", c.count, c.cause, c.route)
	}
	text += "from second, by cause\n"
	for _, window := range slices.Sorted(maps.Keys(byWindow)) {
		text += fmt.Sprintf("%7.0f ", (time.Duration(window) * summaryWindow).Seconds())
		for _, cause := range CauseValues() {
			if n := byWindow[window][cause]; n > 0 {
				text += fmt.Sprintf(" %s %d", cause, n)
			}
		}
		text += "\n"
	}
	_, err := io.WriteString(out, text)
	return errors.Wrap(err, "write the summary")
}
