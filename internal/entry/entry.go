package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/calls"
	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/config"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/front"
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/naive"
	"github.com/dragonflypond/dragonflypond/internal/order"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/place"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/watch"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Entry is one entry instance.
type Entry struct {
	settings      *config.Settings
	log           *logrus.Logger
	lifecycle     lifecycle
	started       time.Time
	network       *peer.Network
	listeners     listeners
	members       *member.Member
	watch         *watch.Watch
	dialer        *reach.Dialer
	tunnels       *reach.Server
	engines       *engine.Client
	placer        *place.Placer
	loggingPlacer *loggingPlacer
	answers       *bound.Budget
	executor      *calls.Executor
	reconciler    *order.Reconciler
	front         *front.Front
	metrics       *metric.Metrics
	peerServer    *peer.Server
	guard         *bound.Guard
	callers       *bound.Group
	httpServer    *http.Server

	shutdownOnce sync.Once
	shutdown     chan struct{}
	handOverOnce sync.Once
	// handOver is closed when streams must be moved to other instances at once.
	handOver chan struct{}
}

// listeners are the sockets of an instance.
type listeners struct {
	http     net.Listener
	peer     net.Listener
	datagram net.PacketConn
}

// New opens the sockets and assembles an instance. It serves nothing before Run.
func New(settings *config.Settings, log *logrus.Logger) (*Entry, error) {
	network, err := peer.NewNetwork(settings.Secret())
	if err != nil {
		return nil, err
	}
	sockets, err := listen(settings)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:  settings,
		log:       log,
		started:   time.Now(),
		network:   network,
		listeners: sockets,
		metrics:   metric.New(),
		answers:   bound.NewBudget(settings.ReadAnswerBytes()),
		shutdown:  make(chan struct{}),
		handOver:  make(chan struct{}),
	}
	if err := e.assemble(); err != nil {
		sockets.close()
		return nil, err
	}
	return e, nil
}

func listen(settings *config.Settings) (listeners, error) {
	var l listeners
	var err error
	if l.http, err = net.Listen("tcp", settings.HTTPAddress()); err != nil {
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.peer, err = net.Listen("tcp", settings.PeerAddress()); err != nil {
		l.close()
		return l, errors.Wrap(err, "listen for instances")
	}
	// UDP uses the port of the TCP listener, so that both protocols share one address even if the setting names port 0.
	if l.datagram, err = net.ListenPacket("udp", l.peer.Addr().String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "listen for datagrams")
	}
	return l, nil
}

func (l listeners) close() {
	if l.http != nil {
		_ = l.http.Close()
	}
	if l.peer != nil {
		_ = l.peer.Close()
	}
	if l.datagram != nil {
		_ = l.datagram.Close()
	}
}

// HTTPAddress returns the address on which callers reach the instance.
func (e *Entry) HTTPAddress() string { return e.listeners.http.Addr().String() }

// PeerAddress returns the address on which other instances reach the instance.
func (e *Entry) PeerAddress() string { return e.listeners.peer.Addr().String() }

// Phase returns the current phase of the instance's lifecycle.
func (e *Entry) Phase() Phase { return e.lifecycle.current() }

func (e *Entry) assemble() error {
	self, err := e.newSelf()
	if err != nil {
		return err
	}
	if err := e.assembleMembership(self); err != nil {
		return err
	}
	e.assembleScheduling()
	e.assembleFront()
	if err := e.metrics.Registry().Register(metric.NewSnapshotCollector(metric.Namespace, e.Status, statusMetrics)); err != nil {
		return errors.Wrap(err, "register status metrics")
	}
	return e.assembleServers()
}

func (e *Entry) newSelf() (pond.Instance, error) {
	var number [8]byte
	if _, err := rand.Read(number[:]); err != nil {
		return pond.Instance{}, errors.Wrap(err, "generate incarnation")
	}
	ref := pond.InstanceRef{
		ID:          pond.InstanceID(e.settings.Instance()),
		Incarnation: pond.Incarnation(binary.LittleEndian.Uint64(number[:])),
	}
	return pond.NewInstance(ref, pond.InstanceLive, e.HTTPAddress(), e.PeerAddress(),
		e.settings.DataCentre(), e.settings.Region()), nil
}

