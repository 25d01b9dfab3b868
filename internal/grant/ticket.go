package grant

import (
	"sync/atomic"
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

// ticket is one request of this instance from Place to Done. The placer's lock protects it, but for the counters.
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
	shown    atomic.Int64 // tokens
	shownAt  atomic.Int64 // Unix nanoseconds
	firstAt  atomic.Int64 // Unix nanoseconds of the first token
	reportAt time.Time    // when the next report may be sent
	sent     int64        // tokens in the last report
	sentAt   int64
}

// Backend implements pond.Placement.
func (t *ticket) Backend() (name, address string) { return t.backend, t.address }

// Progress implements pond.Placement. It is called for each token, so it only stores; the next flush reports it.
func (t *ticket) Progress(tokens int, now time.Time) {
	nanos := now.UnixNano()
	if t.firstAt.Load() == 0 {
		t.firstAt.Store(nanos)
	}
	t.shownAt.Store(nanos)
	t.shown.Store(int64(tokens))
}

// Done implements pond.Placement.
func (t *ticket) Done(end pond.PlacementEnd, now time.Time) {
	tokens := max(end.Tokens, int(t.shown.Load()))
	t.placer.end(t, sched.End{Tokens: tokens, Complete: end.Complete, BackendFailed: end.BackendFailed}, now)
}

// askMove passes a move on to the caller. A newer move replaces one that the caller has not taken yet.
func (t *ticket) askMove(target string) {
	select {
	case <-t.moves:
	default:
	}
	t.moves <- pond.Move{Backend: target}
}

// Moves implements pond.MovablePlacement.
func (t *ticket) Moves() <-chan pond.Move { return t.moves }

// Moved implements pond.MovablePlacement.
func (t *ticket) Moved(move pond.Move, ok bool, now time.Time) {
	t.placer.moved(t, move.Backend, ok, now)
}

// report returns what the ticket has shown since the last report, and false if that is nothing.
func (t *ticket) report() (sched.Progress, bool) {
	shown, shownAt := t.shown.Load(), t.shownAt.Load()
	if shown <= t.sent {
		return sched.Progress{}, false
	}
	progress := sched.Progress{Tokens: int(shown)}
	if t.sent == 0 {
		firstAt := t.firstAt.Load()
		progress.FirstToken = max(time.Duration(firstAt-t.placedAt.UnixNano()), 1)
		if shown > 1 {
			progress.Gap = time.Duration((shownAt - firstAt) / (shown - 1))
		}
	} else {
		progress.Gap = time.Duration((shownAt - t.sentAt) / (shown - t.sent))
	}
	t.sent, t.sentAt = shown, shownAt
	return progress, true
}

// localHolder makes a pool of this instance a holder.
type localHolder struct{ *pool }

func (h localHolder) offer(t *ticket, now time.Time) (sched.Decision, bool) {
	decision := h.pool.offer(requestOf(t.req, t.retry), now)
	return decision, decision.Verdict != sched.VerdictWait
}

func (h localHolder) register(t *ticket, now time.Time) {
	h.pool.register(requestOf(t.req, t.retry), t.backend, int(t.shown.Load()), now)
}
