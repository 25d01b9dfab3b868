package serve

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/place"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// maxLookupValidity bounds the time for which callers may cache a lookup response. Some keep it three times as long,
	// which has to end well within the grace period of a shutdown.
	maxLookupValidity = 1500 * time.Millisecond

	// lookupRetentionFactor is the multiple of its validity for which some callers keep a lookup response.
	lookupRetentionFactor = 3

	// exitReserve is the part of the grace period that is reserved for the process to exit.
	exitReserve = 700 * time.Millisecond

	// maxListenWait bounds the wait for addresses that are still in use, and listenPause is the time between two tries.
	maxListenWait = 2 * time.Second
	listenPause   = 10 * time.Millisecond

	// drainPollInterval is the time between two checks for open requests during a shutdown.
	drainPollInterval = 50 * time.Millisecond

	// readyMaxAge is the age of the confirmation up to which an instance with a key lease reports that it is ready.
	readyMaxAge = 3500 * time.Millisecond

	// leavingDistance is added to the way through an instance that shuts down, so that it is longer than any other.
	leavingDistance = 100

	// auxHeaderTimeout and auxHeaderBytes bound the time to read a request header on the auxiliary listeners, and its size.
	auxHeaderTimeout = 5 * time.Second
	auxHeaderBytes   = 16 << 10

	// auxIdleTimeout is the time for which the auxiliary listeners keep an idle connection, and auxWriteTimeout that for an answer.
	auxIdleTimeout  = 2 * time.Minute
	auxWriteTimeout = 30 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings Settings
	// reloadable holds the settings that may change while the instance runs.
	reloadable atomic.Pointer[reloadableSettings]
	flags      Flags
	adapters   Adapters
	container  *container
	log        *logs.Log

	network *peer.Network
	members *member.Member
	store   feed.Source
	feed    *feed.Feed
	fleet   *fleet.Fleet
	placer  *place.Placer
	dialer  *reach.Dialer
	tunnels *reach.Server
	engines relay.Inspector
	checker *engineChecker
	limits  *quota.Gate
	seen    seenInstances
	hazards *hazard.Guard
	// requestHazards is the guard against whole requests that crash backend servers.
	requestHazards *hazard.Guard
	relay          *relay.Relay
	metrics        *metric.Metrics
	traffic        *metric.Traffic
	peers          *peer.Server
	guard          *bound.Guard
	front          *frontServer

	startedAt time.Time
	// firstSeedIndex is the index of the seed that is tried first.
	firstSeedIndex int

	sockets      sockets
	leaving      atomic.Bool
	exit         exit
	callersGone  atomic.Bool // the instance shuts down and no caller uses an old lookup response any more
	shutdown     chan struct{}
	shutdownOnce sync.Once
}

// reloadableSettings are the settings that may change while the instance runs.
type reloadableSettings struct{ grace, keyLease time.Duration }

// exit holds the times of a shutdown.
type exit struct {
	mu        sync.Mutex
	began, at time.Time // zero before the shutdown
}

// sockets are the TCP listeners and the UDP socket of an instance.
type sockets struct {
	front, ready, lookup, peer, metrics net.Listener
	datagram                            net.PacketConn
}

