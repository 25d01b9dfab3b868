package stream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 20261203}) }

const (
	tokenGap  = 10 * time.Millisecond
	peerDelay = time.Millisecond
	// releaseDelay delays the response to a granted release, so that refusals overtake it and tokens still arrive at the
	// old reader.
	releaseDelay = 2 * tokenGap

	maxRepeats = 100
)

// fault is what a connection of a fake engine does wrong.
type fault int

const (
	faultNone fault = iota
	// faultDuplicate sends the event twice.
	faultDuplicate
	// faultStaleEvent sends the first event again before this one.
	faultStaleEvent
	// faultOtherGeneration first sends an event of another generation with the same offset.
	faultOtherGeneration
	// faultMissing leaves the event out.
	faultMissing
	// faultDisconnect closes the connection instead of sending the event.
	faultDisconnect
	// faultStall sends nothing more.
	faultStall
	// faultRepeat sends the first event again once a second, maxRepeats times, and nothing else.
	faultRepeat
	// faultSuperseded ends the reader as if a newer one had attached.
	faultSuperseded
	// faultDie ends the engine process.
	faultDie
	// faultFreeze makes the engine stop responding for good.
	faultFreeze
)

// fakeEngine is an in-memory engine that produces tokens at fixed intervals of virtual time.
type fakeEngine struct {
	lock        sync.Mutex
	length      int
	faults      map[int]fault // by offset; each happens once
	dead        bool
	frozen      bool
	leaving     bool
	startStatus int
	// slowUntil is the time before which no token is produced.
	slowUntil time.Time
	// dieOnResume makes the engine die when a reader comes back.
	dieOnResume bool
	generations map[string]*fakeGeneration
	started     []string
	canceled    []string
}

type fakeGeneration struct {
	prompt    string
	startedAt time.Time
	reader    *fakeEvents
}

func newFakeEngine(length int) *fakeEngine {
	return &fakeEngine{length: length, faults: map[int]fault{}, generations: map[string]*fakeGeneration{}}
}

func tokenText(prompt string, offset int) string { return fmt.Sprintf("%s-%d ", prompt, offset) }

func wholeText(prompt string, length int) string {
	var text strings.Builder
	for offset := range length {
		text.WriteString(tokenText(prompt, offset))
	}
	return text.String()
}

// die drops every generation and makes the engine refuse connections.
func (e *fakeEngine) die() {
	e.dead = true
	for _, g := range e.generations {
		g.reader.end()
	}
	clear(e.generations)
}

// fakeFleet implements engine.Runner and engine.Canceler over engines by address.
type fakeFleet map[string]*fakeEngine

func (f fakeFleet) Start(ctx context.Context, address string, req engine.Generation) (engine.Events, error) {
	e := f[address]
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.dead {
		return nil, engine.NewError(pond.OutcomeNotSent, 0, false, syscall.ECONNREFUSED)
	}
	if e.leaving {
		return nil, engine.NewError(pond.OutcomeAnswered, http.StatusServiceUnavailable, true, io.EOF)
	}
	if e.startStatus != 0 {
		return nil, engine.NewError(pond.OutcomeAnswered, e.startStatus, false, io.EOF)
	}
	e.started = append(e.started, req.Generation)
	e.generations[req.Generation] = &fakeGeneration{prompt: req.Prompt, startedAt: time.Now()}
	reader := e.attach(ctx, req.Generation, 0)
	reader.slowUntil = e.slowUntil
	return reader, nil
}

func (f fakeFleet) Resume(ctx context.Context, address, generation string, offset int) (engine.Events, error) {
	e := f[address]
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.frozen {
		e.lock.Unlock()
		<-ctx.Done()
		e.lock.Lock()
		return nil, engine.NewError(pond.OutcomeMaybeSent, 0, false, context.Cause(ctx))
	}
	if e.dieOnResume {
		e.die()
	}
	if e.dead {
		return nil, engine.NewError(pond.OutcomeNotSent, 0, false, syscall.ECONNREFUSED)
	}
	if e.generations[generation] == nil {
		return nil, engine.NewError(pond.OutcomeAnswered, http.StatusNotFound, false, io.EOF)
	}
	reader := e.attach(ctx, generation, offset)
	reader.slowUntil = e.slowUntil
	return reader, nil
}

func (f fakeFleet) Cancel(_ context.Context, address, generation string) error {
	e := f[address]
	e.lock.Lock()
	defer e.lock.Unlock()
	e.canceled = append(e.canceled, generation)
	if g := e.generations[generation]; g != nil {
		g.reader.end()
	}
	delete(e.generations, generation)
	return nil
}

// Unread implements engine.ReaderChecker without delay.
func (f fakeFleet) Unread(_ context.Context, address, generation string) (bool, error) {
	e := f[address]
	e.lock.Lock()
	defer e.lock.Unlock()
	g := e.generations[generation]
	return g != nil && g.reader.closed, nil
}

