package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// notQueued is the position of a request that is in no flow.
const notQueued = -1

// minOutputTokens is the least output for which memory is reserved.
const minOutputTokens = 16

// Request describes one generation that needs an engine.
type Request struct {
	// ID is unique among the requests of the scheduler.
	ID      string
	Account string
	// Weight is the account's share relative to other accounts; values below 1 count as 1.
	Weight   int
	Version  string
	Adapter  string
	Class    pond.Class
	Priority int
	// PromptTokens and MaxTokens are in tokens; MaxTokens must be positive.
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the cached prompt prefix; zero means none.
	PrefixHash uint64
	// Deadline is the time by which the whole answer is due; zero means the policy's default.
	Deadline time.Time
	// Avoid names engines that must not get the request.
	Avoid []string
	// Retry is true if an engine has failed the request before.
	Retry bool
	// Origin is returned with the decision; the scheduler does not interpret it.
	Origin uint64
}

// Progress tells what a running request has shown since the last report.
type Progress struct {
	// Tokens is the whole number of tokens shown so far.
	Tokens int
	// Gap is the mean time between tokens since the last report; zero if there was none.
	Gap time.Duration
	// FirstToken is the time from dispatch to the first token; zero if it was reported before.
	FirstToken time.Duration
}

// End tells how a running request ended.
type End struct {
	Tokens int
	// Complete is true if the output reached its end, so that its length is learned.
	Complete bool
	// BackendFailed is true if the engine failed the request.
	BackendFailed bool
}

// Decision is the scheduler's answer for one request.
type Decision struct {
	ID      string
	Origin  uint64
	Verdict Verdict
	// Engine is set with VerdictServe and VerdictMove, and Source with VerdictMove.
	Engine string
	Source string
	// Reason, RetryAt and Detail are set with VerdictRefuse.
	Reason  pond.Reason
	RetryAt time.Time
	Detail  string
}

type queueKind int

const (
	queueShort queueKind = iota
	queueLong
	queueCount
)

// claim is the memory that a request takes up: expected tokens and their variance.
type claim struct {
	tokens   int
	variance float64
}

type request struct {
	id       string
	origin   uint64
	account  table.Slot
	version  string
	adapter  string
	class    pond.Class
	priority int
	prompt   int
	maxOut   int
	prefix   uint64
	deadline time.Time
	avoid    []string

	offeredAt time.Time
	serial    uint64
	queue     queueKind
	// predicted is the whole output length, at the policy's quantile, and want what the request should hold.
	predicted int
	want      claim
	service   time.Duration
	position  int // index in the account's flow while waiting, or notQueued

	engine table.Slot // table.None while waiting
	held   claim
	shown  int
	// regrowAt is the output length at which the prediction is made again.
	regrowAt int
	growing  bool
	unread   bool      // the prompt counts as unread on the engine
	admitted queueKind // queue and cost when it started

	// moving is true while the request's memory is copied from the engine source to its present engine.
	moving bool
	// afterMove is true until the first report after a move.
	afterMove    bool
	source       string
	moveDeadline time.Time
	// moveAfter is the time from which a move may be tried again, and moveFailed the engine of the last failed one.
	moveAfter  time.Time
	moveFailed string
	booked     float64
}

func (r *request) waiting() bool { return r.engine == table.None }

func (r *request) fill(spec Request) {
	r.id, r.origin = spec.ID, spec.Origin
	r.version, r.adapter, r.class = spec.Version, spec.Adapter, spec.Class
	r.priority, r.prefix, r.avoid = spec.Priority, spec.PrefixHash, spec.Avoid
	r.prompt, r.maxOut = max(spec.PromptTokens, 0), max(spec.MaxTokens, 1)
	r.deadline = spec.Deadline
	r.engine = table.None
	r.position = notQueued
}
