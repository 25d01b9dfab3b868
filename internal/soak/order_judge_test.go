package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestOrderVerdicts guards against a check that mistakes one kind of wrong stream for another, or a wrong one for a sound one.
func TestOrderVerdicts(t *testing.T) {
	t.Parallel()
	const id = "a"
	first := &orderRun{number: 1}
	second := &orderRun{number: 2, parent: first}
	third := &orderRun{number: 3, parent: second}
	sibling := &orderRun{number: 4, parent: first}
	fresh := &orderRun{number: 5}
	piece := func(run, number int) orderPiece { return orderPiece{id, run, number} }
	for _, test := range []struct {
		name   string
		runs   []*orderRun
		pieces []orderPiece
		status int
		cut    bool
		want   []orderVerdict
	}{
		{"whole", []*orderRun{first}, []orderPiece{piece(1, 1), piece(1, 2), piece(1, 3)}, 200, false, []orderVerdict{orderWhole}},
		{"goes on from a copy", []*orderRun{first, second}, []orderPiece{piece(1, 1), piece(2, 2), piece(2, 3)}, 200, false, []orderVerdict{orderWhole}},
		{"goes on from a copy of a copy", []*orderRun{first, second, third}, []orderPiece{piece(1, 1), piece(3, 2), piece(3, 3)}, 200, false,
			[]orderVerdict{orderWhole}},
		{"cut off", []*orderRun{first}, []orderPiece{piece(1, 1)}, 200, true, []orderVerdict{orderCut}},
		{"cut off after the last event", []*orderRun{first}, []orderPiece{piece(1, 1), piece(1, 2), piece(1, 3)}, 200, true, []orderVerdict{orderCut}},
		{"refused", nil, nil, 503, true, []orderVerdict{orderRefused}},
		{"no answer", nil, nil, 0, true, []orderVerdict{orderRefused}},
		{"complete too early", []*orderRun{first}, []orderPiece{piece(1, 1), piece(1, 2)}, 200, false, []orderVerdict{orderTooEarly}},
		{"complete without an event", []*orderRun{first}, nil, 200, false, []orderVerdict{orderTooEarly}},
		{"gap", []*orderRun{first}, []orderPiece{piece(1, 1), piece(1, 3)}, 200, false, []orderVerdict{orderGap}},
		{"gap at the start", []*orderRun{first}, []orderPiece{piece(1, 2), piece(1, 3)}, 200, true, []orderVerdict{orderGap}},
		{"gap and cut off", []*orderRun{first, second}, []orderPiece{piece(1, 1), piece(2, 3)}, 200, true, []orderVerdict{orderGap}},
		{"repeat", []*orderRun{first, second}, []orderPiece{piece(1, 1), piece(1, 2), piece(2, 2), piece(2, 3)}, 200, false, []orderVerdict{orderRepeat}},
		{"number goes back", []*orderRun{first}, []orderPiece{piece(1, 1), piece(1, 2), piece(1, 1), piece(1, 3)}, 200, false, []orderVerdict{orderRepeat}},
		{"two runs from the beginning", []*orderRun{first, fresh}, []orderPiece{piece(1, 1), piece(5, 2), piece(5, 3)}, 200, false,
			[]orderVerdict{orderJoined, orderTwice}},
		{"two runs from one copy", []*orderRun{first, second, sibling}, []orderPiece{piece(1, 1), piece(2, 2), piece(4, 3)}, 200, false,
			[]orderVerdict{orderJoined}},
		{"back to the former run", []*orderRun{first, second}, []orderPiece{piece(2, 1), piece(1, 2), piece(1, 3)}, 200, false, []orderVerdict{orderJoined}},
		{"an unknown run", []*orderRun{first}, []orderPiece{piece(1, 1), piece(9, 2), piece(9, 3)}, 200, false, []orderVerdict{orderJoined}},
		{"another request", []*orderRun{first}, []orderPiece{piece(1, 1), {"b", 1, 2}, piece(1, 3)}, 200, false, []orderVerdict{orderJoined}},
		{"ran twice, seen once", []*orderRun{first, fresh}, []orderPiece{piece(5, 1), piece(5, 2), piece(5, 3)}, 200, false, []orderVerdict{orderTwice}},
		{"gap and too early", []*orderRun{first}, []orderPiece{piece(1, 2)}, 200, false, []orderVerdict{orderTooEarly, orderGap}},
	} {
		s := &orderStory{id: id, total: 3, runs: test.runs}
		if got := s.judge(orderAnswerSeen{test.status, test.pieces, !test.cut}); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestOrderCauses guards against a report that names another end of a run than its engine saw.
func TestOrderCauses(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name string
		set  func(s *orderStory, run *orderRun)
		want string
	}{
		{"deadline", func(_ *orderStory, run *orderRun) { run.end = orderEndDeadline }, "at its deadline, unframed, in order"},
		{"exit through another instance", func(_ *orderStory, run *orderRun) {
			run.end, run.inOrder, run.client = orderEndExit, false, "127.0.0.9"
		},
			"engine exits, unframed, by a reset; through another instance"},
		{"the run that went on ends without an event", func(s *orderStory, run *orderRun) {
			run.end = orderEndStopped
			s.runs = append(s.runs, &orderRun{number: 2, parent: run, end: orderEndExit, inOrder: true, unframed: true, client: run.client})
		}, "engine exits, unframed, in order"},
		{"stopped, second order", func(s *orderStory, run *orderRun) {
			run.end = orderEndStopped
			s.orders = []*orderOrder{
				{run: run, answer: orderAnswerOK, at: at(0), answeredAt: at(10)},
				{run: run, last: true, answer: orderAnswerOK, at: at(20), answeredAt: at(2000)},
				{answer: orderAnswerNoRun, at: at(40), answeredAt: at(41)},
			}
		}, "stopped for a move, unframed, in order; the order got a late 200; then order (first copy) got 404; not asked to go on"},
		{"stopped, lost, not resumed", func(s *orderStory, run *orderRun) {
			run.end = orderEndStopped
			s.orders = []*orderOrder{{run: run, last: true, answer: orderAnswerFullHandle, lost: true, at: at(20), answeredAt: at(30)}}
			s.resumes = []orderResume{{answer: orderAnswerFull, at: at(40)}}
		}, "stopped for a move, unframed, in order; the order got a lost 503 with a handle; asked to go on, 503"},
		{"stopped, then an order that the engine did not get", func(s *orderStory, run *orderRun) {
			run.end = orderEndStopped
			s.orders = []*orderOrder{{run: run, last: true, answer: orderAnswerOK, at: at(20), answeredAt: at(30)}}
			s.logged = []orderLogLine{{Event: "moveFailed", Time: at(25)}}
		}, "stopped for a move, unframed, in order; the order got 200; then a move failed that reached no engine; not asked to go on"},
	} {
		run := &orderRun{number: 1, unframed: true, inOrder: true, client: "127.0.0.1"}
		s := &orderStory{address: "127.0.0.1:80", runs: []*orderRun{run}}
		test.set(s, run)
		if got := s.cause(); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

// TestOrderModes guards against a flag whose list is misread, so that a run plays other faults than it says.
func TestOrderModes(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		list string
		want string // names that are set
		err  bool
	}{
		{"all", strings.Join(orderModeNames[:orderModePosition], ","), false},
		{"none", "", false},
		{"none,exit", "exit", false},
		{"exit, lost", "exit,lost", false},
		{"all,-exit,-deadline", "unframed,stopReset,late,lost,noRoom,noResume,resetResume,home,crash,cut,short,reuse", false},
		{"everything", "", true},
	} {
		set, err := parseOrderModes(test.list)
		var names []string
		for m, on := range set {
			if on {
				names = append(names, orderModeNames[m])
			}
		}
		if got := strings.Join(names, ","); (err != nil) != test.err || err == nil && got != test.want {
			t.Errorf("%q: %q, %v", test.list, got, err)
		}
	}
}
