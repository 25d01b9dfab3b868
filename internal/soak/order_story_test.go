package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// orderEnd is how a run ended at its engine.
type orderEnd int

const (
	orderEndNone       orderEnd = iota // it still runs
	orderEndWhole                      // after its last event
	orderEndStopped                    // by an order to move it
	orderEndDeadline                   // at the deadline that the engine was given
	orderEndExit                       // with the engine's process
	orderEndCallerLeft                 // with its connection
)

var orderEndNames = []string{"still runs", "whole", "stopped for a move", "at its deadline", "engine exits", "connection closed by the instance"}

func (e orderEnd) String() string { return orderEndNames[e] }

// orderAnswer is the answer to an order or to a request.
type orderAnswer int

const (
	orderAnswerNone       orderAnswer = iota // not yet
	orderAnswerOK                            // 200
	orderAnswerNoRun                         // 404
	orderAnswerBusy                          // 409
	orderAnswerFull                          // 503
	orderAnswerFullHandle                    // 503 with a handle
	orderAnswerNoCopy                        // 503, because the handle is unknown or used
	orderAnswerReset
)

var orderAnswerNames = []string{"none", "200", "404", "409", "503", "503 with a handle", "503 unknown handle", "reset"}

func (a orderAnswer) String() string { return orderAnswerNames[a] }

// orderStory is what engines know of one request. Its fields are protected by the play's mu, except for those that never change.
type orderStory struct {
	id, address string // the front address that its caller chose
	total       int
	unframed    bool
	pace        time.Duration
	sentAt      time.Time

	runs     []*orderRun
	orders   []*orderOrder
	resumes  []orderResume
	logged   []orderLogLine // what the instances logged about its moves
	timeline []string
}

// orderRun is one run of a request on one engine: a new one, or one that goes on from a copy of another.
type orderRun struct {
	story    *orderStory
	number   int
	engine   string
	client   string // the IP address of the instance that sent it
	parent   *orderRun
	begin    int // the last event before its first one
	total    int
	unframed bool
	deadline time.Time
	stop     chan struct{} // closed by an order
	quiet    chan struct{} // closed after its last event
	moving   bool          // protected by the engine's mu

	made    int // the number of its last event
	handles int
	end     orderEnd
	inOrder bool // its connection was closed in order
}

// continues reports whether the run goes on from a copy of another one.
func (r *orderRun) continues(other *orderRun) bool {
	for ; r != nil; r = r.parent {
		if r == other {
			return true
		}
	}
	return false
}

// orderOrder is a call to move a run.
type orderOrder struct {
	story          *orderStory
	number         int
	engine, target string
	client         string
	run            *orderRun // nil if the engine had none
	last           bool
	at, answeredAt time.Time
	answer         orderAnswer
	lost           bool // the answer was not sent
}

// orderLogLine is a line of an instance's log.
type orderLogLine struct {
	Request, Event, Error, Msg, Source, Target string
	Time                                       time.Time
}

// orderResume is a request to go on from a copy.
type orderResume struct {
	engine, position string
	answer           orderAnswer
	at               time.Time
}

// timelineWidth is the width of the times in a timeline.
const timelineWidth = 8

func (s *orderStory) note(format string, args ...any) {
	s.timeline = append(s.timeline, fmt.Sprintf("%8.3f ", time.Since(s.sentAt).Seconds())+fmt.Sprintf(format, args...))
}

// cause tells what the engines saw at the end of the last run, which may have made no event. The play's mu must be held.
func (s *orderStory) cause() string {
	if len(s.runs) == 0 {
		return "no run"
	}
	run := s.runs[len(s.runs)-1]
	var parts []string
	how := "in order"
	if !run.inOrder {
		how = "by a reset"
	}
	framing := "framed"
	if run.unframed {
		framing = "unframed"
	}
	parts = append(parts, fmt.Sprintf("%s, %s, %s", run.end, framing, how))
	if run.end == orderEndStopped {
		parts = append(parts, s.ordersAround(run)...)
	}
	if run.client != hostOf(s.address) {
		parts = append(parts, "through another instance")
	}
	return strings.Join(parts, "; ")
}