// New opens the sockets and assembles an instance. Nothing is served before Run.
func New(settings Settings, flags Flags, adapters Adapters, log *logs.Log) (*Instance, error) {
	network, err := peer.NewNetwork([]byte(flags.secret))
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings:       settings,
		flags:          flags,
		container:      &container{log: log},
		log:            log,
		network:        network,
		metrics:        metric.New(),
		shutdown:       make(chan struct{}),
		startedAt:      clock.Now(),
		firstSeedIndex: mathrand.IntN(max(len(settings.Seeds), 1)),
	}
	i.adapters = i.container.wrap(adapters)
	i.reloadable.Store(&reloadableSettings{grace: settings.Grace, keyLease: settings.KeyLease})
	i.traffic = metric.NewTraffic(i.metrics)
	i.guard = bound.NewGuard(bound.Options{
		Limits: bound.NewLimits(settings.MemoryBytes, settings.MaxDescriptors), OnRefusal: metric.NewCallerLimits(i.metrics), Log: log,
	})
	if err := i.listen(); err != nil {
		return nil, err
	}
	if err := i.assemble(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() error {
	tcp := []struct {
		listener *net.Listener
		address  string
	}{
		{&i.sockets.front, i.settings.FrontAddress},
		{&i.sockets.ready, i.settings.ReadyAddress},
		{&i.sockets.lookup, i.settings.LookupAddress},
		{&i.sockets.peer, i.settings.PeerAddress},
		{&i.sockets.metrics, i.flags.metricsAddress(i.settings.IP)},
	}
	giveUpAt := time.Now().Add(maxListenWait)
	var err error
	for _, socket := range tcp {
		if socket.address == "" {
			continue
		}
		*socket.listener, err = listenUntil(giveUpAt, func() (net.Listener, error) { return net.Listen("tcp", socket.address) })
		if err != nil {
			return errors.Wrapf(err, "listen on %s", socket.address)
		}
	}
	i.sockets.datagram, err = listenUntil(giveUpAt, func() (net.PacketConn, error) { return net.ListenPacket("udp", i.settings.PeerAddress) })
	return errors.Wrapf(err, "listen on %s", i.settings.PeerAddress)
}

// listenUntil opens a socket, and tries again until giveUpAt while its address is in use: the process before may not have ended yet.
func listenUntil[T any](giveUpAt time.Time, listen func() (T, error)) (T, error) {
	for {
		socket, err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(giveUpAt) {
			return socket, err
		}
		time.Sleep(listenPause)
	}
}

func (i *Instance) assemble() error {
	var incarnation [8]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return errors.Wrap(err, "choose incarnation")
	}
	ref := pond.InstanceRef{
		ID:          pond.InstanceID(i.settings.Instance),
		Incarnation: pond.Incarnation(binary.LittleEndian.Uint64(incarnation[:])),
	}
	self := pond.NewInstance(ref, pond.InstanceLive, i.settings.FrontAddress, i.settings.PeerAddress,
		i.settings.DataCentre, i.settings.Region).WithCapacity(i.settings.capacity()).WithStarting(true)
	var err error
	i.members, err = member.New(member.Options{
		Self: self, Network: i.network, Conn: i.sockets.datagram, Seeds: i.settings.Seeds, Logger: i.log,
	})
	if err != nil {
		return err
	}
	i.assembleFleet()
	i.assembleRelay()
	i.network.WrapConns(func(address string, conn net.Conn) net.Conn { return i.traffic.CountConn(conn, i.distanceTo(address)) })
	if err := i.metrics.Registry().Register(metric.NewSnapshotCollector(metric.Namespace, i.collectStats, instanceMetrics)); err != nil {
		return errors.Wrap(err, "register metrics")
	}
	if err := i.metrics.Registry().Register(newEvacuationCollector(i)); err != nil {
		return errors.Wrap(err, "register metrics of evacuations")
	}
	callers := i.guard.Callers("callers")
	metric.RegisterConnections(i.metrics, "callers", callers.Open)
	metric.RegisterHeadBytes(i.metrics, i.guard.HeadBytes)
	i.front = newFrontServer(callers, i.sockets.front, i.adapters.Ingress.Requests(i.relay), i.log)
	i.fleet.OnChange(func() {
		if catalogue := i.fleet.Catalogue(); catalogue != nil {
			i.front.applyLimits(catalogue.Limits())
		}
	})
	return i.assemblePeers()
}

func (i *Instance) assembleFleet() {
	coldOvershoot, coldSlack := i.coldLimits()
	i.fleet = fleet.New(fleet.Options{
		Decoder: i.adapters.Decoder, Regions: i.settings.Regions, LinkBits: i.settings.LinkBits, Clock: clock.Now, Log: i.log,
		IgnoreBackoffs:    i.flags.disabled.Has(pond.MechanismBackoffs),
		IgnoreEvacuations: i.flags.disabled.Has(pond.MechanismEvacuations),
		ColdOvershoot:     coldOvershoot, ColdSlack: coldSlack, OnCold: func(id string) { i.limits.TellCold(id) },
	})
	i.store = feed.CompleteAtStart(i.adapters.Store, feed.StartOptions{Others: i.otherSources, Number: i.adapters.Number, Log: i.log})
	i.feed = feed.New(feed.Options{
		Upstreams: i.upstreams,
		Clock:     clock.Now,
		Log:       i.log,
		Number:    i.adapters.Number,
		OnChange:  func(records []feed.Record) { i.fleet.Apply(records, i.feed.Knowledge()) },
		OnPull:    newPullCounter(i.metrics),
	})
}

