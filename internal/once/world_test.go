package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/naive"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// rules are the decisions of one incarnation, so that a world can run different executors.
type rules interface {
	issue(now time.Time) string
	// receive returns the address to forward to, a refusal, or a new run; none of them if the call waits for a run.
	receive(call *pond.Call, view pond.Directory, t terms) (forward string, refusal *pond.Refusal, run *run)
	// clear returns a refusal if the run may not be sent now.
	clear(r *run, t terms) *pond.Refusal
	finish(r *run, end result)
	// drain moves to the next phase of the lifecycle.
	drain()
}

// onceRules are the rules of this package.
type onceRules struct{ core *core }

func (o onceRules) issue(now time.Time) string { return o.core.keys.issue(testAccount, now) }

func (o onceRules) receive(call *pond.Call, view pond.Directory, t terms) (string, *pond.Refusal, *run) {
	key, err := o.core.keys.parse(call.Key, call.Account)
	if err != nil {
		return "", refuseNo(pond.ReasonKeyInvalid, err.Error()), nil
	}
	route := routeOf(key, o.core.keys.ref, call.Forwarded, view)
	if !route.local {
		return route.address, route.refusal, nil
	}
	d := o.core.accept(call, key, t)
	if d.run {
		return "", nil, &run{record: d.record, deadline: t.now.Add(time.Minute)}
	}
	if d.record != nil && d.record.ended() {
		return "", d.record.result.refusal, nil
	}
	return "", d.refusal, nil
}

func (o onceRules) clear(r *run, t terms) *pond.Refusal { return o.core.clear(r.record, r.deadline, t) }
func (o onceRules) finish(r *run, end result)           { o.core.finish(r.record, end) }
func (o onceRules) drain()                              { o.core.phase = min(o.core.phase+1, phaseClosed) }

// naiveRules hash the key over the live list.
type naiveRules struct {
	self   pond.InstanceID
	serial *int
	table  *naive.CallTable
}

func (n naiveRules) issue(time.Time) string {
	*n.serial++
	return fmt.Sprintf("key%d", *n.serial)
}

func (n naiveRules) receive(call *pond.Call, view pond.Directory, _ terms) (string, *pond.Refusal, *run) {
	owner, ok := naive.Owner(call.Key, view)
	if ok && !call.Forwarded && owner.ID() != n.self {
		return owner.PeerAddress(), nil, nil
	}
	if !n.table.Begin(call.Key) {
		return "", nil, nil
	}
	return "", nil, &run{}
}

func (naiveRules) clear(*run, terms) *pond.Refusal { return nil }
func (naiveRules) finish(*run, result)             {}
func (naiveRules) drain()                          {}

// run is a call on its way to a replica.
type run struct {
	node     *simNode
	rules    rules
	call     *pond.Call
	record   *record
	deadline time.Time
	attempts *attempts
	target   spec.Backend
	phase    runPhase
}

type runPhase int

const (
	runDialing runPhase = iota
	runConnected
	runWritten
	runExecuted
)

// simNode is one instance; its rules are replaced at a restart. It is the directory of its own view.
type simNode struct {
	world     *world
	index     int
	ref       pond.InstanceRef
	rules     rules
	alive     bool
	paused    bool
	confirmed bool
	sees      []pond.Instance
}

func (n *simNode) Self() pond.Instance        { return n.instance() }
func (n *simNode) Instances() []pond.Instance { return n.sees }

func (n *simNode) instance() pond.Instance {
	return instance(string(n.ref.ID), n.ref.Incarnation, string(n.ref.ID))
}

func (n *simNode) terms() terms {
	return terms{manifest: n.world.manifest, confirmed: n.confirmed, now: n.world.now}
}

// copyInFlight is a request on its way to an instance.
type copyInFlight struct {
	call pond.Call
	to   string
}

// world is a set of instances and replicas in one process with a virtual clock. Its oracle counts the executions of
// each key and remembers refusals with "run: no".
type world struct {
	newRules  func(w *world, ref pond.InstanceRef) rules
	now       time.Time
	manifest  *spec.Manifest
	serial    int
	nodes     []*simNode
	down      map[string]bool
	keys      []string
	copies    []copyInFlight
	runs      []*run
	executed  map[string]int
	deniedRun map[string]bool
	forwards  int
	reasons   map[pond.Reason]int
	violation string
}

const (
	worldNodes   = 3
	worldRecords = 3
	worldOpen    = 2
)

