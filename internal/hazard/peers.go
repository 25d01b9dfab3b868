package hazard

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// peerTimeout bounds one call to another instance.
	peerTimeout = 500 * time.Millisecond

	// maxPushes bounds the calls that are open when a crash is told to all instances.
	maxPushes = 16

	// passOnPeers is the number of instances to which one that has just started passes on crashes that it did not know, and maxPassOns how
	// often it does: tables that are full or hold what others have forgotten always find something new in each other.
	passOnPeers = 3
	maxPassOns  = 4

	// maxCrashesInMessage bounds the crashes of one message. The newest ones go first.
	maxCrashesInMessage = 64

	// maxHomes is the number of instances that are asked in turn to permit an experiment.
	maxHomes = 2
)

var (
	_ peerpb.DRPCHazardsServer        = (*Server)(nil)
	_ peerpb.DRPCRequestHazardsServer = (*Server)(nil)
)

// Server answers the calls of other instances.
type Server struct{ guard *Guard }

// NewServer returns the peer service of a guard.
func NewServer(guard *Guard) *Server { return &Server{guard: guard} }

// Exchange implements peerpb.DRPCHazardsServer and peerpb.DRPCRequestHazardsServer.
func (s *Server) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	merged, learnt := s.guard.merge(req.GetCrashes())
	if req.GetAll() {
		merged, _ = s.guard.messages()
		if learnt && s.guard.mayPassOn() {
			go s.guard.passOn()
		}
	}
	resp := &peerpb.ExchangeResponse{Crashes: merged}
	resp.Stay, resp.StopsAtMilli = s.guard.stay()
	return resp, nil
}

// Experiment implements peerpb.DRPCHazardsServer and peerpb.DRPCRequestHazardsServer.
func (s *Server) Experiment(_ context.Context, req *peerpb.ExperimentRequest) (*peerpb.ExperimentResponse, error) {
	permitted, retryAt := s.guard.experiment(req.GetParts())
	resp := &peerpb.ExperimentResponse{Permitted: permitted}
	if !permitted {
		resp.RetryAfterMicro = retryAt.Sub(s.guard.options.Clock()).Microseconds()
	}
	return resp, nil
}

func (g *Guard) experiment(parts []string) (permitted bool, retryAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Experiment(parts, g.options.Clock())
}

// askExperiment asks the home of the first part to permit a request with the parts.
func (g *Guard) askExperiment(ctx context.Context, parts []string) (permitted bool, retryAt time.Time) {
	for i, home := range g.options.Homes(parts[0]) {
		if i == maxHomes || ctx.Err() != nil {
			break
		}
		if home.ID() == g.options.Self {
			return g.experiment(parts)
		}
		resp, err := g.callExperiment(ctx, home, parts)
		if err == nil {
			return resp.GetPermitted(), g.options.Clock().Add(time.Duration(resp.GetRetryAfterMicro()) * time.Microsecond)
		}
		g.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "experimentNotAsked", logs.Home: home.ID()}).
			Info("an instance that permits experiments does not answer")
	}
	return false, g.options.Clock().Add(noHomeDelay)
}

func (g *Guard) callExperiment(ctx context.Context, home pond.Instance, parts []string) (*peerpb.ExperimentResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := g.options.Connect(home.PeerAddress())
	defer conn.Close()
	return g.options.Client(conn).Experiment(ctx, &peerpb.ExperimentRequest{Parts: parts})
}

// push tells all instances about crashes. What they have cleared meanwhile is told to all again.
func (g *Guard) push(crashes []*peerpb.EngineCrash) {
	if g.pushOnce(crashes) {
		merged, _ := g.merge(crashes)
		g.pushOnce(merged)
	}
}