func (i *Instance) assembleRelay() {
	i.dialer = reach.NewDialer(reach.Options{
		SourceIP: i.flags.sourceIP,
		Servers:  i.fleet.AcceptingAddresses,
		Helpers:  i.helpers,
		Connect:  i.network.Conn,
		Disabled: i.flags.disabled.Has(pond.MechanismTunnels),
		RecordLeaving: func(backend, address string) bool {
			i.fleet.ApplySignal(backend, fleet.Signal{Leaving: true}, fleet.SourcePeer)
			server, known := i.fleet.ByAddress(address)
			return known && server.ID == backend
		},
		Clock:   clock.Now,
		Results: metric.NewConnections(i.metrics),
		Log:     i.log,
	})
	i.tunnels = reach.NewServer(i.dialer, reach.ServerOptions{
		Known: i.fleet.KnowsAddress, Leaving: i.leavesTunnels, EndsAt: i.exitAt, BackingOff: i.backingOffAddress, ApplySignal: i.signalsFrom(fleet.SourcePeer),
		Leaves: func(address string) (string, bool) {
			server, _ := i.fleet.ByAddress(address)
			return server.ID, i.fleet.SaysLeaving(server.ID)
		},
		Evacuated: i.evacuatedAddress,
	})
	backends := i.adapters.NewBackends(i.dialer.DialContext, i.signalsFrom(fleet.SourceControl))
	i.engines = backends
	i.checker = newEngineChecker(i)
	i.limits = quota.NewGate(quota.Options{
		Self:    pond.InstanceID(i.settings.Instance),
		Homes:   i.limitHomes,
		Peers:   i.livePeers,
		Connect: i.network.Conn,
		Known:   i.knowsBackend,
		Slots:   i.slots,
		Service: i.serviceOf,
		Cold:    i.coldLimit,
		Seen:    i.seenShare,
		Clock:   clock.Now,
		Log:     i.log,

		RecordCold: i.fleet.RecordCold,
		Disabled:   i.flags.disabled.Has(pond.MechanismPermits),
	})
	i.placer = place.New(place.Options{
		Manifests: i.fleet,
		Directory: i.members,
		Backends:  i.fleet,
		Connect:   i.network.Conn,
		Log:       i.log,
		Engines:   i.checker,

		ReportInterval:  i.checker.interval,
		OnEngineFailure: i.checker.suspect,
		Cold:            i.coldEngine,
		BalanceRegions:  !i.flags.disabled.Has(pond.MechanismRegionBalance),
		Disabled:        i.flags.disabled,
	})
	i.hazards = i.newGuard("hazard/", hazard.Options{
		Client:         func(conn drpc.Conn) hazard.Client { return peerpb.NewDRPCHazardsClient(conn) },
		Judge:          (*hazard.Table).Check,
		RemembersSound: true,
	})
	i.requestHazards = i.newGuard("request/", hazard.Options{
		Client: func(conn drpc.Conn) hazard.Client { return peerpb.NewDRPCRequestHazardsClient(conn) },
		Judge:  (*hazard.Table).CheckRequest,
	})
	i.fleet.OnChange(i.placer.Refresh)
	i.relay = relay.New(relay.Options{
		Fleet:       i.fleet,
		Placer:      i.placer,
		Explain:     i.placer.Explain,
		Protocol:    backends,
		Copier:      backends,
		Dial:        i.dialer.DialContext,
		Blames:      i.dialer.Blames,
		ConfirmEnd:  i.checker.confirmEnd,
		Limits:      i.limits,
		Hazards:     i.hazards,
		Requests:    i.requestHazards,
		Budget:      relay.NewRetryBudget(i.settings.RetryRatio, i.settings.RetrySlack, i.settings.RetryWindow),
		Instances:   func() int { return len(i.members.Instances()) },
		Others:      i.liveOthers,
		Instance:    i.settings.Instance,
		DataCentre:  i.settings.DataCentre,
		KeyLease:    i.keyLease,
		ConfirmedAt: i.feed.ConfirmedAt,
		Clock:       clock.Now,
		Metrics:     metric.NewRequests(i.metrics),
		Traffic:     i.traffic,
		Disabled:    i.flags.disabled,
		Log:         i.log,
	})
}

