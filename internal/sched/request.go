package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// notQueued is the heapIndex of a request that is in no flow.
const notQueued = -1

// minOutputTokens is the least output for which memory is reserved.
const minOutputTokens = 16

// Request describes one generation that needs an engine.
type Request struct {
	// ID is unique among the requests of the scheduler.
	ID      string
	Account string
	// Weight is the account's fair share relative to other accounts. Values below 1 count as 1.
	Weight       int
	Version      string
	Adapter      string
	Class        pond.Class
	Priority     int
	PromptTokens int
	// MaxTokens is the maximum output length and must be positive.
	MaxTokens int
	// PrefixHash identifies the cached prompt prefix; zero means none.
	PrefixHash uint64
	// Deadline is the time by which the complete output is due; zero means the policy's default.
	Deadline time.Time
	// MaxLoad is the greatest load, with the request, at which an engine may get it. If all are above it, the request is
	// refused at once instead of queued. Zero is no limit.
	MaxLoad float64
	// Avoid names engines that must not get the request.
	Avoid []string
	// Retry is true if an engine has failed the request before.
	Retry bool
	// Origin is returned with the decision; the scheduler does not interpret it.
	Origin uint64
	// Regions are the regions in which the request may run. The engines of the scheduler are all in an allowed one.
	Regions pond.Regions
	// Target is the time from the offer within which the first event is due; zero if there is none.
	Target time.Duration
	// Waited is the time for which the request waited before this offer. Its wait counts from then.
	Waited time.Duration
	// Stays is true if the request must not be sent to another region.
	Stays bool
}

// Progress reports the output of a running request since the last report.
type Progress struct {
	// Tokens is the total number of tokens emitted so far.
	Tokens int
	// Gap is the mean time between tokens since the last report; zero if there was none.
	Gap time.Duration
	// FirstToken is the time from dispatch to the first token; zero if it was reported before.
	FirstToken time.Duration
}

// End describes how a running request ended.
type End struct {
	Tokens int
	// Complete is true if the output was generated to its end, so that its length is learned.
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
	// Urgent is true with VerdictServe if the engine should read the prompt before others that wait there.
	Urgent bool
	// Region is set with VerdictSend. Here and There are the predicted times until the first event.
	Region      string
	Here, There time.Duration
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

// reservation is the memory reserved for a request: the expected tokens and their variance.
type reservation struct {
	tokens   int
	variance float64
}

type request struct {
	id           string
	origin       uint64
	account      table.Slot
	version      string
	adapter      string
	class        pond.Class
	priority     int
	promptTokens int
	maxOutput    int
	prefixHash   uint64
	deadline     time.Time
	maxLoad      float64
	avoid        []string
	regions      pond.Regions
	target       time.Duration
	stays        bool
	// expectedStart is the predicted time of the start when the request was queued; zero if it is not known. RawWait is the
	// predicted wait without the correction by waitRatio.
	expectedStart time.Time
	rawWait       time.Duration
	queuedAt      time.Time

	offeredAt time.Time
	serial    uint64
	queue     queueKind
	// predictedOutput is the total output length at the policy's quantile, and demand what the request should reserve.
	predictedOutput int
	demand          reservation
	serviceTime     time.Duration
	heapIndex       int // index in the account's flow while waiting, or notQueued

	engine   table.Slot // table.None while waiting
	reserved reservation
	emitted  int
	// repredictAt is the output length at which the prediction is updated.
	repredictAt  int
	repredictDue bool
	inPrefill    bool      // the prompt counts as in prefill on the engine
	startQueue   queueKind // queue at the start; startCost is the request's cost then

	// moving is true while the request's memory is copied from the engine named source to its current engine.
	moving bool
	// afterMove is true until the first progress report after a move.
	afterMove    bool
	source       string
	moveDeadline time.Time
	// moveAfter is the time from which a move may be retried, and moveFailed the target of the last failed move.
	moveAfter  time.Time
	moveFailed string
	startCost  float64
}

func (r *request) waiting() bool { return r.engine == table.None }

func (r *request) fill(spec Request) {
	r.id, r.origin = spec.ID, spec.Origin
	r.version, r.adapter, r.class = spec.Version, spec.Adapter, spec.Class
	r.priority, r.prefixHash, r.avoid = spec.Priority, spec.PrefixHash, spec.Avoid
	r.promptTokens, r.maxOutput = max(spec.PromptTokens, 0), max(spec.MaxTokens, 1)
	r.deadline, r.maxLoad = spec.Deadline, spec.MaxLoad
	r.regions, r.target, r.stays = spec.Regions, spec.Target, spec.Stays
	r.engine = table.None
	r.heapIndex = notQueued
}
