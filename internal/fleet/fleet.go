package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// manifestPauses is the time between two builds of the manifest as a multiple of the time that the last one took, and maxManifestPause its
	// bound: engines that come and go have to be known well within a second. Builds that take less than cheapManifest are not limited.
	manifestPauses   = 3
	maxManifestPause = 250 * time.Millisecond
	cheapManifest    = 2 * time.Millisecond
)

const (
	// reregisterWindow is the time after a store outage within which live backend servers register again.
	reregisterWindow = 2 * time.Second

	// restoredHold is the time for which a backend server that has left gets no work although an older copy of the store lists it. If it
	// is gone, its entry expires meanwhile: after three heartbeats of 1.2 s.
	restoredHold = 4 * time.Second

	// goneRetention is the time for which a backend server is kept after its entry was removed. Copies of its runs live
	// 5 s.
	goneRetention = 15 * time.Second

	bitsPerByte = 8

	// shortShare is the share of engine memory that is reserved for short generations, headroom the share that is kept
	// free for growth.
	shortShare = 0.05
	headroom   = 0.01

	// maxOutputTokens bounds the output of a generation for placement; requests state their own limit.
	maxOutputTokens = 32_768
)

// Decoder decodes published records.
type Decoder interface {
	// Catalogue returns nil if the record holds no configuration.
	Catalogue(record feed.Record) (*route.Catalogue, error)
	// Backend returns false if the record describes no backend server. With true and an error, the entry is invalid and
	// the backend server must not be used.
	Backend(record feed.Record) (route.Backend, bool, error)
	// Evacuation returns the data centre that a record evacuates, and false for any other record. The deletion of the record ends the
	// evacuation.
	Evacuation(record feed.Record) (dataCentre string, ok bool)
}

// Options configure a Fleet.
type Options struct {
	Decoder Decoder
	// IgnoreBackoffs sends requests to backend servers that have asked for a back-off.
	IgnoreBackoffs bool
	// IgnoreEvacuations sends requests to the backend servers of evacuated data centres.
	IgnoreEvacuations bool
	// ColdOvershoot and ColdSlack bound the requests that a cold backend server gets in any second: the rate of its service times
	// ColdOvershoot, and ColdSlack more. If both are zero, cold backend servers have no limit.
	ColdOvershoot float64
	ColdSlack     float64
	// OnCold is called when a backend server says in a response that it is cold for longer than was known; nil for nothing.
	OnCold func(id string)
	// Regions maps each region to its data centres.
	Regions map[string][]string
	// LinkBits is the capacity of the link between regions that placement may use, in bits per second.
	LinkBits int64
	Clock    func() time.Time
	Log      logrus.FieldLogger
}

type trackedBackend struct {
	backend route.Backend
	// leavingAt is the time at which the backend server was first known to leave; zero if it is not leaving.
	leavingAt time.Time
	// goneAt is the time at which the entry was removed; zero while it is listed.
	goneAt time.Time
	// reregisterUntil is the time until which a backend server whose entry may only have expired still gets new work;
	// zero if the entry did not expire.
	reregisterUntil time.Time
	// heldUntil is the time until which a backend server gets no work although it is listed; see restoredHold.
	heldUntil time.Time
}

// knownBetter reports whether more is known of a backend server than a new entry says: a later start, or that it leaves, which a start does
// not take back.
func (b *trackedBackend) knownBetter(entry route.Backend) bool {
	if b == nil || b.backend.StartedAtMillis != entry.StartedAtMillis {
		return b != nil && entry.StartedAtMillis != 0 && entry.StartedAtMillis < b.backend.StartedAtMillis
	}
	return b.backend.Leaving && !entry.Leaving
}

// left reports whether this start of a backend server is known to have left.
func (b *trackedBackend) left(startedAtMillis int64, now time.Time) bool {
	return b != nil && b.backend.StartedAtMillis == startedAtMillis && !b.goneAt.IsZero() && !now.Before(b.reregisterUntil)
}

func (b *trackedBackend) accepting(now time.Time) bool {
	return !b.backend.Leaving && !now.Before(b.heldUntil) && (b.goneAt.IsZero() || now.Before(b.reregisterUntil))
}

