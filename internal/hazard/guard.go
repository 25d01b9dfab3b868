package hazard

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// exchangeInterval is the time between two exchanges of all crashes with another instance.
	exchangeInterval = 3 * time.Second

	// maxTurns spreads the instances with which the others begin.
	maxTurns = 1 << 16

	// noHomeDelay is the time after which a caller may return if no instance answers that could permit an experiment.
	noHomeDelay = time.Second
)

// Client calls the peer service of another instance.
type Client interface {
	Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error)
	Experiment(ctx context.Context, req *peerpb.ExperimentRequest) (*peerpb.ExperimentResponse, error)
}

// Options configures a Guard. All fields are required.
type Options struct {
	// Self is the name of this instance.
	Self pond.InstanceID
	// Homes returns the instances that may permit experiments with a part, the home first.
	Homes func(part string) []pond.Instance
	// Peers returns the instances that share their crashes.
	Peers func() []pond.Instance
	// Connect returns a drpc connection to a peer address, and Client the client of the peer service on it.
	Connect func(peerAddress string) drpc.Conn
	Client  func(conn drpc.Conn) Client
	// Judge decides about a request by the crashes that are known.
	Judge Judge
	// RemembersSound is true if parts that were found sound are not suspected in later crashes. It is false for what hardly comes twice.
	RemembersSound bool
	// Ended reports whether an engine that broke a request off has ended. It may take some time.
	Ended func(ctx context.Context, engine string) bool
	// Clock includes the time for which the machine was suspended.
	Clock func() time.Time
	// Disabled records and exchanges nothing.
	Disabled bool
	Log      logrus.FieldLogger
}

// Guard decides for one instance which generations may run, and shares what it knows with the others. It is safe for
// concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex
	table    *Table
	revision int // rises whenever the table changes, or another instance is told that this one keeps its crashes until it stops
	keeping  keeping
	met      bool // another instance has been known since the start
	passOns  int  // since the start

	startedAt time.Time
}

// NewGuard returns a guard that knows no crash.
func NewGuard(options Options) *Guard {
	return &Guard{
		options: options,
		table:   NewTable(options.RemembersSound),
		keeping: keeping{stay: peerpb.Stay_STAY_RUNS_ON, id: options.Self},

		startedAt: options.Clock(),
	}
}

// Admission is the decision about one generation.
type Admission struct {
	decision Decision
	admitted bool
}

// Admitted reports whether the generation may be sent to an engine.
func (a Admission) Admitted() bool { return a.admitted }

// Parts returns the parts that may be the cause of crashes.
func (a Admission) Parts() []string { return a.decision.parts }

// Crashes returns the number of crashes that led to the decision.
func (a Admission) Crashes() int { return a.decision.crashes }

// Experiment reports whether the generation is to show if its parts are sound.
func (a Admission) Experiment() bool { return a.decision.verdict == VerdictExperiment }

// RetryAt returns when the caller of a generation that was not admitted may return, by the guard's clock.
func (a Admission) RetryAt() time.Time { return a.decision.retryAt }

// Admit decides about a generation whose prompt has the parts.
func (g *Guard) Admit(ctx context.Context, parts []string) Admission {
	decision := g.Check(parts)
	a := Admission{decision: decision, admitted: decision.verdict == VerdictAdmit}
	if decision.verdict == VerdictExperiment {
		a.admitted, a.decision.retryAt = g.askExperiment(ctx, decision.parts)
	}
	return a
}

// Check decides about a generation without asking for an experiment.
func (g *Guard) Check(parts []string) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Judge(g.table, parts, g.options.Clock())
}

// Sound reports whether answers with each of the parts have begun.
func (g *Guard) Sound(parts []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Sound(parts, g.options.Clock())
}

// Begun records that an engine with a version of the weights has begun to answer a prompt with the parts.
func (g *Guard) Begun(parts []string, version string) {
	if len(parts) == 0 || g.options.Disabled {
		return
	}
	g.mu.Lock()
	changed := messagesOf(g.table.Clear(parts, version, g.options.Clock()), g.options.Clock())
	g.revision += len(changed)
	g.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	g.options.Log.WithFields(logrus.Fields{
		logs.Event: "partsCleared", logs.Parts: parts, logs.WeightsVersion: version, "crashes": len(changed),
	}).Info("an answer has begun; its parts are not the cause of crashes")
	go g.push(changed)
}

// Broke records that an engine broke off a request that it had hardly begun to answer, if the engine has ended.
func (g *Guard) Broke(r Report) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), experimentTime)
		defer cancel()
		g.Settle(ctx, r)
	}()
}

// Settle records the same as Broke and returns when it is known here whether the engine has ended.
func (g *Guard) Settle(ctx context.Context, r Report) (ended bool) {
	if len(r.parts) == 0 || g.options.Disabled || !g.options.Ended(ctx, r.engine.id) {
		return false
	}
	g.record(r)
	return true
}

// Suspected reports whether one more crash would keep a part off engines.
func (g *Guard) Suspected(part string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.table.suspectedIn(part)) >= minCrashes-1
}

func (g *Guard) record(r Report) {
	g.mu.Lock()
	now := g.options.Clock()
	crash, changed := g.table.Record(r, now)
	if changed {
		g.revision++
	}
	messages, candidates := messagesOf([]*Crash{crash}, now), crash.candidates()
	g.mu.Unlock()
	if !changed {
		return
	}
	g.options.Log.WithFields(logrus.Fields{
		logs.Event: "engineCrashed", logs.Backend: r.engine.id, logs.Parts: r.parts, logs.WeightsVersion: r.version,
		"writing": r.writing, "candidates": candidates,
	}).Warn("a backend server ended when it began to answer a request")
	go g.push(messages)
}

// Run exchanges crashes with the other instances in turn until ctx ends. An instance that starts asks several at once, because
// one of them may have started or been cut off as well.
func (g *Guard) Run(ctx context.Context) error {
	if g.options.Disabled {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	first := newOpening(g.options.Clock())
	for turn := rand.IntN(maxTurns); ; turn++ {
		opens, interval := !first.over(g.options.Clock()), exchangeInterval
		if opens {
			interval = startInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		case <-timer.C:
		}
		peers := g.peersFrom(turn)
		if len(peers) == 0 {
			continue
		}
		peer, ok := peers[0], true
		if opens {
			peer, ok = first.next(peers)
		}
		if !ok {
			continue
		}
		messages, _ := g.messages()
		if _, err := g.exchange(ctx, peer.PeerAddress(), messages, true); err != nil {
			g.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "crashesNotExchanged", logs.Peer: peer.ID()}).
				Info("another instance did not exchange crashes of engines")
			continue
		}
		first.hasAnswered(peer)
	}
}

// peersFrom returns the other instances, beginning with the one whose turn it is.
func (g *Guard) peersFrom(turn int) []pond.Instance {
	peers := slices.DeleteFunc(slices.Clone(g.options.Peers()), func(peer pond.Instance) bool { return peer.ID() == g.options.Self })
	if len(peers) == 0 {
		return nil
	}
	g.mu.Lock()
	g.met = true
	g.mu.Unlock()
	begin := turn % len(peers)
	return slices.Concat(peers[begin:], peers[:begin])
}

// Crashes returns the number of crashes that the instance knows.
func (g *Guard) Crashes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.table.crashes)
}
