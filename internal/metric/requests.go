package metric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxAccounts bounds the label values for client accounts; further accounts share the value otherAccounts.
const (
	maxAccounts   = 64
	otherAccounts = "other"
)

// Requests holds the metrics of the requests that package relay serves.
type Requests struct {
	ended             *prometheus.CounterVec
	duration          *prometheus.HistogramVec
	durationByAccount *prometheus.HistogramVec
	firstEventTime    *prometheus.HistogramVec
	moves             *prometheus.CounterVec
	moveDelay         prometheus.Histogram
	copyTime          prometheus.Histogram
	pauseTime         prometheus.Histogram
	limited           *prometheus.CounterVec
	backoffs          *prometheus.CounterVec
	cuts              *prometheus.CounterVec
	unproven          *prometheus.CounterVec
	accounts          labelSet
}

// Outcomes of moves.
const (
	MoveResumed      = "resumed"
	MoveNotCopied    = "notCopied"
	MoveNotResumed   = "notResumed"
	MoveNotNecessary = "notNecessary"
)

// Outcomes of requests for backend servers that name a limit.
const (
	LimitedSent   = "sent"
	LimitedDenied = "denied"
)

// Events of back-offs that backend servers ask for.
const (
	BackoffRequested = "requested"
	BackoffRefused   = "refused"  // a request for which no other server was left
	BackoffViolated  = "violated" // a request that was sent during a back-off
)

// Causes of moves.
const (
	MoveLeaving = "engineLeaves"
	MoveSlow    = "engineSlow"
	MoveHelper  = "helperEnds"
)

// NewRequests returns the metrics of requests, registered with m.
func NewRequests(m *Metrics) *Requests {
	r := &Requests{
		ended: newCounter("requests_ended_total", "Requests by kind of route, outcome and reason.", "kind", "outcome", "reason"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "relay_seconds", Help: "Time from the request to the end of its answer.",
			Buckets: durationBuckets,
		}, []string{"kind"}),
		durationByAccount: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "account_seconds", Help: "Time from the request to the end of its answer.",
			Buckets: durationBuckets,
		}, []string{"account"}),
		firstEventTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "first_event_seconds", Help: "Time from the request to its first event.",
			Buckets: waitBuckets,
		}, []string{"route"}),
		moves: newCounter("moves_total", "Moves of runs to other engines, by cause and outcome.", "cause", "outcome"),
		moveDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_notice_seconds",
			Help:    "Time from the notice that an engine leaves until the order to move a run arrives.",
			Buckets: waitBuckets,
		}),
		copyTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_copy_seconds", Help: "Time to copy a run to another engine.", Buckets: waitBuckets,
		}),
		pauseTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_pause_seconds", Help: "Time from the end of one engine's stream to the next one's head.",
			Buckets: gapBuckets,
		}),
		limited: newCounter("limited_requests_total", "Requests for backend servers that name a limit, by service and outcome.",
			"service", "outcome"),
		backoffs: newCounter("backoffs_total", "Back-offs that backend servers asked for, and requests under them, by service and event.", "service", "event"),
		cuts:     newCounter("requests_cut_total", "Requests that the end of a shutdown cut off, by the stage that they had reached.", "stage"),
		unproven: newCounter("unproven_rejections_total",
			"Answers of backend servers with the status of a rejection that do not state that the request was not run, by service and status.", "service", "status"),
		accounts: labelSet{limit: maxAccounts, other: otherAccounts},
	}
	m.registry.MustRegister(
		r.ended, r.duration, r.durationByAccount, r.firstEventTime, r.moves, r.moveDelay, r.copyTime, r.pauseTime, r.limited, r.backoffs, r.cuts, r.unproven)
	return r
}

// RecordEnd records the end of a request.
func (r *Requests) RecordEnd(kind, outcome string, reason pond.Reason, account string, elapsed time.Duration) {
	reasonLabel := ""
	if outcome != "answered" {
		reasonLabel = reason.String()
	}
	r.ended.WithLabelValues(kind, outcome, reasonLabel).Inc()
	r.duration.WithLabelValues(kind).Observe(elapsed.Seconds())
	r.durationByAccount.WithLabelValues(r.accounts.label(account)).Observe(elapsed.Seconds())
}

// RecordFirstEvent records the time to the first event of a stream.
func (r *Requests) RecordFirstEvent(route string, elapsed time.Duration) {
	r.firstEventTime.WithLabelValues(route).Observe(elapsed.Seconds())
}

// RecordMoveDelay records the time from the notice that an engine leaves until the order to move one of its runs.
func (r *Requests) RecordMoveDelay(delay time.Duration) { r.moveDelay.Observe(delay.Seconds()) }

// CountMove counts a move that ended, by cause and outcome.
func (r *Requests) CountMove(cause, outcome string) { r.moves.WithLabelValues(cause, outcome).Inc() }

// RecordMoveTimes records the copy time and the pause of a run that continued on another engine.
func (r *Requests) RecordMoveTimes(copied, pause time.Duration) {
	r.copyTime.Observe(copied.Seconds())
	r.pauseTime.Observe(pause.Seconds())
}

// CountCut counts a request that the end of a shutdown cut off, by the stage that it had reached.
func (r *Requests) CountCut(stage string) { r.cuts.WithLabelValues(stage).Inc() }

// CountBackoff counts an event of back-offs that backend servers ask for.
func (r *Requests) CountBackoff(service, event string) {
	r.backoffs.WithLabelValues(service, event).Inc()
}

// CountLimited counts a request for a backend server that names a limit, by outcome.
func (r *Requests) CountLimited(service, outcome string) {
	r.limited.WithLabelValues(service, outcome).Inc()
}

// CountUnprovenRejection counts an answer of a backend server with the status of a rejection that does not state that the request was not run.
func (r *Requests) CountUnprovenRejection(service string, status int) {
	r.unproven.WithLabelValues(service, strconv.Itoa(status)).Inc()
}