// newGuard returns a guard with the options of this instance. The homes of experiments are ranked by rankKey and the part.
func (i *Instance) newGuard(rankKey string, options hazard.Options) *hazard.Guard {
	options.Self = pond.InstanceID(i.settings.Instance)
	options.Homes = func(part string) []pond.Instance { return member.Rank(i.members, rankKey+part) }
	options.Peers = i.runningPeers
	options.Connect = i.network.Conn
	options.Ended = i.checker.ended
	options.Clock = clock.Now
	options.Log = i.log
	options.Disabled = i.flags.disabled.Has(pond.MechanismHazards)
	return hazard.NewGuard(options)
}

// limitHomes ranks the instances that may count the requests to a backend server. Those in its region come first, so that
// a region that loses the others goes on.
func (i *Instance) limitHomes(backend string) []pond.Instance {
	const rankKey = "limit/"
	server, _ := i.fleet.Backend(backend)
	if homes := member.Rank(i.members, rankKey+backend, member.InRegion(i.fleet.Region(server.DataCentre))); len(homes) > 0 {
		return homes
	}
	return member.Rank(i.members, rankKey+backend)
}

// backingOffAddress reports whether the backend server with an address wants no requests from this instance.
func (i *Instance) backingOffAddress(address string) bool {
	server, known := i.fleet.ByAddress(address)
	if !known {
		return false
	}
	_, backingOff := i.fleet.BackoffUntil(server.ID)
	return backingOff
}

// signalsFrom returns a function that records what backend servers say in responses that package relay does not see.
func (i *Instance) signalsFrom(source fleet.Source) SignalFunc {
	return func(backend string, s fleet.Signal) { i.fleet.ApplySignal(backend, s, source) }
}

// helpers returns the instances through which this one may connect to a backend server, with the length of the whole way. Those that shut down
// are the last choice, and only for a replica: a generation may outlast them.
func (i *Instance) helpers(address string) []reach.Helper {
	server, _ := i.fleet.ByAddress(address)
	isReplica := i.slots(server.ID) > 0
	var helpers []reach.Helper
	for _, peer := range i.members.Instances() {
		if peer.ID() == i.members.Self().ID() {
			continue
		}
		way := i.fleet.Distance(i.settings.DataCentre, peer.DataCentre()) + i.fleet.Distance(peer.DataCentre(), server.DataCentre)
		switch state := peer.State(); {
		case state == pond.InstanceLive:
			helpers = append(helpers, reach.NewHelper(peer, int(way)))
		case state == pond.InstanceLeaving && isReplica:
			helpers = append(helpers, reach.NewHelper(peer, int(way)+leavingDistance))
		}
	}
	return helpers
}

// leavesTunnels reports whether this instance shuts down and carries no more connections to an address.
func (i *Instance) leavesTunnels(address string) bool {
	server, _ := i.fleet.ByAddress(address)
	return i.callersGone.Load() || i.leaving.Load() && i.slots(server.ID) == 0
}

// liveOthers returns the number of other instances that serve callers.
func (i *Instance) liveOthers() int {
	others := 0
	for _, instance := range i.members.Instances() {
		if instance.ID() != i.members.Self().ID() && instance.State() == pond.InstanceLive {
			others++
		}
	}
	return others
}

func (i *Instance) livePeers() []pond.Instance { return member.Rank(i.members, "") }

// runningPeers returns the instances that serve requests: the live ones and those that shut down, which know of crashes until their end.
func (i *Instance) runningPeers() []pond.Instance {
	var peers []pond.Instance
	for _, instance := range i.members.Instances() {
		switch instance.State() {
		case pond.InstanceLive, pond.InstanceSuspect, pond.InstanceLeaving:
			peers = append(peers, instance)
		}
	}
	return peers
}

func (i *Instance) serviceOf(id string) string {
	backend, _ := i.fleet.Backend(id)
	return backend.Service
}

// isEngine reports whether a backend server belongs to a service with engines.
func (i *Instance) isEngine(backend route.Backend) bool {
	catalogue := i.fleet.Catalogue()
	if catalogue == nil {
		return false
	}
	service, known := catalogue.Service(backend.Service)
	return known && service.Engine != nil
}