func (e *fakeEngine) attach(ctx context.Context, generation string, offset int) *fakeEvents {
	g := e.generations[generation]
	if g.reader != nil {
		g.reader.superseded.Store(true)
		g.reader.end()
	}
	g.reader = &fakeEvents{ctx: ctx, engine: e, id: generation, generation: g, offset: offset, ended: make(chan struct{})}
	return g.reader
}

// fakeEvents is one connection to a fake engine.
type fakeEvents struct {
	ctx        context.Context
	engine     *fakeEngine
	id         string
	generation *fakeGeneration
	offset     int
	// repeats counts what is left of faultRepeat.
	repeats    int
	queue      []engine.Event
	ended      chan struct{}
	once       sync.Once
	closed     bool
	slowUntil  time.Time
	superseded atomic.Bool
}

func (r *fakeEvents) end() { r.once.Do(func() { close(r.ended) }) }

func (r *fakeEvents) Close() error {
	r.engine.lock.Lock()
	defer r.engine.lock.Unlock()
	r.closed = true
	return nil
}

func (r *fakeEvents) Next() (engine.Event, error) {
	event, err := r.next()
	if err != nil && r.superseded.Swap(false) {
		return engine.Event{Kind: engine.EventSuperseded, Generation: r.id}, nil
	}
	return event, err
}

func (r *fakeEvents) next() (engine.Event, error) {
	if !r.waitUntil(r.slowUntil) {
		return engine.Event{}, io.ErrUnexpectedEOF
	}
	for len(r.queue) == 0 {
		if !r.waitUntil(r.generation.startedAt.Add(time.Duration(r.offset+1) * tokenGap)) {
			return engine.Event{}, io.ErrUnexpectedEOF
		}
		if r.offset >= r.engine.length {
			r.queue = append(r.queue, engine.Event{Kind: engine.EventDone, Generation: r.id, Tokens: r.offset})
			break
		}
		if !r.produce() {
			return engine.Event{}, io.ErrUnexpectedEOF
		}
	}
	event := r.queue[0]
	r.queue = r.queue[1:]
	return event, nil
}

func (r *fakeEvents) waitUntil(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-r.ended:
		return false
	case <-r.ctx.Done():
		return false
	case <-timer.C:
	}
	// A connection that has ended must not deliver an event produced at the same time, or test runs would differ.
	select {
	case <-r.ended:
		return false
	default:
		return r.ctx.Err() == nil
	}
}

// produce queues the next event with the fault of its offset. It returns false if the connection ends.
func (r *fakeEvents) produce() bool {
	if r.repeats > 0 {
		return r.repeat()
	}
	r.engine.lock.Lock()
	f := r.engine.faults[r.offset]
	delete(r.engine.faults, r.offset)
	switch f {
	case faultDie:
		r.engine.die()
	case faultFreeze:
		r.engine.frozen = true
	}
	r.engine.lock.Unlock()
	event := r.tokenEvent(r.offset)
	switch f {
	case faultRepeat:
		r.repeats = maxRepeats
		return r.repeat()
	case faultSuperseded:
		r.superseded.Store(true)
		return false
	case faultDie, faultDisconnect:
		return false
	case faultStall, faultFreeze:
		<-r.ctx.Done()
		return false
	case faultDuplicate:
		r.queue = append(r.queue, event, event)
	case faultStaleEvent:
		r.queue = append(r.queue, r.tokenEvent(0), event)
	case faultOtherGeneration:
		other := event
		other.Generation, other.Text = "other.1.1", "wrong "
		r.queue = append(r.queue, other, event)
	case faultMissing:
	default:
		r.queue = append(r.queue, event)
	}
	r.offset++
	return true
}

// repeat queues the first event again after a second. It returns false if the connection ends.
func (r *fakeEvents) repeat() bool {
	r.repeats--
	r.queue = append(r.queue, r.tokenEvent(0))
	return r.repeats > 0 && r.waitUntil(time.Now().Add(time.Second))
}

func (r *fakeEvents) tokenEvent(offset int) engine.Event {
	return engine.Event{Generation: r.id, Offset: offset, Text: tokenText(r.generation.prompt, offset)}
}

// fakePlacer places on the first engine by name that is not to be avoided.
type fakePlacer struct {
	lock  sync.Mutex
	names []string
	ended []pond.PlacementEnd
	open  int
}

func (p *fakePlacer) Place(_ context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, name := range p.names {
		if !slices.Contains(req.Avoid, name) {
			p.open++
			return &fakePlacement{placer: p, name: name}, nil
		}
	}
	return nil, pond.NewRefusal(pond.ReasonNoBackend, pond.RunNo, time.Time{}, "no engine is left")
}

type fakePlacement struct {
	placer *fakePlacer
	name   string
	done   bool
}

func (p *fakePlacement) Backend() (name, address string) { return p.name, p.name }

func (p *fakePlacement) Progress(int, time.Time) {}