func newOnceRules(w *world, ref pond.InstanceRef) rules {
	keys := &keyring{ref: ref, macKey: []byte("key"), started: w.now, validity: DefaultKeyValidity}
	return onceRules{core: &core{keys: keys, table: newTable(), limits: newLimits(), maxAnswerBytes: 1 << 20}}
}

func newNaiveRules(w *world, ref pond.InstanceRef) rules {
	return naiveRules{self: ref.ID, serial: &w.serial, table: naive.NewCallTable()}
}

func newWorld(t testing.TB, newRules func(*world, pond.InstanceRef) rules) *world {
	w := &world{
		newRules:  newRules,
		now:       time.Unix(1000, 0),
		manifest:  manifestOf(t, worldRecords, worldOpen, "127.0.0.1:1", "127.0.0.1:2"),
		down:      make(map[string]bool),
		executed:  make(map[string]int),
		deniedRun: make(map[string]bool),
		reasons:   make(map[pond.Reason]int),
	}
	for i := range worldNodes {
		n := &simNode{world: w, index: i}
		n.ref.ID = pond.InstanceID(string("xyz"[i]))
		w.nodes = append(w.nodes, n)
		n.start()
	}
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			n.see(other)
		}
	}
	return w
}

// start begins a new incarnation.
func (n *simNode) start() {
	n.ref.Incarnation += 1 + pond.Incarnation(n.index)
	n.rules = n.world.newRules(n.world, n.ref)
	n.alive, n.paused, n.confirmed = true, false, true
	n.see(n)
}

// see puts the present incarnation of the other node into this node's view.
func (n *simNode) see(other *simNode) {
	n.lose(other)
	n.sees = append(n.sees, other.instance())
}

// lose removes the other node from this node's view.
func (n *simNode) lose(other *simNode) {
	n.sees = slices.DeleteFunc(n.sees, func(seen pond.Instance) bool { return seen.ID() == other.ref.ID })
}

// op is one event of a schedule. The arguments select from what exists when it happens.
type op struct {
	kind opKind
	a, b int
}

type opKind int

const (
	opIssue opKind = iota
	opCall
	opDeliver
	opDuplicate
	opDrop
	opStep
	opRestart
	opPause
	opConfirm
	opPass
	opView
	opDrain
	opReplica
	opKinds
)

// weights make faults rarer than calls, so that schedules do not consist of dead instances.
var weights = [opKinds]int{
	opIssue: 10, opCall: 20, opDeliver: 50, opDuplicate: 6, opDrop: 2, opStep: 30, opRestart: 2, opPause: 3,
	opConfirm: 8, opPass: 3, opView: 6, opDrain: 1, opReplica: 4,
}

func randomSchedule(seed uint64, length int) []op {
	random := rand.New(rand.NewPCG(seed, 0))
	var kinds []opKind
	for kind, weight := range weights {
		for range weight {
			kinds = append(kinds, opKind(kind))
		}
	}
	schedule := make([]op, length)
	for i := range schedule {
		schedule[i] = op{kind: kinds[random.IntN(len(kinds))], a: random.IntN(1 << 20), b: random.IntN(1 << 20)}
	}
	return schedule
}

func (w *world) play(schedule []op) {
	for _, o := range schedule {
		w.apply(o)
	}
}

func (w *world) apply(o op) {
	node := w.nodes[o.a%len(w.nodes)]
	switch o.kind {
	case opIssue:
		if node.alive && !node.paused {
			w.keys = append(w.keys, node.rules.issue(w.now)+":s")
		}
	case opCall:
		w.call(o)
	case opDeliver, opDuplicate, opDrop:
		w.moveCopy(o)
	case opStep:
		if len(w.runs) > 0 {
			w.step(o.a % len(w.runs))
		}
	case opRestart:
		switch {
		case !node.alive:
			node.start()
		case o.b%2 == 0:
			node.alive = false
		}
	case opPause:
		// A process that wakes notices the pause and needs a new confirmation.
		node.confirmed = node.confirmed && !node.paused
		node.paused = !node.paused
	case opConfirm:
		node.confirmed = o.b%8 > 0
	case opPass:
		passed := []time.Duration{time.Second, time.Second, time.Second, 30 * time.Second, DefaultKeyValidity,
			DefaultKeyValidity - 30*time.Second, time.Second, answerRetention}
		w.now = w.now.Add(passed[o.b%len(passed)])
	case opView:
		other := w.nodes[o.b%len(w.nodes)]
		switch {
		case o.b%4 > 0:
			node.see(other)
		case other != node:
			node.lose(other)
		}
	case opDrain:
		if o.b%4 == 0 {
			node.rules.drain()
		}
	case opReplica:
		name := fmt.Sprintf("r%d", o.a%2)
		w.down[name] = !w.down[name]
	}
}

