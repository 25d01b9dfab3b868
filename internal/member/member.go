package member

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	syncTimeout     = 5 * time.Second
	readBufferBytes = 2 * peer.MaxDatagramBytes
)

// Options configures a Member. Self, Network and Conn are required.
type Options struct {
	// Self describes this instance. Its peer address is the address of Conn as other instances reach it.
	Self    pond.Instance
	Network *peer.Network
	// Conn is the UDP socket on the peer address. Run closes it.
	Conn net.PacketConn
	// Seeds are the configured peer addresses to probe at startup. AddSeeds adds others later.
	Seeds []string
	// Random must not be shared with other users, because it is not safe for concurrent use.
	Random *rand.Rand
	Logger logrus.FieldLogger
}

// ManifestHandler receives the manifest version that another instance announced with a datagram.
type ManifestHandler func(from pond.Instance, version *peerpb.ManifestVersion)

// Member runs the membership protocol of one instance. It implements pond.Directory and is safe for concurrent use.
type Member struct {
	options  Options
	sent     atomic.Uint64
	received atomic.Uint64
	view     atomic.Pointer[view]

	mu         sync.Mutex
	machine    *Machine
	onManifest []ManifestHandler
}

// view is an immutable copy of the table for readers that do not hold the mutex.
type view struct {
	changes   uint64
	self      pond.Instance
	instances []pond.Instance
	backends  map[string]BackendState
}

// Snapshot is the state of the membership for the status page.
type Snapshot struct {
	Self      pond.Instance
	Instances []pond.Instance
	Backends  map[string]BackendState
	// SentBytes and ReceivedBytes are the encrypted datagram bytes since the process started.
	SentBytes     uint64
	ReceivedBytes uint64
}

// New returns a member that knows only itself and its seeds.
func New(options Options) (*Member, error) {
	if options.Network == nil || options.Conn == nil || options.Self.ID() == "" {
		return nil, errors.New("member options need Self, Network and Conn")
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	m := &Member{options: options, machine: NewMachine(options.Self, options.Random, time.Now())}
	m.machine.SetSeeds(options.Seeds)
	m.publishView()
	return m, nil
}

// Register adds the synchronisation service to the drpc server of this instance.
func (m *Member) Register(mux drpc.Mux) error {
	return errors.Wrap(peerpb.DRPCRegisterMembers(mux, &syncServer{member: m}), "register membership service")
}

// Run runs the protocol until ctx ends, then closes the socket.
func (m *Member) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx) })
	group.Go(func() error { return m.tick(ctx, group) })
	group.Go(func() error {
		<-ctx.Done()
		return m.options.Conn.Close()
	})
	return group.Wait()
}

// Self returns this instance.
func (m *Member) Self() pond.Instance { return m.view.Load().self }

// Instances returns all instances that are not gone, including this one, ordered by ID. The caller must not modify the
// slice.
func (m *Member) Instances() []pond.Instance { return m.view.Load().instances }

// Releases returns the releases of the other instances that are not gone and have sent something.
func (m *Member) Releases() map[pond.InstanceID]Release {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Releases()
}

// AddSeeds sets the peer addresses that are seeds in addition to Options.Seeds, for example those in the instance list
// of the platform. It replaces those of earlier calls.
func (m *Member) AddSeeds(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetSeeds(append(append([]string(nil), m.options.Seeds...), addresses...))
}

// Seeds returns the configured peer addresses and those from AddSeeds.
func (m *Member) Seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Seeds()
}

// Synced reports whether the full table was synchronised since the process started or was last paused.
func (m *Member) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Synced()
}

// Leave announces to all members that this instance is shutting down.
func (m *Member) Leave() { m.step(func(machine *Machine) []Outgoing { return machine.Leave() }) }

// AnnounceReady tells all members that this instance, which Options.Self describes as starting, is ready for callers. An instance that is not ready any
// more cannot take it back: during an outage of the store all would at once, and lookups have nobody else to name.
func (m *Member) AnnounceReady() {
	m.step(func(machine *Machine) []Outgoing {
		machine.AnnounceReady()
		return nil
	})
}

// AnnounceManifest tells all members which manifest version is in effect on this instance.
func (m *Member) AnnounceManifest(v *peerpb.ManifestVersion) {
	m.step(func(machine *Machine) []Outgoing { return machine.AnnounceManifest(v) })
}

