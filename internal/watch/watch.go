package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	queryTimeout = 500 * time.Millisecond
	// listInterval is the shortest time between reads of the instance list; up to listJitter is added at random.
	listInterval = 8 * time.Second
	listJitter   = 4 * time.Second
)

// Options configures a Watch. Member, Network and ServiceURL are required.
type Options struct {
	Member  *member.Member
	Network *peer.Network
	// ServiceURL is the base URL of the configuration service, ListURL that of the instance list. If ListURL is empty,
	// no list is read.
	ServiceURL string
	ListURL    string
	Client     *http.Client
	// Random must not be shared with other users, because it is not safe for concurrent use.
	Random *rand.Rand
	Logger logrus.FieldLogger
}

// Watch keeps the manifest in effect and the states of backend servers for one instance. It implements spec.Source and
// pond.BackendView and is safe for concurrent use.
type Watch struct {
	options    Options
	platform   *platformClient
	compressor compressor
	group      *errgroup.Group
	ctx        context.Context

	mu       sync.RWMutex
	machine  *Machine
	backends *Backends
	onChange []func(*spec.Manifest)
	reads    uint64
	listRead time.Time

	// notifyMu serialises announcements and calls of onChange, so that the last one carries the newest manifest.
	notifyMu sync.Mutex
}

// Snapshot is the state of the watch for the status page.
type Snapshot struct {
	// Version is zero before the first manifest.
	Version spec.Version
	Hash    uint64
	Phase   Phase
	// Confirmed reports whether new work is accepted.
	Confirmed bool
	Faults    ManifestFaults
	// ServiceReads counts reads of the configuration service since the process started.
	ServiceReads uint64
	// ListRead is the time of the last successful read of the instance list; zero for none.
	ListRead time.Time
	// ClosedBackends are the backend servers of the manifest that accept no work.
	ClosedBackends []string
}

// New returns a watch without a manifest.
func New(options Options) (*Watch, error) {
	if options.Member == nil || options.Network == nil || options.ServiceURL == "" {
		return nil, errors.New("watch options need Member, Network and ServiceURL")
	}
	if options.Client == nil {
		options.Client = newHTTPClient()
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	w := &Watch{
		options:  options,
		platform: newPlatformClient(options),
		backends: NewBackends(options.Member),
	}
	w.machine = NewMachine(options.Member, options.Random, time.Now())
	options.Member.OnManifest(w.handleAnnouncement)
	return w, nil
}

// Register adds the manifest service to the drpc server of this instance.
func (w *Watch) Register(mux drpc.Mux) error {
	return errors.Wrap(peerpb.DRPCRegisterManifests(mux, &manifestServer{watch: w}), "register manifest service")
}

// Run runs the protocol and reads the instance list until ctx ends. Member.Run must run at the same time.
func (w *Watch) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	w.mu.Lock()
	w.group, w.ctx = group, ctx
	w.machine.startConfirmation(time.Now())
	w.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.group = nil
		return nil
	})
	group.Go(func() error { return w.tick(ctx) })
	if w.options.ListURL != "" {
		group.Go(func() error { return w.followList(ctx) })
	}
	return group.Wait()
}

// Current returns the manifest in effect, or nil before the first one.
func (w *Watch) Current() *spec.Manifest {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.machine.Current()
}

// Confirmed reports whether new work may be accepted under the manifest in effect.
func (w *Watch) Confirmed(now time.Time) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.machine.Confirmed(now)
}

// Accepting reports whether a backend server may receive new work.
func (w *Watch) Accepting(backend string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.backends.Accepting(time.Now(), backend)
}

// MarkLeaving announces to all instances that a backend server reported itself as leaving.
func (w *Watch) MarkLeaving(backend string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends.MarkLeaving(backend)
}

// WithdrawNotices withdraws notices about a backend server that was restarted as a new process; see
// Backends.WithdrawNotices.
func (w *Watch) WithdrawNotices(backend string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends.WithdrawNotices(backend)
}

// RecordRefusal records that a backend server refused a connection from this instance.
func (w *Watch) RecordRefusal(backend string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends.RecordRefusal(time.Now(), backend)
}

// OnChange adds a function that is called with the manifest in effect after each change. If two changes follow each
// other closely, it may be called twice with the second manifest. OnChange must be called before Run, and f must not
// block.
func (w *Watch) OnChange(f func(*spec.Manifest)) { w.onChange = append(w.onChange, f) }