// slots returns the number of requests that a backend server runs at a time; 0 for an engine, whose requests the home of its pool counts.
func (i *Instance) slots(id string) int {
	backend, _ := i.fleet.Backend(id)
	catalogue := i.fleet.Catalogue()
	if catalogue == nil {
		return 0
	}
	service, known := catalogue.Service(backend.Service)
	if !known || service.Engine != nil {
		return 0
	}
	return max(backend.Slots, 1)
}

func (i *Instance) knowsBackend(id string) bool {
	_, known := i.fleet.Backend(id)
	return known
}

func (i *Instance) assemblePeers() error {
	i.peers = i.network.NewServer()
	peers := i.guard.Peers("peers")
	metric.RegisterConnections(i.metrics, "peers", peers.Open)
	i.peers.Limit(peers)
	mux := i.peers.Mux()
	services := []func(drpc.Mux) error{
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterLimits(mux, quota.NewServer(i.limits)) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterTunnels(mux, i.tunnels) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterHazards(mux, hazard.NewServer(i.hazards)) },
		func(mux drpc.Mux) error {
			return peerpb.DRPCRegisterRequestHazards(mux, hazard.NewServer(i.requestHazards))
		},
		i.members.Register,
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterScheduling(mux, i.placer) },
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterWhere(mux, i.relay) },
		func(mux drpc.Mux) error {
			return peerpb.DRPCRegisterRecords(mux, &recordServer{feed: i.feed, starting: i.starting})
		},
	}
	for _, register := range services {
		if err := register(mux); err != nil {
			return errors.Wrap(err, "register peer service")
		}
	}
	return nil
}

// Shutdown begins a graceful shutdown.
func (i *Instance) Shutdown() { i.shutdownOnce.Do(func() { close(i.shutdown) }) }

func (i *Instance) keyLease() time.Duration { return i.reloadable.Load().keyLease }

// Reload applies the settings that may change while the instance runs: added seeds, the grace period of a shutdown, and
// the key lease. Changes of other settings take effect at the next start.
func (i *Instance) Reload(settings Settings) {
	i.members.AddSeeds(settings.Seeds...)
	i.reloadable.Store(&reloadableSettings{grace: settings.Grace, keyLease: settings.KeyLease})
	i.log.WithFields(logrus.Fields{
		logs.Event: "settingsReloaded", "seeds": settings.Seeds,
		"graceMillis": settings.Grace.Milliseconds(), "keyLeaseMillis": settings.KeyLease.Milliseconds(),
	}).Info("settings reloaded")
	if i.leaving.Load() {
		i.adjustExit()
	}
}

// adjustExit ends the requests in progress by the end of the grace period in effect. During a shutdown it only becomes earlier, because the
// platform may go by the period that was in effect at its beginning.
func (i *Instance) adjustExit() {
	i.exit.mu.Lock()
	defer i.exit.mu.Unlock()
	if i.exit.began.IsZero() {
		i.exit.began = time.Now()
	}
	at := i.exit.began.Add(max(i.reloadable.Load().grace-exitReserve, 0))
	if !i.exit.at.IsZero() && !at.Before(i.exit.at) {
		return
	}
	i.exit.at = at
	i.relay.Leave(at)
	i.tunnels.AnnounceEnd()
}

// exitAt returns the time at which open connections are closed, the zero time before the shutdown.
func (i *Instance) exitAt() time.Time {
	i.exit.mu.Lock()
	defer i.exit.mu.Unlock()
	return i.exit.at
}

// Run serves until a shutdown has completed or ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i.log.WithFields(logrus.Fields{
		logs.Event: "instanceStarted", "instance": i.members.Self().Ref().String(), "front": i.settings.FrontAddress,
	}).Info("instance started")
	defer i.dialer.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.members.Run(ctx) })
	group.Go(func() error { return i.announceReady(ctx) })
	group.Go(func() error { return i.logPeers(ctx) })
	group.Go(func() error { return i.feed.Run(ctx) })
	group.Go(func() error { return i.placer.Run(ctx) })
	group.Go(func() error { return i.checker.run(ctx) })
	group.Go(func() error { return i.hazards.Run(ctx) })
	group.Go(func() error { return i.requestHazards.Run(ctx) })
	group.Go(func() error { return i.peers.Serve(ctx, i.sockets.peer) })
	group.Go(i.front.acceptLoop)
	for _, server := range i.auxServers() {
		group.Go(func() error { return server.run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-i.shutdown:
		}
		i.leave(ctx)
		return nil
	})
	err := group.Wait()
	i.log.WithField(logs.Event, "instanceStopped").Info("instance stopped")
	if i.leaving.Load() && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ready reports whether callers should send requests to this instance.