// Fleet holds the configuration and the backend servers as one instance knows them. It is safe for concurrent use.
type Fleet struct {
	options  Options
	regionOf map[string]string

	mu              sync.RWMutex
	catalogue       *route.Catalogue
	revision        uint64
	backends        map[string]*trackedBackend
	reportedLeaving map[string]time.Time    // backend servers that reported that they leave
	suspendedUntil  map[string]time.Time    // backend servers that did not answer, and until when they get no new work
	backoffs        map[string]backoff      // of backend servers that want no requests from this instance
	signaledLeaving map[string]leavingStart // backend servers that said in a response that they leave
	evacuations     map[string]evacuation   // by data centre
	coldStarts      map[string]coldStart    // backend servers that are cold for longer than their entries say
	manifest        *spec.Manifest
	// manifestStale is true if something has changed since the manifest was built. It is not built again before manifestDueAt.
	manifestStale   bool
	manifestDueAt   time.Time
	callbacks       []func()
	rejectedEntries int
}

// New returns a fleet without a configuration and backend servers.
func New(options Options) *Fleet {
	f := &Fleet{
		options:         options,
		regionOf:        make(map[string]string),
		backends:        make(map[string]*trackedBackend),
		reportedLeaving: make(map[string]time.Time),
		suspendedUntil:  make(map[string]time.Time),
		backoffs:        make(map[string]backoff),
		signaledLeaving: make(map[string]leavingStart),
		evacuations:     make(map[string]evacuation),
		coldStarts:      make(map[string]coldStart),
	}
	for region, dataCentres := range options.Regions {
		for _, dataCentre := range dataCentres {
			f.regionOf[dataCentre] = region
		}
	}
	return f
}

// OnChange adds a callback that is called after each change, without a lock held. OnChange must be called before Apply.
func (f *Fleet) OnChange(callback func()) { f.callbacks = append(f.callbacks, callback) }

// Apply applies published records.
func (f *Fleet) Apply(records []feed.Record, known feed.Knowledge) {
	now := f.options.Clock()
	f.mu.Lock()
	if slices.ContainsFunc(records, func(record feed.Record) bool { return record.Restored }) {
		f.revision = 0 // The store has come back from an older copy and gives revisions out again.
	}
	for _, record := range records {
		f.revision = max(f.revision, record.Revision)
		f.applyConfiguration(record)
		f.applyBackend(record, now, known)
		f.applyEvacuation(record, now)
	}
	f.endEvacuations(now)
	f.evictGone(now)
	f.manifestStale = true
	f.mu.Unlock()
	for _, callback := range f.callbacks {
		callback()
	}
}

func (f *Fleet) applyConfiguration(record feed.Record) {
	catalogue, err := f.options.Decoder.Catalogue(record)
	if err != nil {
		f.options.Log.WithError(err).WithFields(logrus.Fields{
			logs.Event: "configurationRejected", logs.Revision: record.Revision,
		}).Error("configuration cannot be decoded; keeping the one in effect")
		return
	}
	if catalogue == nil {
		return
	}
	if f.catalogue != nil && catalogue.Version() <= f.catalogue.Version() {
		return
	}
	f.catalogue = catalogue
	f.options.Log.WithFields(logrus.Fields{
		logs.Event: "configurationInEffect", logs.Version: catalogue.Version(), logs.Revision: record.Revision,
	}).Info("configuration in effect")
}

