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
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/grant"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// lookupValidity is the time for which callers keep an answer. Some keep it three times as long, which has to end
	// well within the grace period of a shutdown.
	lookupValidity = 1500 * time.Millisecond

	// lookupKept is how many times its validity a caller may keep an answer.
	lookupKept = 3

	// exitReserve is the part of the grace period that is kept for the end of the process.
	exitReserve = 700 * time.Millisecond

	// drainPoll is the time between two looks at the requests in progress during a shutdown.
	drainPoll = 50 * time.Millisecond

	// readyAge is the age of the confirmation up to which an instance with keys says that it is ready.
	readyAge = 3500 * time.Millisecond

	// sideTimeout bounds the head of a request to the small listeners.
	sideTimeout = 5 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings Settings
	// limits hold the settings that may change while the instance runs.
	limits atomic.Pointer[runLimits]
	tuning Tuning
	ports  Ports
	log    *logs.Log

	network *peer.Network
	members *member.Member
	feed    *feed.Feed
	fleet   *fleet.Fleet
	placer  *grant.Placer
	relay   *relay.Relay
	metrics *metric.Metrics
	traffic *metric.Traffic
	peers   *peer.Server
	front   *frontServer

	// startedAt is the time of the start, and firstSeed the index of the seed that is followed first.
	startedAt time.Time
	firstSeed int

	sockets  sockets
	leaving  atomic.Bool
	shutdown chan struct{}
	once     sync.Once
}

// runLimits are the settings that may change while the instance runs.
type runLimits struct{ grace, keyLease time.Duration }

// sockets are the listeners of an instance.
type sockets struct {
	front, ready, lookup, peer, metrics net.Listener
	datagram                            net.PacketConn
}

// New opens the sockets and assembles an instance. Nothing is served before Run.
func New(settings Settings, tuning Tuning, ports Ports, log *logs.Log) (*Instance, error) {
	network, err := peer.NewNetwork([]byte(tuning.secret))
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings:  settings,
		tuning:    tuning,
		ports:     ports,
		log:       log,
		network:   network,
		metrics:   metric.New(),
		shutdown:  make(chan struct{}),
		startedAt: clock.Now(),
		firstSeed: mathrand.IntN(max(len(settings.Seeds), 1)),
	}
	i.limits.Store(&runLimits{grace: settings.Grace, keyLease: settings.KeyLease})
	i.traffic = metric.NewTraffic(i.metrics)
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
		{&i.sockets.metrics, i.tuning.metricsAddress(i.settings.IP)},
	}
	var err error
	for _, socket := range tcp {
		if socket.address == "" {
			continue
		}
		if *socket.listener, err = net.Listen("tcp", socket.address); err != nil {
			return errors.Wrapf(err, "listen on %s", socket.address)
		}
	}
	if i.sockets.datagram, err = net.ListenPacket("udp", i.settings.PeerAddress); err != nil {
		return errors.Wrapf(err, "listen on %s", i.settings.PeerAddress)
	}
	return nil
}

func (i *Instance) assemble() error {
	var number [8]byte
	if _, err := rand.Read(number[:]); err != nil {
		return errors.Wrap(err, "choose incarnation")
	}
	ref := pond.InstanceRef{
		ID:          pond.InstanceID(i.settings.Instance),
		Incarnation: pond.Incarnation(binary.LittleEndian.Uint64(number[:])),
	}
	self := pond.NewInstance(ref, pond.InstanceLive, i.settings.FrontAddress, i.settings.PeerAddress,
		i.settings.DataCentre, i.settings.Region).WithCapacity(i.settings.capacity())
	var err error
	i.members, err = member.New(member.Options{
		Self: self, Network: i.network, Conn: i.sockets.datagram, Seeds: i.settings.Seeds, Logger: i.log,
	})
	if err != nil {
		return err
	}
	i.assembleFleet()
	i.assembleRelay()
	i.network.WrapConns(func(address string, conn net.Conn) net.Conn { return i.traffic.Conn(conn, i.distanceOf(address)) })
	if err := i.metrics.Registry().Register(metric.NewFigures(metric.Namespace, i.figures, instanceFigures)); err != nil {
		return errors.Wrap(err, "register metrics")
	}
	i.front = newFrontServer(i.sockets.front, i.ports.Ingress.Requests(i.relay))
	i.fleet.OnChange(func() {
		if catalogue := i.fleet.Catalogue(); catalogue != nil {
			i.front.apply(catalogue.Limits())
		}
	})
	return i.assemblePeers()
}

func (i *Instance) assembleFleet() {
	i.fleet = fleet.New(fleet.Options{
		Decoder: i.ports.Decoder, Regions: i.settings.Regions, LinkBits: i.settings.LinkBits, Clock: clock.Now, Log: i.log,
	})
	i.feed = feed.New(feed.Options{
		Upstreams: i.upstreams,
		Clock:     clock.Now,
		Log:       i.log,
		OnChange:   func(records []feed.Record) { i.fleet.Apply(records, i.feed.StoreOutageAt()) },
		OnPull:    pullCounter(i.metrics),
	})
}

