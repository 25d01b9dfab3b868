package place

import (
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// coordinator decides about requests of this instance and tracks the running ones: either a pool of this instance or
// the stream to the home. All methods are called with the placer's lock held and do not block on the network.
type coordinator interface {
	// offer asks for a decision. If decided is false, the decision comes later.
	offer(r *localRequest, now time.Time) (decision sched.Decision, decided bool)
	// register adds a request that already runs.
	register(r *localRequest, now time.Time)
	progress(id string, progress sched.Progress, now time.Time)
	finish(id string, end sched.End, now time.Time)
	// moveEnded reports how a move of a running request ended.
	moveEnded(id, target string, ok bool, now time.Time)
}

type requestState int

const (
	requestWaiting requestState = iota
	requestRunning
	requestEnded
)

// placeResult is the final decision that a caller of Place gets; refusal is nil if the request has an engine.
type placeResult struct{ refusal *pond.Refusal }

// localRequest is one request of this instance from Place to Done, and its placement. The placer's lock protects all
// fields but output.
type localRequest struct {
	placer      *Placer
	req         pond.PlaceRequest
	key         poolKey
	state       requestState
	coordinator coordinator
	// offeredAt is the time of the last offer, from which homeTimeout counts.
	offeredAt time.Time
	offers    int
	// retry is true if the caller named engines that failed the request. req.Avoid also holds excluded engines, and chosen
	// ones that do not accept work by this instance's view, but those never received the request.
	retry bool
	// firstOfferedAt is the time of the first offer, from which the wait of the request counts.
	firstOfferedAt time.Time
	// ownRegion is the region of this instance, and sendable is true if the request was first offered in it and its home may
	// send it to another one.
	ownRegion string
	sendable  bool
	// sentTo is the region to which the home of the own region has sent the request; empty if it is offered in its own
	// one. If it has no engine at returnAt, it returns, and then it stays.
	sentTo   string
	returnAt time.Time
	returned bool
	// maxLoad is the load limit of the request; see sched.Request.
	maxLoad float64
	// restricted is true if the request may run in some regions only, and withoutHome if this instance decides about it in another region
	// because the home there is lost.
	restricted  bool
	withoutHome bool
	result      chan placeResult
	moves       chan pond.Move

	backend string
	address string
	urgent  bool

	placedAt       time.Time
	output         output
	nextProgressAt time.Time // when progress may be reported again
}

// outputSample is a token count and the time at which the last of these tokens arrived.
type outputSample struct {
	tokens int
	at     time.Time
}

// output tracks the tokens that an engine has produced for one request.
type output struct {
	mu       sync.Mutex
	first    outputSample
	last     outputSample
	reported outputSample // at the last progress report
}

// update records the total number of tokens so far.
func (o *output) update(tokens int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = outputSample{tokens: tokens, at: now}
	if o.first.at.IsZero() {
		o.first = o.last
	}
}

func (o *output) tokens() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last.tokens
}

// unreported returns the progress since the last call, and false if there is none. An event may hold several tokens.
// The time for those of the first event is unknown, so the gap leaves them out: counting them would make an engine look
// up to twice as fast as it is.
func (o *output) unreported(placedAt time.Time) (sched.Progress, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last.tokens <= o.reported.tokens {
		return sched.Progress{}, false
	}
	progress := sched.Progress{Tokens: o.last.tokens}
	since := o.reported
	if o.reported.tokens == 0 {
		progress.FirstToken = max(o.first.at.Sub(placedAt), 1)
		since = o.first
	}
	if newTokens := o.last.tokens - since.tokens; newTokens > 0 {
		progress.Gap = o.last.at.Sub(since.at) / time.Duration(newTokens)
	}
	o.reported = o.last
	return progress, true
}

// Backend implements pond.Placement.
func (r *localRequest) Backend() (name, address string) { return r.backend, r.address }

// Urgent implements pond.UrgentPlacement.
func (r *localRequest) Urgent() bool { return r.urgent }

// Progress implements pond.Placement. It is called for each event, so it only stores the count; the next reportProgress
// sends it.
func (r *localRequest) Progress(tokens int, now time.Time) { r.output.update(tokens, now) }

// Done implements pond.Placement.
func (r *localRequest) Done(end pond.PlacementEnd, now time.Time) {
	tokens := max(end.Tokens, r.output.tokens())
	r.placer.endRequest(r, sched.End{Tokens: tokens, Complete: end.Complete, BackendFailed: end.BackendFailed}, now)
}

// requestMove asks the caller to move the generation. A newer move replaces one that the caller has not received yet.
func (r *localRequest) requestMove(move pond.Move) {
	select {
	case <-r.moves:
	default:
	}
	r.moves <- move
}

// Moves implements pond.MovablePlacement.
func (r *localRequest) Moves() <-chan pond.Move { return r.moves }

// FinishMove implements pond.MovablePlacement.
func (r *localRequest) FinishMove(move pond.Move, ok bool, now time.Time) {
	r.placer.reportMoveEnd(r, move.Backend, ok, now)
}

// unreported returns the progress since the last call, and false if there is none.
func (r *localRequest) unreported() (sched.Progress, bool) { return r.output.unreported(r.placedAt) }

// localCoordinator adapts a pool of this instance to coordinator.
type localCoordinator struct{ *pool }

func (c localCoordinator) offer(r *localRequest, now time.Time) (sched.Decision, bool) {
	decision := c.pool.offer(requestOf(r, now), "", now)
	return decision, decision.Verdict != sched.VerdictWait
}

func (c localCoordinator) register(r *localRequest, now time.Time) {
	c.pool.register(requestOf(r, now), r.backend, r.output.tokens(), now)
}