func (f *Fleet) applyBackend(record feed.Record, now time.Time, known feed.Knowledge) {
	backend, ok, err := f.options.Decoder.Backend(record)
	if !ok {
		return
	}
	previous := f.backends[backend.ID]
	if err == nil && !record.Deleted && previous.knownBetter(backend) {
		f.options.Log.WithFields(logrus.Fields{
			logs.Event: "backendEntryOutdated", logs.Backend: backend.ID, logs.Revision: record.Revision,
		}).Info("entry of a backend server is older than what is known and is ignored")
		return
	}
	log := f.options.Log.WithFields(logrus.Fields{logs.Backend: backend.ID, logs.Revision: record.Revision})
	switch {
	case err != nil:
		f.rejectedEntries++
		log.WithError(err).WithField(logs.Event, "backendEntryRejected").Warn("entry of a backend server is invalid")
		f.markGone(previous, now, time.Time{})
	case record.Deleted:
		if previous == nil {
			return
		}
		reregisterUntil := time.Time{}
		switch {
		case record.Restored:
			reregisterUntil = now.Add(reregisterWindow)
		case !known.StoreOutageAt.IsZero() && now.Sub(known.StoreOutageAt) < reregisterWindow:
			reregisterUntil = known.StoreOutageAt.Add(reregisterWindow)
		}
		f.markGone(previous, now, reregisterUntil)
		log.WithFields(logrus.Fields{logs.Event: "backendGone", "doubtful": !reregisterUntil.IsZero()}).
			Info("backend server gone")
	default:
		if previous == nil || previous.backend.StartedAtMillis != backend.StartedAtMillis || !previous.goneAt.IsZero() {
			delete(f.reportedLeaving, backend.ID)
			delete(f.suspendedUntil, backend.ID)
		}
		if previous != nil && previous.backend.StartedAtMillis != backend.StartedAtMillis {
			f.carryBackoff(backend, known.CompleteAt)
		}
		if previous == nil || !previous.goneAt.IsZero() || previous.backend.Leaving != backend.Leaving ||
			previous.backend.StartedAtMillis != backend.StartedAtMillis || previous.backend.Address != backend.Address {
			log.WithFields(coldFields(logrus.Fields{
				logs.Event: "backendListed", logs.Service: backend.Service, logs.Address: backend.Address, "leaving": backend.Leaving,
				logs.StartedAtMillis: backend.StartedAtMillis,
			}, backend, now)).Info("backend server listed")
		}
		f.carryLeaving(backend, known.CompleteAt)
		updated := &trackedBackend{backend: backend}
		if record.Restored && previous.left(backend.StartedAtMillis, now) {
			updated.heldUntil = now.Add(restoredHold)
			log.WithField(logs.Event, "backendHeld").Info("a backend server that has left is listed by an older copy of the store")
			time.AfterFunc(restoredHold, func() { f.Apply(nil, feed.Knowledge{}) })
		}
		if backend.Leaving {
			updated.leavingAt = now
			if previous != nil && previous.backend.StartedAtMillis == backend.StartedAtMillis && !previous.leavingAt.IsZero() {
				updated.leavingAt = previous.leavingAt
			}
		}
		f.backends[backend.ID] = updated
	}
}

func (f *Fleet) markGone(tracked *trackedBackend, now, reregisterUntil time.Time) {
	if tracked == nil || !tracked.goneAt.IsZero() {
		return
	}
	tracked.goneAt, tracked.reregisterUntil = now, reregisterUntil
	if tracked.leavingAt.IsZero() {
		tracked.leavingAt = now
	}
}

// evictGone deletes the backend servers whose entries were removed more than goneRetention ago.
func (f *Fleet) evictGone(now time.Time) {
	for id, tracked := range f.backends {
		if !tracked.goneAt.IsZero() && now.Sub(tracked.goneAt) > goneRetention {
			delete(f.backends, id)
			delete(f.reportedLeaving, id)
			delete(f.suspendedUntil, id)
		}
	}
	f.evictSignals(now)
	f.evictCold(now)
}

// MarkLeaving records that a backend server itself reported that it leaves.
func (f *Fleet) MarkLeaving(id string) {
	f.mu.Lock()
	_, alreadyReported := f.reportedLeaving[id]
	f.reportedLeaving[id] = f.options.Clock()
	f.mu.Unlock()
	if alreadyReported {
		return
	}
	f.options.Log.WithFields(logrus.Fields{logs.Event: "backendRefused", logs.Backend: id}).
		Info("backend server reported that it takes no new work")
	for _, callback := range f.callbacks {
		callback()
	}
}

// Suspend gives a backend server that does not answer no new work until a time, unless no other one of its service
// takes any. It reports whether the backend server is still listed.
func (f *Fleet) Suspend(id string, until time.Time) bool {
	now := f.options.Clock()
	f.mu.Lock()
	tracked, ok := f.backends[id]
	if !ok || !tracked.goneAt.IsZero() {
		f.mu.Unlock()
		return false
	}
	was, is := now.Before(f.suspendedUntil[id]), f.othersAccept(tracked.backend, now)
	if is {
		f.suspendedUntil[id] = until
	} else {
		delete(f.suspendedUntil, id)
	}
	f.mu.Unlock()
	if was != is {
		f.logSuspension(id, is)
		f.notify()
	}
	return true
}

func (f *Fleet) logSuspension(id string, suspended bool) {
	log := f.options.Log.WithField(logs.Backend, id)
	if suspended {
		log.WithField(logs.Event, "backendSuspended").Info("backend server does not answer and gets no new work for now")
		return
	}
	log.WithField(logs.Event, "backendResumed").Info("backend server gets new work again")
}