func (e *Entry) assembleMembership(self pond.Instance) error {
	var err error
	e.members, err = member.New(member.Options{
		Self:    self,
		Network: e.network,
		Conn:    e.listeners.datagram,
		Seeds:   e.settings.Seeds(),
		Logger:  e.log,
	})
	if err != nil {
		return err
	}
	listURL := ""
	if e.settings.ListAddress() != "" {
		listURL = "http://" + e.settings.ListAddress()
	}
	e.watch, err = watch.New(watch.Options{
		Member:     e.members,
		Network:    e.network,
		ServiceURL: "http://" + e.settings.ConfigAddress(),
		ListURL:    listURL,
		Logger:     e.log,
	})
	return err
}

func (e *Entry) assembleScheduling() {
	e.dialer = reach.NewDialer(reach.Options{
		SourceIP: e.settings.SourceIP(),
		Servers:  e.backendAddresses,
		Helpers:  e.helpers,
		Connect:  e.network.Conn,
		Clock:    clock.Now,
		Results:  metric.NewConnections(e.metrics),
		Log:      e.log,
	})
	e.tunnels = reach.NewServer(e.dialer, reach.ServerOptions{
		Known:   func(address string) bool { return slices.Contains(e.backendAddresses(), address) },
		Leaving: func(string) bool { return e.Phase() > PhaseReady },
		// An instance that drains waits for what it carries, so that there is no end to state until its limit.
		EndsAt: func() time.Time { return time.Time{} },
		// Backend servers of this interface say nothing about later requests but that they leave, in a notice of the watch.
		BackingOff:  func(string) bool { return false },
		Leaves:      func(string) (string, bool) { return "", false },
		Evacuated:   func(string) (string, bool) { return "", false }, // The manifest evacuates no data centre.
		ApplySignal: func(string, fleet.Signal) {},
	})
	e.engines = engine.NewClient(e.dialer.DialContext)
	e.placer = place.New(place.Options{
		Engines:   e.engines,
		Manifests: e.watch,
		Directory: e.members,
		Backends:  e.watch,
		Connect:   e.network.Conn,
		Log:       e.log,
	})
	e.executor = calls.New(calls.Options{
		Source:    e.watch,
		Directory: e.members,
		Backends:  e.watch,
		Conn:      e.network.Conn,
		Dial:      e.dialer.DialContext,
		MACKey:    e.network.MACKey(),
		Logger:    e.log,

		MaxAnswerBytes: e.settings.KeptAnswerBytes(),
		Answers:        e.answers,
	})
	e.reconciler = order.New(order.Options{
		Source:    e.watch,
		Directory: e.members,
		Ranking:   order.RankingFunc(e.homeInstance),
		Backends:  e.watch,
		Engines:   order.NewHTTPEngineClient(e.dialer.DialContext),
		Conn:      e.network.Conn,
		Logger:    e.log,
	})
}

// backendAddresses returns the addresses of the backend servers of the manifest in effect.
func (e *Entry) backendAddresses() []string {
	manifest := e.watch.Current()
	if manifest == nil {
		return nil
	}
	var addresses []string
	for _, backend := range manifest.Backends() {
		addresses = append(addresses, backend.Address())
	}
	return addresses
}

// helpers returns the instances through which this one may connect to a backend server, those nearby first.
func (e *Entry) helpers(string) []reach.Helper {
	self := e.members.Self()
	var helpers []reach.Helper
	for _, peer := range e.members.Instances() {
		if peer.ID() == self.ID() || peer.State() != pond.InstanceLive {
			continue
		}
		distance := metric.DistanceOtherRegion
		switch {
		case peer.DataCentre() == self.DataCentre():
			distance = metric.DistanceSameDataCentre
		case peer.Region() == self.Region():
			distance = metric.DistanceSameRegion
		}
		helpers = append(helpers, reach.NewHelper(peer, int(distance)))
	}
	return helpers
}