// Snapshot returns the state for the status page.
func (w *Watch) Snapshot() Snapshot {
	now := time.Now()
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := Snapshot{
		Phase:          w.machine.Phase(),
		Confirmed:      w.machine.Confirmed(now),
		Faults:         w.machine.Faults(),
		ServiceReads:   w.reads,
		ListRead:       w.listRead,
		ClosedBackends: w.backends.Closed(now),
	}
	if current := w.machine.Current(); current != nil {
		s.Version, s.Hash = current.Version(), current.Hash()
	}
	return s
}

func (w *Watch) handleAnnouncement(from pond.Instance, v *peerpb.ManifestVersion) {
	w.step(func(m *Machine, now time.Time) []Action { return m.HandleAnnouncement(now, from, v) })
}

// step runs one transition of the machine and starts the actions that it returns.
func (w *Watch) step(transition func(*Machine, time.Time) []Action) {
	w.mu.Lock()
	before, faults := w.machine.Current(), w.machine.Faults()
	actions := transition(w.machine, time.Now())
	current := w.machine.Current()
	if current != before {
		w.backends.SetManifest(current)
	}
	w.logFaults(faults, w.machine.Faults())
	w.mu.Unlock()
	if current != before {
		w.notifyChange()
	}
	w.performActions(actions)
}

func (w *Watch) notifyChange() {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	current := w.Current()
	w.options.Logger.WithField("version", current.Version().String()).Info("manifest adopted")
	for _, f := range w.onChange {
		f(current)
	}
}

func (w *Watch) logFaults(before, after ManifestFaults) {
	if after.Invalid != before.Invalid {
		w.options.Logger.Warn(after.LastInvalid)
	}
	if after.Conflicts != before.Conflicts {
		w.options.Logger.Warn(after.LastConflict)
	}
	if after.Rollbacks != before.Rollbacks {
		w.options.Logger.Warn(after.LastRollback)
	}
}

func (w *Watch) performActions(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Announce:
			w.announce()
		case Read:
			w.spawn(func() { w.performRead(a) })
		case Query:
			w.spawn(func() { w.performQuery(a) })
		case Fetch:
			w.spawn(func() { w.performFetch(a) })
		}
	}
}

// announce announces the version currently in effect, which may be newer than that of the Announce action.
func (w *Watch) announce() {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	w.mu.RLock()
	version := w.machine.Version(time.Now())
	w.mu.RUnlock()
	w.options.Member.AnnounceManifest(version)
}

func (w *Watch) isNewer(v *peerpb.ManifestVersion) bool {
	current := w.Current()
	return current == nil || versionOf(v).After(current.Version())
}

// spawn runs f in a goroutine that Run waits for. It does nothing before Run is called or after ctx has ended.
func (w *Watch) spawn(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil {
		return
	}
	w.group.Go(func() error {
		f()
		return nil
	})
}

func (w *Watch) tick(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.step(func(m *Machine, now time.Time) []Action { return m.Tick(now) })
		}
	}
}

func (w *Watch) performRead(read Read) {
	w.mu.Lock()
	w.reads++
	w.mu.Unlock()
	result := w.platform.readManifest(w.ctx, read)
	if result.Err != nil {
		w.options.Logger.WithError(result.Err).Debug("cannot read the configuration service")
	}
	w.step(func(m *Machine, now time.Time) []Action { return m.ReadDone(now, result) })
}

func (w *Watch) performQuery(query Query) {
	ctx, cancel := context.WithTimeout(w.ctx, queryTimeout)
	defer cancel()
	client := peerpb.NewDRPCManifestsClient(w.options.Network.Conn(query.Address))
	resp, err := client.Confirm(ctx, &peerpb.ConfirmRequest{})
	w.step(func(m *Machine, now time.Time) []Action { return m.QueryDone(now, query, resp.GetManifest(), err) })
}

func (w *Watch) performFetch(fetch Fetch) {
	ctx, cancel := context.WithTimeout(w.ctx, fetchTimeout)
	defer cancel()
	req := new(peerpb.FetchManifestRequest)
	if fetch.Base != nil {
		v := fetch.Base.Version()
		req.Base = &peerpb.ManifestVersion{Number: v.Number, Revision: v.Revision, Hash: fetch.Base.Hash()}
	}
	resp, err := peerpb.NewDRPCManifestsClient(w.options.Network.Conn(fetch.Address)).FetchManifest(ctx, req)
	result := FetchResult{Version: resp.GetManifest(), Err: err}
	// A concurrent fetch of the same version may have completed first; decoding 1 MB again would take over 30 ms.
	if err == nil && w.isNewer(resp.GetManifest()) {
		result = decodeFetched(resp, fetch.Base)
	}
	w.step(func(m *Machine, now time.Time) []Action { return m.FetchDone(now, fetch, result) })
}
