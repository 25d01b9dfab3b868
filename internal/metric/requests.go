package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxAccounts bounds the label values for client accounts; further ones share the label otherAccounts.
const (
	maxAccounts   = 64
	otherAccounts = "other"
)

// Requests holds the metrics of the requests that package relay serves.
type Requests struct {
	ended      *prometheus.CounterVec
	total      *prometheus.HistogramVec
	byAccount  *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	moves      *prometheus.CounterVec
	notice     prometheus.Histogram
	copyTime   prometheus.Histogram
	pause      prometheus.Histogram
	accounts   labelSet
}

// Outcomes of moves.
const (
	MoveResumed      = "resumed"
	MoveNotCopied    = "notCopied"
	MoveNotResumed   = "notResumed"
	MoveNotNecessary = "notNecessary"
)

// Causes of moves.
const (
	MoveLeaving = "engineLeaves"
	MoveSlow    = "engineSlow"
)

// NewRequests returns the metrics of requests, registered with m.
func NewRequests(m *Metrics) *Requests {
	r := &Requests{
		ended: counter("requests_ended_total", "Requests by kind of route, outcome and reason.", "kind", "outcome", "reason"),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "relay_seconds", Help: "Time from the request to the end of its answer.",
			Buckets: totalBuckets,
		}, []string{"kind"}),
		byAccount: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "account_seconds", Help: "Time from the request to the end of its answer.",
			Buckets: totalBuckets,
		}, []string{"account"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "first_event_seconds", Help: "Time from the request to its first event.",
			Buckets: waitBuckets,
		}, []string{"route"}),
		moves: counter("moves_total", "Moves of runs to other engines, by cause and outcome.", "cause", "outcome"),
		notice: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_notice_seconds",
			Help:    "Time from the notice that an engine leaves until the order to move a run arrives.",
			Buckets: waitBuckets,
		}),
		copyTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_copy_seconds", Help: "Time to copy a run to another engine.", Buckets: waitBuckets,
		}),
		pause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: Namespace, Name: "move_pause_seconds", Help: "Time from the end of one engine's stream to the next one's head.",
			Buckets: gapBuckets,
		}),
		accounts: labelSet{limit: maxAccounts, other: otherAccounts},
	}
	m.registry.MustRegister(r.ended, r.total, r.byAccount, r.firstEvent, r.moves, r.notice, r.copyTime, r.pause)
	return r
}

// Ended counts the end of a request.
func (r *Requests) Ended(kind, outcome string, reason pond.Reason, account string, elapsed time.Duration) {
	cause := ""
	if outcome != "answered" {
		cause = reason.String()
	}
	r.ended.WithLabelValues(kind, outcome, cause).Inc()
	r.total.WithLabelValues(kind).Observe(elapsed.Seconds())
	r.byAccount.WithLabelValues(r.accounts.label(account)).Observe(elapsed.Seconds())
}

// FirstEvent records the time to the first event of a stream.
func (r *Requests) FirstEvent(route string, elapsed time.Duration) {
	r.firstEvent.WithLabelValues(route).Observe(elapsed.Seconds())
}

// MoveOrdered records the time from the notice that an engine leaves until the order to move a run of it.
func (r *Requests) MoveOrdered(sinceNotice time.Duration) { r.notice.Observe(sinceNotice.Seconds()) }

// MoveEnded counts a move.
func (r *Requests) MoveEnded(cause, outcome string) { r.moves.WithLabelValues(cause, outcome).Inc() }

// Moved records a run that went on on another engine.
func (r *Requests) Moved(copied, pause time.Duration) {
	r.copyTime.Observe(copied.Seconds())
	r.pause.Observe(pause.Seconds())
}