// homeInstance returns the instance that rendezvous hashing ranks first for a key among the live instances of a region,
// or of all regions if region is empty.
func (e *Entry) homeInstance(key, region string) (pond.Instance, bool) {
	var filters []member.Filter
	if region != "" {
		filters = append(filters, member.InRegion(region))
	}
	ranked := member.Rank(e.members, key, filters...)
	if len(ranked) == 0 {
		return pond.Instance{}, false
	}
	return ranked[0], true
}

func (e *Entry) assembleFront() {
	var placer pond.Placer = e.placer
	if e.settings.Naive() {
		placer = naive.NewPlacer(e.watch, e.watch)
	}
	e.loggingPlacer = newLoggingPlacer(placer, e.log)
	e.front = front.New(front.Options{
		Source:          e.watch,
		Placer:          e.loggingPlacer,
		Directory:       e.members,
		MACKey:          e.network.MACKey(),
		EngineClient:    e.engines,
		Answers:         e.answers,
		Executor:        e.executor,
		RunKeys:         e.executor,
		Conn:            e.network.Conn,
		Backends:        e.watch,
		OnEngineLeaving: e.watch.MarkLeaving,
		Ready:           func() bool { return e.Phase() == PhaseReady },
		Accepting:       func() bool { return e.Phase() <= PhaseLeaving },
		Status:          http.HandlerFunc(e.serveStatus),
		Metrics:         e.metrics,
		Log:             e.log,
	})
	e.guard = bound.NewGuard(bound.Options{
		Limits: bound.NewLimits(0, 0), OnRefusal: metric.NewCallerLimits(e.metrics), Log: e.log,
	})
	e.callers = e.guard.Callers("callers")
	e.httpServer = front.NewServer(e.front)
	e.callers.Install(e.httpServer)
	metric.RegisterConnections(e.metrics, "callers", e.callers.Open)
	metric.RegisterHeadBytes(e.metrics, e.guard.HeadBytes)
}

func (e *Entry) assembleServers() error {
	e.peerServer = e.network.NewServer()
	peers := e.guard.Peers("peers")
	metric.RegisterConnections(e.metrics, "peers", peers.Open)
	e.peerServer.Limit(peers)
	mux := e.peerServer.Mux()
	if err := e.members.Register(mux); err != nil {
		return err
	}
	if err := e.watch.Register(mux); err != nil {
		return err
	}
	return registerAll(mux,
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterScheduling(mux, e.placer) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterCalls(mux, e.executor) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterTunnels(mux, e.tunnels) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterStreams(mux, e.front.Streams()) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterOrders(mux, e.reconciler) },
	)
}

func registerAll(mux drpc.Mux, services ...func(drpc.Mux) error) error {
	for _, register := range services {
		if err := register(mux); err != nil {
			return errors.Wrap(err, "register peer service")
		}
	}
	return nil
}

func (e *Entry) logPhase(phase Phase) {
	e.log.WithFields(logrus.Fields{
		"instance": e.members.Self().Ref().String(),
		"phase":    phase.String(),
		"http":     e.HTTPAddress(),
		"peer":     e.PeerAddress(),
	}).Info("instance phase changed")
}

func (e *Entry) enterPhase(phase Phase) {
	e.lifecycle.advance(phase)
	e.logPhase(phase)
}

// waitConfirmed waits until a manifest is confirmed. It returns false if ctx ends or a shutdown begins first.
func (e *Entry) waitConfirmed(ctx context.Context) bool {
	ticker := time.NewTicker(confirmationPollInterval)
	defer ticker.Stop()
	for !e.watch.Confirmed(time.Now()) {
		select {
		case <-ctx.Done():
			return false
		case <-e.shutdown:
			return false
		case <-ticker.C:
		}
	}
	return true
}