// call lets a caller send a copy of one of the last keys, now and then with another body.
func (w *world) call(o op) {
	if len(w.keys) == 0 {
		return
	}
	const recent = 6
	key := w.keys[len(w.keys)-1-o.a%min(recent, len(w.keys))]
	body := "body"
	if o.b%16 == 0 {
		body = "other body"
	}
	w.copies = append(w.copies, copyInFlight{call: charge(key, body), to: string("xyz"[o.b%worldNodes])})
}

func (w *world) moveCopy(o op) {
	if len(w.copies) == 0 {
		return
	}
	i := o.a % len(w.copies)
	c := w.copies[i]
	if o.kind == opDuplicate {
		w.copies = append(w.copies, c)
		return
	}
	node := w.nodes[c.to[0]-'x']
	if o.kind == opDeliver && node.paused {
		return
	}
	w.copies = append(w.copies[:i:i], w.copies[i+1:]...)
	if o.kind == opDeliver && node.alive {
		w.deliver(node, c.call)
	}
}

func (w *world) deliver(node *simNode, call pond.Call) {
	forward, refusal, r := node.rules.receive(&call, node, node.terms())
	switch {
	case forward != "":
		w.forwards++
		call.Forwarded = true
		w.copies = append(w.copies, copyInFlight{call: call, to: forward})
	case refusal != nil:
		w.refuse(call.Key, refusal)
	case r != nil:
		r.node, r.rules, r.call = node, node.rules, &call
		service, _ := w.manifest.Service("shop")
		r.attempts = newAttempts(newReplicas(pond.BackendViewFunc(func(string) bool { return true })).
			order(w.manifest, service))
		w.runs = append(w.runs, r)
	}
}

// step lets a run make one step. A request that was written goes on without its sender.
func (w *world) step(i int) {
	r := w.runs[i]
	killed := !r.node.alive || r.node.rules != r.rules
	if killed && r.phase != runWritten {
		w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
		return
	}
	if r.node.paused && !killed && r.phase != runWritten {
		return
	}
	if end, ok := w.advance(r); ok {
		r.rules.finish(r, end)
		w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
		if end.refusal != nil {
			w.refuse(r.call.Key, end.refusal)
		}
	}
}

// advance returns the end of the run if it has ended.
func (w *world) advance(r *run) (result, bool) {
	switch r.phase {
	case runDialing:
		target, ok := r.attempts.target()
		if !ok {
			return result{refusal: r.attempts.refusal()}, true
		}
		if w.down[target.Name()] {
			r.attempts.ended(pond.OutcomeNotSent)
			return result{}, false
		}
		r.target, r.phase = target, runConnected
	case runConnected:
		if refusal := r.rules.clear(r, r.node.terms()); refusal != nil {
			return result{refusal: refusal}, true
		}
		if r.record != nil && (!r.node.confirmed || !w.now.Before(r.record.expiry) || !w.now.Before(r.deadline)) {
			w.violation = "key " + r.call.Key + " was sent without confirmation or after its time"
		}
		r.phase = runWritten
	case runWritten:
		if w.down[r.target.Name()] {
			r.attempts.ended(pond.OutcomeMaybeSent)
			r.phase = runDialing
			return result{}, false
		}
		w.execute(r.call.Key)
		r.phase = runExecuted
	case runExecuted:
		if !w.down[r.target.Name()] {
			return result{answer: pond.Answer{Status: 200}}, true
		}
		r.attempts.ended(pond.OutcomeMaybeSent)
		r.phase = runDialing
	}
	return result{}, false
}

func (w *world) execute(key string) {
	w.executed[key]++
	if w.executed[key] > 1 {
		w.violation = "key " + key + " ran twice"
	}
	if w.deniedRun[key] {
		w.violation = "key " + key + " ran after a refusal with run: no"
	}
}

func (w *world) refuse(key string, refusal *pond.Refusal) {
	w.reasons[refusal.Reason()]++
	if refusal.Run() != pond.RunNo {
		return
	}
	w.deniedRun[key] = true
	if w.executed[key] > 0 {
		w.violation = "key " + key + " ran, but a refusal (" + refusal.Error() + ") denies it"
	}
}