func (i *Instance) ready() bool {
	if i.leaving.Load() || i.fleet.Catalogue() == nil {
		return false
	}
	return i.keyLease() == 0 || clock.Now().Sub(i.feed.ConfirmedAt()) < readyMaxAge
}

// leave shuts the instance down. It announces that the instance leaves, waits until callers no longer use cached lookup
// responses that name it, and drains open requests until the end of the grace period. It also waits, within that period, until another
// instance keeps what this one knows of crashes.
func (i *Instance) leave(ctx context.Context) {
	began := time.Now()
	i.leaving.Store(true)
	i.adjustExit()
	i.front.leave()
	i.members.Leave()
	i.log.WithFields(logrus.Fields{
		logs.Event: "instanceLeaving", "open": i.relay.Open(), "carried": i.tunnels.Carried(), "exitMillis": time.Until(i.exitAt()).Milliseconds(),
	}).Info("instance leaves")
	handedOver := i.handOver(ctx, i.exitAt())
	callersGoneAt := began.Add(lookupRetentionFactor * i.lookupValidity())
	i.waitWhile(ctx, func() bool { return time.Now().Before(callersGoneAt) })
	i.callersGone.Store(true)
	w := work{exitAt: i.exitAt, open: func() int { return i.relay.Open() + i.tunnels.Carried() }, unanswered: i.relay.Unanswered, refuse: i.relay.Stop}
	err := w.end(ctx, i.front, i.relay.RecordCuts)
	if open := w.open(); err != nil || open > 0 {
		i.log.WithError(err).WithFields(logrus.Fields{logs.Event: "requestsCut", "open": open}).
			Warn("open requests were aborted at the end of the shutdown")
	}
	select {
	case <-handedOver:
	case <-ctx.Done():
	}
}

// waitWhile waits while a condition holds, until the exit.
func (i *Instance) waitWhile(ctx context.Context, condition func() bool) {
	for condition() && time.Now().Before(i.exitAt()) && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(drainPollInterval))
	}
}

// handOver returns a channel that is closed when another instance keeps what this one knows of crashes, at exitAt at the latest.
func (i *Instance) handOver(ctx context.Context, exitAt time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var group sync.WaitGroup
		group.Go(func() { i.hazards.HandOver(ctx, exitAt) })
		group.Go(func() { i.requestHazards.HandOver(ctx, exitAt) })
		group.Wait()
	}()
	return done
}

func (i *Instance) lookupValidity() time.Duration {
	if i.settings.LookupValidity > 0 {
		return min(maxLookupValidity, i.settings.LookupValidity)
	}
	return maxLookupValidity
}

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// auxServer is an HTTP server for readiness checks, address lookups or metrics.
type auxServer struct {
	listener net.Listener
	server   *http.Server
}

func (i *Instance) auxServers() []auxServer {
	handlers := []struct {
		name     string
		listener net.Listener
		handler  http.Handler
	}{
		{"ready", i.sockets.ready, i.adapters.Ingress.Ready(i.ready)},
		{"lookup", i.sockets.lookup, i.adapters.Ingress.Lookup(i.lookup)},
		{"metrics", i.sockets.metrics, i.metrics.Handler()},
	}
	var servers []auxServer
	for _, h := range handlers {
		if h.listener != nil {
			group := i.guard.Others(h.name)
			metric.RegisterConnections(i.metrics, h.name, group.Open)
			server := newAuxServer(h.handler)
			group.Install(server)
			servers = append(servers, auxServer{listener: group.Listener(h.listener), server: server})
		}
	}
	return servers
}

func newAuxServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: auxHeaderTimeout, MaxHeaderBytes: auxHeaderBytes, IdleTimeout: auxIdleTimeout, WriteTimeout: auxWriteTimeout,
	}
}

func (s auxServer) run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		_ = s.server.Close()
	}()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