func (i *Instance) assembleRelay() {
	i.placer = grant.New(grant.Options{
		Manifests: i.fleet,
		Directory: i.members,
		Backends:  i.fleet,
		Connect:   i.network.Conn,
		Log:       i.log,
		Engines:   &outageReports{instance: i},
	})
	i.fleet.OnChange(i.placer.Refresh)
	i.relay = relay.New(relay.Options{
		Fleet:       i.fleet,
		Placer:      i.placer,
		Protocol:    i.ports.Protocol,
		Copier:      i.ports.Copier,
		Budget:      relay.NewRetryBudget(i.settings.RetryRatio, i.settings.RetrySlack, i.settings.RetryWindow),
		Instances:   func() int { return len(i.members.Instances()) },
		Instance:    i.settings.Instance,
		DataCentre:  i.settings.DataCentre,
		KeyLease:    i.keyLease,
		ConfirmedAt: i.feed.ConfirmedAt,
		Clock:       clock.Now,
		Metrics:     metric.NewRequests(i.metrics),
		Traffic:     i.traffic,
		Log:         i.log,
	})
}

func (i *Instance) assemblePeers() error {
	i.peers = i.network.NewServer()
	mux := i.peers.Mux()
	services := []func(drpc.Mux) error{
		i.members.Register,
		func(mux drpc.Mux) error { return peerpb.DRPCRegisterScheduling(mux, i.placer) },
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
func (i *Instance) Shutdown() { i.once.Do(func() { close(i.shutdown) }) }

func (i *Instance) keyLease() time.Duration { return i.limits.Load().keyLease }

// Reload uses the settings that may change while the instance runs: the seeds, the grace period of a shutdown, and how
// long keys are accepted. Changes of others take effect at the next start.
func (i *Instance) Reload(settings Settings) {
	i.members.AddSeeds(settings.Seeds...)
	i.limits.Store(&runLimits{grace: settings.Grace, keyLease: settings.KeyLease})
	i.log.WithFields(logrus.Fields{
		logs.Event: "settingsReloaded", "seeds": settings.Seeds,
		"graceMillis": settings.Grace.Milliseconds(), "keyLeaseMillis": settings.KeyLease.Milliseconds(),
	}).Info("settings reloaded")
}

// Run serves until a shutdown has completed or ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i.log.WithFields(logrus.Fields{
		logs.Event: "instanceStarted", "instance": i.members.Self().Ref().String(), "front": i.settings.FrontAddress,
	}).Info("instance started")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.members.Run(ctx) })
	group.Go(func() error { return i.logPeers(ctx) })
	group.Go(func() error { return i.feed.Run(ctx) })
	group.Go(func() error { return i.placer.Run(ctx) })
	group.Go(func() error { return i.peers.Serve(ctx, i.sockets.peer) })
	group.Go(i.front.accept)
	for _, side := range i.sideServers() {
		group.Go(func() error { return side.run(ctx) })
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

// ready reports whether callers should come here.
func (i *Instance) ready() bool {
	if i.leaving.Load() || i.fleet.Catalogue() == nil {
		return false
	}
	return i.keyLease() == 0 || clock.Now().Sub(i.feed.ConfirmedAt()) < readyAge
}

// leave ends the instance: callers learn that it goes, then requests in progress are finished.
func (i *Instance) leave(ctx context.Context) {
	began := time.Now()
	i.leaving.Store(true)
	exitAt := began.Add(max(i.limits.Load().grace-exitReserve, 0))
	i.relay.Leave(exitAt)
	i.members.Leave()
	i.log.WithFields(logrus.Fields{logs.Event: "instanceLeaving", "open": i.relay.Open()}).Info("instance leaves")
	quietAt := began.Add(lookupKept * i.validity())
	if quietAt.After(exitAt) {
		quietAt = exitAt
	}
	sleepUntil(ctx, quietAt)
	i.front.closeIdle()
	for i.relay.Open() > 0 && time.Now().Before(exitAt) && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(drainPoll))
	}
	open := i.relay.Open()
	ctx, cancel := context.WithDeadline(ctx, exitAt)
	defer cancel()
	if err := i.front.shutdown(ctx); err != nil || open > 0 {
		i.log.WithError(err).WithFields(logrus.Fields{logs.Event: "requestsCut", "open": open}).
			Warn("requests were cut at the end of the shutdown")
	}
}

func (i *Instance) validity() time.Duration {
	if i.settings.LookupValidity > 0 {
		return min(lookupValidity, i.settings.LookupValidity)
	}
	return lookupValidity
}

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sideServer is one of the small HTTP servers beside the one for callers' requests.
type sideServer struct {
	listener net.Listener
	server   *http.Server
}

func (i *Instance) sideServers() []sideServer {
	handlers := []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{i.sockets.ready, i.ports.Ingress.Ready(i.ready)},
		{i.sockets.lookup, i.ports.Ingress.Lookup(i.lookup)},
		{i.sockets.metrics, i.metrics.Handler()},
	}
	var servers []sideServer
	for _, h := range handlers {
		if h.listener != nil {
			servers = append(servers, sideServer{
				listener: h.listener,
				server:   &http.Server{Handler: h.handler, ReadHeaderTimeout: sideTimeout},
			})
		}
	}
	return servers
}

func (s sideServer) run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		_ = s.server.Close()
	}()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