// Resume ends the suspension of a backend server that answers again.
func (f *Fleet) Resume(id string) {
	f.mu.Lock()
	_, suspended := f.suspendedUntil[id]
	delete(f.suspendedUntil, id)
	f.mu.Unlock()
	if suspended {
		f.logSuspension(id, false)
		f.notify()
	}
}

// othersAccept reports whether another backend server of the same service takes new work. The lock must be held.
func (f *Fleet) othersAccept(backend route.Backend, now time.Time) bool {
	for id, other := range f.backends {
		if id != backend.ID && other.backend.Service == backend.Service && f.accepts(id, other, now) {
			return true
		}
	}
	return false
}

// accepts reports whether a backend server takes new work. The lock must be held.
func (f *Fleet) accepts(id string, tracked *trackedBackend, now time.Time) bool {
	_, leaving := f.reportedLeaving[id]
	return !leaving && !f.saysLeaving(id, tracked) && !now.Before(f.suspendedUntil[id]) && tracked.accepting(now) &&
		!f.evacuated(tracked.backend.DataCentre, now)
}

func (f *Fleet) notify() {
	for _, callback := range f.callbacks {
		callback()
	}
}

// Accepting implements pond.BackendView.
func (f *Fleet) Accepting(id string) bool {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	tracked, ok := f.backends[id]
	return ok && f.accepts(id, tracked, now)
}

// RejectedEntries returns the number of entries of backend servers that were not usable.
func (f *Fleet) RejectedEntries() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.rejectedEntries
}

// Backend returns a backend server, including one that is leaving or left recently.
func (f *Fleet) Backend(id string) (route.Backend, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	tracked, ok := f.backends[id]
	if !ok {
		return route.Backend{}, false
	}
	return tracked.backend, true
}

// LeavingSince returns the time at which the entry of a backend server was first known to be leaving or removed, and
// false if it is neither or unknown. What the backend server itself reported does not count.
func (f *Fleet) LeavingSince(id string) (time.Time, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	tracked, ok := f.backends[id]
	if !ok || tracked.leavingAt.IsZero() {
		return time.Time{}, false
	}
	return tracked.leavingAt, true
}

// Distance returns the distance between two data centres.
func (f *Fleet) Distance(from, to string) metric.Distance {
	region, known := f.regionOf[to]
	switch {
	case from == to:
		return metric.DistanceSameDataCentre
	case !known:
		return metric.DistanceUnknown
	case region == f.regionOf[from]:
		return metric.DistanceSameRegion
	default:
		return metric.DistanceOtherRegion
	}
}

// ByAddress returns the listed backend server with the given address. If several are listed, it is the one that started last: addresses are used
// again while the entry of a server that has ended may last.
func (f *Fleet) ByAddress(address string) (route.Backend, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var latest route.Backend
	found := false
	for _, tracked := range f.backends {
		b := tracked.backend
		if b.Address == address && tracked.goneAt.IsZero() && (!found || b.StartedAtMillis > latest.StartedAtMillis) {
			latest, found = b, true
		}
	}
	return latest, found
}

// KnowsAddress reports whether a backend server has an address, or had it until a short time ago.
func (f *Fleet) KnowsAddress(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, tracked := range f.backends {
		if tracked.backend.Address == address {
			return true
		}
	}
	return false
}

// AcceptingAddresses returns the addresses of all backend servers that take new work.
func (f *Fleet) AcceptingAddresses() []string {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var addresses []string
	for id, tracked := range f.backends {
		if f.accepts(id, tracked, now) {
			addresses = append(addresses, tracked.backend.Address)
		}
	}
	return addresses
}

