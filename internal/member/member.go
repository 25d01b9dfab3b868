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
	syncTimeout = 5 * time.Second
	readBytes   = 2 * peer.MaxDatagramBytes
)

// Options configure a Member. Self, Network and Conn are required.
type Options struct {
	// Self describes this instance. Its peer address is the address of Conn as other instances reach it.
	Self    pond.Instance
	Network *peer.Network
	// Conn is the UDP socket on the peer address. Run closes it.
	Conn net.PacketConn
	// Seeds are peer addresses from the settings. AddSeeds adds those from the instance list.
	Seeds []string
	// Random is used by this Member alone; it is not safe for concurrent use.
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
	// SentBytes and ReceivedBytes count sealed datagrams since the start.
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
	m.publish()
	return m, nil
}

// Register adds the synchronisation service to the drpc server of this instance.
func (m *Member) Register(mux drpc.Mux) error {
	return errors.Wrap(peerpb.DRPCRegisterMembers(mux, &syncServer{member: m}), "register membership service")
}

// Run probes other members until ctx ends, then closes the socket.
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

// Instances returns all instances that are not gone, including this one, ordered by name. The caller must not change
// the slice.
func (m *Member) Instances() []pond.Instance { return m.view.Load().instances }

// AddSeeds replaces the peer addresses learned from the instance list.
func (m *Member) AddSeeds(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetSeeds(append(append([]string(nil), m.options.Seeds...), addresses...))
}

// Seeds returns the peer addresses from the settings and from AddSeeds.
func (m *Member) Seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Seeds()
}

// Synced reports whether the full table was synchronised since the start or the last pause of the process.
func (m *Member) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Synced()
}

// Leave announces to all members that this instance is shutting down.
func (m *Member) Leave() { m.do(func(machine *Machine) []Outgoing { return machine.Leave() }) }

// AnnounceManifest tells all members which manifest is in effect here.
func (m *Member) AnnounceManifest(v *peerpb.ManifestVersion) {
	m.do(func(machine *Machine) []Outgoing { return machine.AnnounceManifest(v) })
}

// NoticeBackend tells all members what this instance learned about a backend server.
func (m *Member) NoticeBackend(backend string, state BackendState) {
	m.do(func(machine *Machine) []Outgoing { return machine.NoticeBackend(backend, state) })
}

// BackendState returns what members told about a backend server.
func (m *Member) BackendState(backend string) BackendState {
	return m.view.Load().backends[backend]
}

// OnManifest adds a handler for manifest versions of other instances. The handler must not block. It must be added
// before Run.
func (m *Member) OnManifest(handler ManifestHandler) { m.onManifest = append(m.onManifest, handler) }

// Snapshot returns the state for the status page. The caller must not change it.
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

// do runs one step of the machine and sends what it returns.
func (m *Member) do(step func(*Machine) []Outgoing) {
	m.mu.Lock()
	out := step(m.machine)
	m.publish()
	m.mu.Unlock()
	for _, o := range out {
		m.write(o)
	}
}

// publish replaces the view that Instances returns if the table has changed.
func (m *Member) publish() {
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

// write sends a datagram. A failed send is a lost datagram, which the protocol repeats.
func (m *Member) write(o Outgoing) {
	sealed, err := m.options.Network.Seal(o.Datagram)
	if err != nil {
		m.options.Logger.WithError(err).Error("membership datagram not sent")
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
	buffer := make([]byte, readBytes)
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
			m.handle(from.String(), d)
		}
	}
}

func (m *Member) handle(from string, d *peerpb.Datagram) {
	m.do(func(machine *Machine) []Outgoing { return machine.Receive(time.Now(), from, d) })
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
		m.do(func(machine *Machine) []Outgoing { return machine.Tick(now) })
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

// synchronise exchanges the full table with another member.
func (m *Member) synchronise(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	req := m.machine.SyncRequest()
	m.mu.Unlock()
	resp, err := peerpb.NewDRPCMembersClient(m.options.Network.Conn(address)).SyncMembers(ctx, req)
	if err != nil {
		m.options.Logger.WithError(err).WithField("peer", address).Debug("table synchronisation failed")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.machine.SyncFailed(time.Now())
		return
	}
	m.do(func(machine *Machine) []Outgoing { return machine.SyncApply(time.Now(), address, resp) })
}

type syncServer struct{ member *Member }

// SyncMembers implements the drpc service.
func (s *syncServer) SyncMembers(_ context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersResponse, error) {
	var resp *peerpb.SyncMembersResponse
	s.member.do(func(machine *Machine) (out []Outgoing) {
		resp, out = machine.SyncAnswer(time.Now(), req)
		return out
	})
	if resp == nil {
		return nil, errors.New("process was paused")
	}
	return resp, nil
}
