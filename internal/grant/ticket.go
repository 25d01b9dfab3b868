package grant

import (
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// holder decides about requests of this instance and keeps account of those that run: a pool of this instance or a
// link to the home. All methods are called with the placer's lock held and do not block on the network.
type holder interface {
	// offer asks for a decision. If decided is false, the decision comes later.
	offer(t *ticket, now time.Time) (decision sched.Decision, decided bool)
	register(t *ticket, now time.Time)
	progress(id string, progress sched.Progress, now time.Time)
	finish(id string, end sched.End, now time.Time)
	// moved tells how a move of a running request ended.
	moved(id, target string, ok bool, now time.Time)
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketEnded
)

// answer is the one decision that a caller of Place gets.
type answer struct{ refusal *pond.Refusal }

// ticket is one request of this instance from Place to Done. The placer's lock protects it, but for the output.
type ticket struct {
	placer *Placer
	req    pond.PlaceRequest
	key    poolKey
	state  ticketState
	holder holder
	// offeredAt is the time of the last offer, from which the silence of a home counts.
	offeredAt time.Time
	offers    int
	// retry is true if the caller named engines that failed the request. Engines that this instance does not accept are
	// avoided too, but they never got it.
	retry   bool
	answers chan answer
	moves   chan pond.Move

	backend string
	address string

	placedAt time.Time
	output   output
	reportAt time.Time // when the next report may be sent
}

// mark is a number of tokens and the time at which the last of them came.
type mark struct {
	tokens int
	at     time.Time
}

// output is what the engine has shown of one request.
type output struct {
	mu    sync.Mutex
	first mark
	last  mark
	sent  mark // as of the last report
}

// show notes the whole number of tokens.
func (o *output) show(tokens int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = mark{tokens: tokens, at: now}
	if o.first.at.IsZero() {
		o.first = o.last
	}
}

func (o *output) tokens() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last.tokens
}

// report returns what was shown since the last report, and false if that is nothing. An event may hold several tokens, so
// those of the first one took no time that could be measured: a gap that counted them would make an engine look up to
// twice as fast as it is.
func (o *output) report(placedAt time.Time) (sched.Progress, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last.tokens <= o.sent.tokens {
		return sched.Progress{}, false
	}
	progress := sched.Progress{Tokens: o.last.tokens}
	since := o.sent
	if o.sent.tokens == 0 {
		progress.FirstToken = max(o.first.at.Sub(placedAt), 1)
		since = o.first
	}
	if made := o.last.tokens - since.tokens; made > 0 {
		progress.Gap = o.last.at.Sub(since.at) / time.Duration(made)
	}
	o.sent = o.last
	return progress, true
}

// Backend implements pond.Placement.
func (t *ticket) Backend() (name, address string) { return t.backend, t.address }

// Progress implements pond.Placement. It is called for each event, so it only stores; the next flush reports it.
func (t *ticket) Progress(tokens int, now time.Time) { t.output.show(tokens, now) }

// Done implements pond.Placement.
func (t *ticket) Done(end pond.PlacementEnd, now time.Time) {
	tokens := max(end.Tokens, t.output.tokens())
	t.placer.end(t, sched.End{Tokens: tokens, Complete: end.Complete, BackendFailed: end.BackendFailed}, now)
}

// askMove passes a move on to the caller. A newer move replaces one that the caller has not taken yet.
func (t *ticket) askMove(move pond.Move) {
	select {
	case <-t.moves:
	default:
	}
	t.moves <- move
}

// Moves implements pond.MovablePlacement.
func (t *ticket) Moves() <-chan pond.Move { return t.moves }

// Moved implements pond.MovablePlacement.
func (t *ticket) Moved(move pond.Move, ok bool, now time.Time) {
	t.placer.moved(t, move.Backend, ok, now)
}

// report returns what the ticket has shown since the last report, and false if that is nothing.
func (t *ticket) report() (sched.Progress, bool) { return t.output.report(t.placedAt) }

// localHolder makes a pool of this instance a holder.
type localHolder struct{ *pool }

func (h localHolder) offer(t *ticket, now time.Time) (sched.Decision, bool) {
	decision := h.pool.offer(requestOf(t.req, t.retry), now)
	return decision, decision.Verdict != sched.VerdictWait
}

func (h localHolder) register(t *ticket, now time.Time) {
	h.pool.register(requestOf(t.req, t.retry), t.backend, t.output.tokens(), now)
}