// AcceptingBackends returns the backend servers of a service that take new work, ordered by ID.
func (f *Fleet) AcceptingBackends(service string) []route.Backend {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var backends []route.Backend
	for id, tracked := range f.backends {
		if tracked.backend.Service == service && f.accepts(id, tracked, now) {
			backends = append(backends, tracked.backend)
		}
	}
	slices.SortFunc(backends, func(a, b route.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

// ClosedBackends returns the backend servers of a service that take no new work, including those that left recently, ordered by ID.
func (f *Fleet) ClosedBackends(service string) []route.Backend {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var backends []route.Backend
	for id, tracked := range f.backends {
		if tracked.backend.Service == service && !f.accepts(id, tracked, now) {
			backends = append(backends, tracked.backend)
		}
	}
	slices.SortFunc(backends, func(a, b route.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

// Catalogue returns the configuration in effect, or nil before the first one.
func (f *Fleet) Catalogue() *route.Catalogue {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.catalogue
}

// Revision returns the revision of the newest record.
func (f *Fleet) Revision() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.revision
}

// Region returns the region of a data centre, or "" if it is unknown.
func (f *Fleet) Region(dataCentre string) string { return f.regionOf[dataCentre] }

// Current implements spec.Source. The manifest holds the engines of all services, with each service as a model.
//
// It is built when it is asked for, and for large deployments building it takes a quarter of the time at most: for thousands of backend
// servers, of which hundreds change in a second, it takes some milliseconds.
func (f *Fleet) Current() *spec.Manifest {
	f.mu.RLock()
	manifest, due := f.manifest, f.manifestDue(f.options.Clock())
	f.mu.RUnlock()
	if !due {
		return manifest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if began := f.options.Clock(); f.manifestDue(began) {
		f.manifest, f.manifestStale = f.buildManifest(), false
		now := f.options.Clock()
		f.manifestDueAt = now.Add(manifestPause(now.Sub(began)))
	}
	return f.manifest
}

// manifestPause returns the time until the manifest may be built again after a build that took so long.
func manifestPause(took time.Duration) time.Duration {
	if took < cheapManifest {
		return 0
	}
	return min(manifestPauses*took, maxManifestPause)
}

// manifestDue reports whether the manifest is to be built. The lock must be held.
func (f *Fleet) manifestDue(now time.Time) bool {
	return f.manifestStale && (f.manifest == nil || !now.Before(f.manifestDueAt) || f.manifestDueAt.Sub(now) > maxManifestPause)
}

// Confirmed implements spec.Source. Keys are checked for each request, so placement needs no confirmation.
func (f *Fleet) Confirmed(time.Time) bool { return f.Current() != nil }

func (f *Fleet) buildManifest() *spec.Manifest {
	if f.catalogue == nil {
		return nil
	}
	now := f.options.Clock()
	config := spec.ManifestConfig{
		Version:            spec.Version{Number: f.catalogue.Version(), Revision: f.revision},
		LinkBytesPerSecond: f.options.LinkBits / bitsPerByte,
	}
	config.ShortShare, config.Headroom = shortShare, headroom
	for region, dataCentres := range f.options.Regions {
		config.Regions = append(config.Regions, spec.Region{Name: region, DataCentres: dataCentres})
	}
	slices.SortFunc(config.Regions, func(a, b spec.Region) int { return cmp.Compare(a.Name, b.Name) })
	engineSpecs := make(map[string]*route.EngineSpec)
	for _, service := range f.catalogue.Services() {
		if service.Engine != nil {
			engineSpecs[service.Name] = service.Engine
			if service.Engine.SupportsMoves && service.Engine.LinkBitsPerSecond > 0 {
				config.TokenCopyTime = tokenCopyTime(service.Engine)
			}
			config.Models = append(config.Models, spec.ModelConfig{Name: service.Name, MaxTokens: maxOutputTokens})
		}
	}
	for id, tracked := range f.backends {
		engineSpec, ok := engineSpecs[tracked.backend.Service]
		if !ok {
			continue
		}
		config.Engines = append(config.Engines, spec.EngineConfig{
			Name:         id,
			Address:      tracked.backend.Address,
			DataCentre:   tracked.backend.DataCentre,
			Model:        tracked.backend.Service,
			MemoryTokens: engineSpec.MemoryTokens,
			MaxRunning:   engineSpec.Slots,
			Leaving:      !tracked.accepting(now) || f.evacuated(tracked.backend.DataCentre, now),
		})
	}
	slices.SortFunc(config.Engines, func(a, b spec.EngineConfig) int { return cmp.Compare(a.Name, b.Name) })
	for _, account := range f.catalogue.Accounts() {
		config.Accounts = append(config.Accounts, spec.AccountConfig{Name: account.Name, Weight: 1})
	}
	return spec.Assemble(config)
}

// tokenCopyTime returns the time that it takes to copy the KV cache of one token over an engine's link.
func tokenCopyTime(engineSpec *route.EngineSpec) time.Duration {
	bits := float64(engineSpec.TokenBytes) * bitsPerByte
	return time.Duration(bits / float64(engineSpec.LinkBitsPerSecond) * float64(time.Second))
}