// AnnounceBackend tells all members the state of a backend server.
func (m *Member) AnnounceBackend(backend string, state BackendState) {
	m.step(func(machine *Machine) []Outgoing { return machine.AnnounceBackend(backend, state) })
}

// BackendState returns the state of a backend server according to the notices of members.
func (m *Member) BackendState(backend string) BackendState {
	return m.view.Load().backends[backend]
}

// OnManifest adds a handler for manifest versions announced by other instances. It must be called before Run, and the
// handler must not block.
func (m *Member) OnManifest(handler ManifestHandler) { m.onManifest = append(m.onManifest, handler) }

// Snapshot returns the state for the status page. The caller must not modify it.
func (m *Member) Snapshot() Snapshot {
	v := m.view.Load()
	return Snapshot{
		Self:          v.self,
		Instances:     v.instances,
		Backends:      v.backends,
		SentBytes:     m.sent.Load(),
		ReceivedBytes: m.received.Load(),
	}
}

// step runs one transition of the machine and sends the datagrams that it returns.
func (m *Member) step(transition func(*Machine) []Outgoing) {
	m.mu.Lock()
	outgoing := transition(m.machine)
	m.publishView()
	m.mu.Unlock()
	for _, o := range outgoing {
		m.sendDatagram(o)
	}
}

// publishView replaces the view if the table has changed.
func (m *Member) publishView() {
	if old := m.view.Load(); old != nil && old.changes == m.machine.Changes() {
		return
	}
	m.view.Store(&view{
		changes:   m.machine.Changes(),
		self:      m.machine.Self(),
		instances: m.machine.Instances(),
		backends:  m.machine.Backends(),
	})
}

// sendDatagram sends a datagram. A failed send counts as a lost datagram, for which the protocol retransmits.
func (m *Member) sendDatagram(o Outgoing) {
	sealed, err := m.options.Network.Seal(o.Datagram)
	if err != nil {
		m.options.Logger.WithError(err).Error("cannot encrypt membership datagram")
		return
	}
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return
	}
	if n, err := m.options.Conn.WriteTo(sealed, net.UDPAddrFromAddrPort(address)); err == nil {
		m.sent.Add(uint64(n))
	}
}

func (m *Member) receive(ctx context.Context) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := m.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "receive membership datagrams")
		}
		if err != nil {
			continue
		}
		m.received.Add(uint64(n))
		if d, err := m.options.Network.Open(buffer[:n]); err == nil {
			m.handleDatagram(from.String(), d)
		}
	}
}

func (m *Member) handleDatagram(from string, d *peerpb.Datagram) {
	m.step(func(machine *Machine) []Outgoing { return machine.Receive(time.Now(), from, d) })
	if d.GetManifest() == nil || pond.InstanceID(d.GetSender().GetId()) == m.options.Self.ID() {
		return
	}
	sender := decodeInstance(d.GetSender())
	for _, handler := range m.onManifest {
		handler(sender, d.GetManifest())
	}
}

func (m *Member) tick(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		m.step(func(machine *Machine) []Outgoing { return machine.Tick(now) })
		m.mu.Lock()
		address, due := m.machine.SyncDue(now)
		m.mu.Unlock()
		if due {
			group.Go(func() error {
				m.synchronise(ctx, address)
				return nil
			})
		}
	}
}

// synchronise exchanges the full table with the member at the given peer address.
func (m *Member) synchronise(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	req := m.machine.SyncRequest()
	m.mu.Unlock()
	resp, err := peerpb.NewDRPCMembersClient(m.options.Network.Conn(address)).SyncMembers(ctx, req)
	if err != nil {
		m.options.Logger.WithError(err).WithField("peer", address).Debug("membership table synchronisation failed")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.machine.SyncFailed(time.Now())
		return
	}
	m.step(func(machine *Machine) []Outgoing { return machine.ApplySyncResponse(time.Now(), address, resp) })
}

type syncServer struct{ member *Member }

// SyncMembers implements peerpb.DRPCMembersServer.
func (s *syncServer) SyncMembers(_ context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersResponse, error) {
	var resp *peerpb.SyncMembersResponse
	s.member.step(func(machine *Machine) (out []Outgoing) {
		resp, out = machine.HandleSync(time.Now(), req)
		return out
	})
	if resp == nil {
		return nil, errors.New("process was paused")
	}
	return resp, nil
}