// ordersAround describes the order that stopped a run, those after it and the requests to go on from a copy.
func (s *orderStory) ordersAround(run *orderRun) (parts []string) {
	stopped := -1
	for i, o := range s.orders {
		switch {
		case o.run == run && o.last && stopped < 0:
			stopped = i
			parts = append(parts, "the order got "+o.outcome())
		case stopped >= 0:
			kind := "first copy"
			if o.last {
				kind = "last copy"
			}
			parts = append(parts, fmt.Sprintf("then order (%s) got %s", kind, o.outcome()))
		}
	}
	if stopped >= 0 && stopped == len(s.orders)-1 && slices.ContainsFunc(s.logged, func(l orderLogLine) bool {
		return l.Event == "moveFailed" && l.Time.After(s.orders[stopped].at)
	}) {
		parts = append(parts, "then a move failed that reached no engine")
	}
	resumes := "not asked to go on"
	for _, r := range s.resumes {
		if stopped >= 0 && r.at.After(s.orders[stopped].at) {
			resumes = "asked to go on, " + r.answer.String()
		}
	}
	return append(parts, resumes)
}

func (o *orderOrder) outcome() string {
	const copyLimit = 1500 * time.Millisecond // of the product
	switch {
	case o.answer == orderAnswerNone:
		return "no answer yet"
	case o.lost:
		return "a lost " + o.answer.String()
	case o.answeredAt.Sub(o.at) > copyLimit:
		return "a late " + o.answer.String()
	default:
		return o.answer.String()
	}
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// orderVerdict is what became of one stream.
type orderVerdict int

const (
	orderWhole orderVerdict = iota
	orderCut                // broken off, or left by its caller
	orderRefused
	orderTooEarly // ended in order before its last event
	orderGap
	orderRepeat
	orderJoined // events of two runs, neither of which goes on from the other, or of another request
	orderTwice  // two runs from the beginning
	orderVerdicts
)

var orderVerdictNames = []string{"whole", "cut off", "refused", "complete too early", "gap", "repeat", "joined", "ran twice"}

func (v orderVerdict) String() string { return orderVerdictNames[v] }

// broken reports whether the verdict breaks a promise to the caller.
func (v orderVerdict) broken() bool { return v >= orderTooEarly }

// orderPiece is one event as its caller got it.
type orderPiece struct {
	request     string
	run, number int
}

// orderAnswerSeen is what a caller got of a stream.
type orderAnswerSeen struct {
	status  int // 0 for none
	pieces  []orderPiece
	inOrder bool // the answer ended in order
}

// judge compares what a caller got with what the engines made. It returns all verdicts that break a promise, or the one that does not. The play's mu must
// be held.
func (s *orderStory) judge(seen orderAnswerSeen) (verdicts []orderVerdict) {
	found := make([]bool, orderVerdicts)
	if fresh := s.freshRuns(); fresh > 1 {
		found[orderTwice] = true
	}
	byNumber := make(map[int]*orderRun)
	for _, r := range s.runs {
		byNumber[r.number] = r
	}
	var former *orderRun
	number := 0
	for _, p := range seen.pieces {
		run := byNumber[p.run]
		if p.request != s.id || run == nil || former != nil && !run.continues(former) {
			found[orderJoined] = true
		}
		found[orderGap] = found[orderGap] || p.number > number+1
		found[orderRepeat] = found[orderRepeat] || p.number <= number
		number, former = max(number, p.number), run
	}
	ok := seen.status == 200
	found[orderTooEarly] = ok && seen.inOrder && number < s.total
	for v := orderTooEarly; v < orderVerdicts; v++ {
		if found[v] {
			verdicts = append(verdicts, v)
		}
	}
	switch {
	case len(verdicts) > 0:
	case !ok:
		verdicts = append(verdicts, orderRefused)
	case !seen.inOrder:
		verdicts = append(verdicts, orderCut)
	default:
		verdicts = append(verdicts, orderWhole)
	}
	return verdicts
}

// freshRuns counts the runs from the beginning.
func (s *orderStory) freshRuns() (count int) {
	for _, r := range s.runs {
		if r.parent == nil {
			count++
		}
	}
	return count
}