// pushOnce reports whether the answers have changed the table.
func (g *Guard) pushOnce(crashes []*peerpb.EngineCrash) (changed bool) {
	before := g.clearedParts()
	var group errgroup.Group
	group.SetLimit(maxPushes)
	for _, peer := range g.options.Peers() {
		if peer.ID() == g.options.Self {
			continue
		}
		group.Go(func() error {
			_, err := g.exchange(context.Background(), peer.PeerAddress(), crashes, false)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		g.options.Log.WithError(err).WithField(logs.Event, "crashNotTold").Info("an instance could not be told about a crash")
	}
	return g.clearedParts() != before
}

// mayPassOn reports whether the instance has just started and may pass on what it has been told, and counts that it does.
func (g *Guard) mayPassOn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.passOns == maxPassOns || g.options.Clock().After(g.startedAt.Add(startTime)) {
		return false
	}
	g.passOns++
	return true
}

// passOn tells a few other instances all crashes, after one has told this instance crashes that it did not know. So those that know of
// crashes after all instances were replaced at once tell all others soon.
func (g *Guard) passOn() {
	messages, _ := g.messages()
	peers := g.peersFrom(0)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var group errgroup.Group
	for _, peer := range peers[:min(len(peers), passOnPeers)] {
		group.Go(func() error {
			_, err := g.exchange(context.Background(), peer.PeerAddress(), messages, true)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		g.options.Log.WithError(err).WithField(logs.Event, "crashNotTold").Info("an instance could not be told about a crash")
	}
}

// clearedParts returns the number of cleared parts over all crashes.
func (g *Guard) clearedParts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.table.crashes {
		n += len(c.cleared)
	}
	return n
}

func (g *Guard) exchange(
	ctx context.Context, address string, crashes []*peerpb.EngineCrash, all bool,
) (*peerpb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := g.options.Connect(address)
	defer conn.Close()
	resp, err := g.options.Client(conn).Exchange(ctx, &peerpb.ExchangeRequest{Crashes: crashes, All: all})
	if err != nil {
		return nil, err
	}
	g.merge(resp.GetCrashes())
	return resp, nil
}

// merge adds crashes of another instance and returns them as they are now, and whether one of them was not known.
func (g *Guard) merge(crashes []*peerpb.EngineCrash) (messages []*peerpb.EngineCrash, learnt bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock()
	merged := make([]*Crash, 0, len(crashes))
	for _, message := range crashes[:min(len(crashes), maxCrashesInMessage)] {
		crash := crashOf(message, now)
		learnt = learnt || g.table.crashes[crash.engine] == nil
		known, changed := g.table.Merge(crash, now)
		if changed {
			g.revision++
		}
		merged = append(merged, known)
	}
	return messagesOf(merged, now), learnt
}

// stay returns what the instance states of itself in responses.
func (g *Guard) stay() (stay peerpb.Stay, stopsAtMilli int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeping.stay == peerpb.Stay_STAY_STOPS {
		g.revision++
		stopsAtMilli = g.keeping.stopsAt.UnixMilli()
	}
	return g.keeping.stay, stopsAtMilli
}

// messages returns the newest crashes that the instance knows, and the revision.
func (g *Guard) messages() (crashes []*peerpb.EngineCrash, revision int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.table.Crashes()
	slices.SortFunc(known, func(a, b *Crash) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.engine.id, b.engine.id)) })
	return messagesOf(known[:min(len(known), maxCrashesInMessage)], g.options.Clock()), g.revision
}

func messagesOf(crashes []*Crash, now time.Time) []*peerpb.EngineCrash {
	messages := make([]*peerpb.EngineCrash, 0, len(crashes))
	for _, c := range crashes {
		messages = append(messages, &peerpb.EngineCrash{
			Engine:         c.engine.id,
			StartedAtMilli: c.engine.startedAtMillis,
			AgeMicro:       now.Sub(c.at).Microseconds(),
			UsedAgeMicro:   now.Sub(c.usedAt).Microseconds(),
			WeightsVersion: c.version,
			Writing:        c.writing.sorted(),
			Waiting:        c.waiting.sorted(),
			Cleared:        c.cleared.sorted(),

			Experiments:       c.experiments.sorted(),
			StatesExperiments: !c.unstated,
		})
	}
	return messages
}

func crashOf(message *peerpb.EngineCrash, now time.Time) *Crash {
	c := &Crash{
		engine:  engineStart{message.GetEngine(), message.GetStartedAtMilli()},
		at:      now.Add(-time.Duration(max(message.GetAgeMicro(), 0)) * time.Microsecond),
		usedAt:  now.Add(-time.Duration(max(message.GetUsedAgeMicro(), 0)) * time.Microsecond),
		version: message.GetWeightsVersion(),
		writing: partSet{}, waiting: partSet{}, cleared: partSet{}, experiments: partSet{},
		unstated: !message.GetStatesExperiments(),
	}
	c.writing.add(message.GetWriting(), maxParts)
	c.waiting.add(message.GetWaiting(), maxParts)
	c.clear(message.GetCleared())
	c.experiments.add(message.GetExperiments(), maxParts)
	return c
}