func (p *fakePlacement) Done(end pond.PlacementEnd, _ time.Time) {
	p.placer.lock.Lock()
	defer p.placer.lock.Unlock()
	if p.done {
		panic("Done was called twice")
	}
	p.done = true
	p.placer.open--
	p.placer.ended = append(p.placer.ended, end)
}

// recorder is the sink of a caller. It records what it receives.
type recorder struct {
	text    strings.Builder
	offsets []int
	cursor  string
	last    stream.Item
	// disconnectAfter is the number of tokens after which the caller disconnects; zero means never.
	disconnectAfter int
	onItem          func(stream.Item)
}

func (r *recorder) Deliver(item stream.Item) error {
	if r.onItem != nil {
		r.onItem(item)
	}
	if r.disconnectAfter > 0 && len(r.offsets) == r.disconnectAfter {
		return io.ErrClosedPipe
	}
	if item.Kind == stream.ItemToken {
		r.offsets = append(r.offsets, item.Offset)
		r.text.WriteString(item.Text)
	}
	if item.Cursor != "" {
		r.cursor = item.Cursor
	}
	r.last = item
	return nil
}

// cluster is a set of instances in front of the same engines.
type cluster struct {
	fleet  fakeFleet
	placer *fakePlacer
	// blockPlacement blocks placements until it is closed, regardless of their context.
	blockPlacement chan struct{}
	// unconfirmed is true if the manifest is not confirmed.
	unconfirmed bool
	refs        map[pond.InstanceID]pond.InstanceRef
	relays      map[pond.InstanceID]*stream.Relay
	states      map[pond.InstanceID]pond.InstanceState
	// unreachable instances do not respond to other instances.
	unreachable map[pond.InstanceID]bool
}

func newCluster(fleet fakeFleet, ids ...pond.InstanceID) *cluster {
	c := &cluster{
		fleet:       fleet,
		placer:      &fakePlacer{},
		refs:        map[pond.InstanceID]pond.InstanceRef{},
		relays:      map[pond.InstanceID]*stream.Relay{},
		states:      map[pond.InstanceID]pond.InstanceState{},
		unreachable: map[pond.InstanceID]bool{},
	}
	for name := range fleet {
		c.placer.names = append(c.placer.names, name)
	}
	slices.Sort(c.placer.names)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, id := range ids {
		c.states[id] = pond.InstanceLive
		c.refs[id] = pond.InstanceRef{ID: id, Incarnation: pond.Incarnation(i + 1)}
		c.relays[id] = stream.NewRelay(stream.Options{
			Ref:       c.refs[id],
			Placer:    pond.PlacerFunc(c.place),
			Runner:    fleet,
			Cancel:    fleet,
			Observer:  fleet,
			MACKey:    []byte("0123456789abcdef"),
			Address:   func(backend string) (string, bool) { return backend, true },
			Directory: clusterDirectory{c, id},
			Release:   c.release,
			Confirmed: func(time.Time) bool { return !c.unconfirmed },
			Log:       log,
		})
	}
	return c
}

func (c *cluster) instance(id pond.InstanceID) pond.Instance {
	return pond.NewInstance(c.refs[id], c.states[id], string(id), string(id), "", "")
}

func (c *cluster) place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	if c.blockPlacement != nil {
		<-c.blockPlacement
	}
	return c.placer.Place(ctx, req)
}

func (c *cluster) release(ctx context.Context, address string, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
	id := pond.InstanceID(address)
	time.Sleep(peerDelay)
	if c.states[id] == pond.InstanceGone || c.unreachable[id] {
		return nil, syscall.ECONNREFUSED
	}
	resp, err := c.relays[id].ReleaseStream(ctx, req)
	if resp.GetReleased() {
		time.Sleep(releaseDelay)
	}
	return resp, err
}

// resume resumes a response at an instance with a cursor, as a caller of the account "acme".
func (c *cluster) resume(ctx context.Context, id pond.InstanceID, text string, sink stream.Sink) error {
	cursor, err := c.relays[id].OpenCursor(text, "acme")
	if err != nil {
		return err
	}
	return c.relays[id].Resume(ctx, stream.ResumeRequest{Cursor: cursor, Deadline: time.Now().Add(time.Minute)}, sink)
}

// clusterDirectory is the directory as one instance sees it.
type clusterDirectory struct {
	cluster *cluster
	self    pond.InstanceID
}

func (d clusterDirectory) Self() pond.Instance { return d.cluster.instance(d.self) }

func (d clusterDirectory) Instances() []pond.Instance {
	var instances []pond.Instance
	for id, state := range d.cluster.states {
		if state != pond.InstanceGone {
			instances = append(instances, d.cluster.instance(id))
		}
	}
	return instances
}

func testRequest(prompt string) stream.Request {
	return stream.Request{Account: "acme", Model: "letters", Prompt: prompt, Deadline: time.Now().Add(time.Minute)}
}
