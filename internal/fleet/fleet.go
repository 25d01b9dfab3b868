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
	// registerLimit is the time after a disturbance of the store within which backend servers that live register again.
	registerLimit = 2 * time.Second

	// keepGone is the time for which a backend server that left stays known. Copies of its runs live 5 s.
	keepGone = 15 * time.Second

	bitsPerByte = 8

	// shortShare and headroom are the shares of engine memory that long work may not use and that is kept for growth.
	shortShare = 0.05
	headroom   = 0.01

	// outputLimit bounds one output for placement; requests state their own limit.
	outputLimit = 32_768
)

// Decoder decodes published records.
type Decoder interface {
	// Catalogue returns nil for a record that holds no configuration.
	Catalogue(record feed.Record) (*route.Catalogue, error)
	// Backend returns false for a record that describes no backend server. With an error, the entry names none to use.
	Backend(record feed.Record) (route.Backend, bool, error)
}

// Options hold what a Fleet needs.
type Options struct {
	Decoder Decoder
	// Regions maps each region to its data centres.
	Regions map[string][]string
	// LinkBits is the capacity of the link between regions in bits per second, as far as placement may use it.
	LinkBits int64
	Clock    func() time.Time
	Log      logrus.FieldLogger
}

type member struct {
	backend route.Backend
	// leavingAt is the time at which the backend server was first known to leave; zero while it is not.
	leavingAt time.Time
	// goneAt is the time at which the entry was removed; zero while it is listed.
	goneAt time.Time
	// doubtUntil is the time until which a removed entry may be registered again.
	doubtUntil time.Time
}

func (m *member) accepting(now time.Time) bool {
	return !m.backend.Leaving && (m.goneAt.IsZero() || now.Before(m.doubtUntil))
}

// Fleet is the view of one instance. It is safe for concurrent use.
type Fleet struct {
	options  Options
	regionOf map[string]string

	mu        sync.RWMutex
	catalogue *route.Catalogue
	revision  uint64
	members   map[string]*member
	refused   map[string]time.Time // backend servers that said themselves that they leave
	manifest  *spec.Manifest
	changed   []func()
}

// New returns a fleet that knows nothing.
func New(options Options) *Fleet {
	f := &Fleet{
		options:  options,
		regionOf: make(map[string]string),
		members:  make(map[string]*member),
		refused:  make(map[string]time.Time),
	}
	for region, dataCentres := range options.Regions {
		for _, dataCentre := range dataCentres {
			f.regionOf[dataCentre] = region
		}
	}
	return f
}

// OnChange adds a function that is called after each change, without a lock. It must be called before Apply.
func (f *Fleet) OnChange(changed func()) { f.changed = append(f.changed, changed) }

// Apply adds published records. disturbedAt is the last time at which the store did not answer as it should.
func (f *Fleet) Apply(records []feed.Record, disturbedAt time.Time) {
	now := f.options.Clock()
	f.mu.Lock()
	for _, record := range records {
		f.revision = max(f.revision, record.Revision)
		f.applyConfiguration(record)
		f.applyBackend(record, now, disturbedAt)
	}
	f.sweep(now)
	f.manifest = f.assemble()
	f.mu.Unlock()
	for _, changed := range f.changed {
		changed()
	}
}

func (f *Fleet) applyConfiguration(record feed.Record) {
	catalogue, err := f.options.Decoder.Catalogue(record)
	if err != nil {
		f.options.Log.WithError(err).WithFields(logrus.Fields{
			logs.Event: "configurationRejected", logs.Revision: record.Revision,
		}).Error("configuration cannot be decoded; the one in effect stays")
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

func (f *Fleet) applyBackend(record feed.Record, now, disturbedAt time.Time) {
	backend, ok, err := f.options.Decoder.Backend(record)
	if !ok {
		return
	}
	known := f.members[backend.ID]
	log := f.options.Log.WithFields(logrus.Fields{logs.Backend: backend.ID, logs.Revision: record.Revision})
	switch {
	case err != nil:
		log.WithError(err).WithField(logs.Event, "backendEntryRejected").Warn("entry of a backend server cannot be used")
		f.remove(known, now, time.Time{})
	case record.Deleted:
		if known == nil {
			return
		}
		doubtUntil := time.Time{}
		if !disturbedAt.IsZero() && now.Sub(disturbedAt) < registerLimit {
			doubtUntil = disturbedAt.Add(registerLimit)
		}
		f.remove(known, now, doubtUntil)
		log.WithFields(logrus.Fields{logs.Event: "backendGone", "doubtful": !doubtUntil.IsZero()}).Info("backend server gone")
	default:
		if known == nil || known.backend.Born != backend.Born || !known.goneAt.IsZero() {
			delete(f.refused, backend.ID)
		}
		if known == nil || known.backend.Leaving != backend.Leaving {
			log.WithFields(logrus.Fields{
				logs.Event: "backendListed", logs.Service: backend.Service, "leaving": backend.Leaving,
			}).Info("backend server listed")
		}
		fresh := &member{backend: backend}
		if backend.Leaving {
			fresh.leavingAt = now
			if known != nil && known.backend.Born == backend.Born && !known.leavingAt.IsZero() {
				fresh.leavingAt = known.leavingAt
			}
		}
		f.members[backend.ID] = fresh
	}
}

func (f *Fleet) remove(known *member, now, doubtUntil time.Time) {
	if known == nil || !known.goneAt.IsZero() {
		return
	}
	known.goneAt, known.doubtUntil = now, doubtUntil
	if known.leavingAt.IsZero() {
		known.leavingAt = now
	}
}

// sweep forgets backend servers that left long ago.
func (f *Fleet) sweep(now time.Time) {
	for id, m := range f.members {
		if !m.goneAt.IsZero() && now.Sub(m.goneAt) > keepGone {
			delete(f.members, id)
			delete(f.refused, id)
		}
	}
}

// Refused notes that a backend server itself said that it leaves.
func (f *Fleet) Refused(id string) {
	f.mu.Lock()
	_, known := f.refused[id]
	f.refused[id] = f.options.Clock()
	f.mu.Unlock()
	if known {
		return
	}
	f.options.Log.WithFields(logrus.Fields{logs.Event: "backendRefused", logs.Backend: id}).
		Info("backend server takes no new work by its own answer")
	for _, changed := range f.changed {
		changed()
	}
}

// Accepting implements pond.BackendView.
func (f *Fleet) Accepting(id string) bool {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, ok := f.members[id]
	if !ok {
		return false
	}
	_, refused := f.refused[id]
	return !refused && m.accepting(now)
}

// Backend returns a backend server, also one that is leaving or left lately.
func (f *Fleet) Backend(id string) (route.Backend, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, ok := f.members[id]
	if !ok {
		return route.Backend{}, false
	}
	return m.backend, true
}

// LeavingSince returns the time at which a backend server was first known to leave or to be gone, and false if it is not.
func (f *Fleet) LeavingSince(id string) (time.Time, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m, ok := f.members[id]
	if !ok || m.leavingAt.IsZero() {
		return time.Time{}, false
	}
	return m.leavingAt, true
}

// Distance returns how far a data centre is from another one.
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

// At returns the listed backend server with an address.
func (f *Fleet) At(address string) (route.Backend, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, m := range f.members {
		if m.backend.Address == address && m.goneAt.IsZero() {
			return m.backend, true
		}
	}
	return route.Backend{}, false
}

// Of returns the backend servers of a service that take new work, ordered by ID.
func (f *Fleet) Of(service string) []route.Backend {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var backends []route.Backend
	for id, m := range f.members {
		if _, refused := f.refused[id]; !refused && m.backend.Service == service && m.accepting(now) {
			backends = append(backends, m.backend)
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

// Region returns the region of a data centre, or "".
func (f *Fleet) Region(dataCentre string) string { return f.regionOf[dataCentre] }

// Current implements spec.Source: the engines of all services, each service as a model.
func (f *Fleet) Current() *spec.Manifest {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.manifest
}

// Confirmed implements spec.Source. Keys are checked for each request, so that placement needs no confirmation.
func (f *Fleet) Confirmed(time.Time) bool { return f.Current() != nil }

func (f *Fleet) assemble() *spec.Manifest {
	if f.catalogue == nil {
		return nil
	}
	parts := spec.Parts{
		Version:            spec.Version{Number: f.catalogue.Version(), Revision: f.revision},
		LinkBytesPerSecond: f.options.LinkBits / bitsPerByte,
	}
	parts.ShortShare, parts.Headroom = shortShare, headroom
	for region, dataCentres := range f.options.Regions {
		parts.Regions = append(parts.Regions, spec.Region{Name: region, DataCentres: dataCentres})
	}
	slices.SortFunc(parts.Regions, func(a, b spec.Region) int { return cmp.Compare(a.Name, b.Name) })
	limits := make(map[string]*route.EngineLimits)
	for _, service := range f.catalogue.Services() {
		if service.Engine != nil {
			limits[service.Name] = service.Engine
			if service.Engine.Moves && service.Engine.LinkBits > 0 {
				parts.TokenCopyTime = copyTime(service.Engine)
			}
			parts.Models = append(parts.Models, spec.ModelParts{Name: service.Name, MaxTokens: outputLimit})
		}
	}
	for id, m := range f.members {
		engine, ok := limits[m.backend.Service]
		if !ok {
			continue
		}
		parts.Engines = append(parts.Engines, spec.EngineParts{
			Name:         id,
			Address:      m.backend.Address,
			DataCentre:   m.backend.DataCentre,
			Model:        m.backend.Service,
			MemoryTokens: engine.MemoryTokens,
			MaxRunning:   engine.Slots,
			Leaving:      !m.accepting(f.options.Clock()),
		})
	}
	slices.SortFunc(parts.Engines, func(a, b spec.EngineParts) int { return cmp.Compare(a.Name, b.Name) })
	for _, account := range f.catalogue.Accounts() {
		parts.Accounts = append(parts.Accounts, spec.AccountParts{Name: account.Name, Weight: 1})
	}
	return spec.Assemble(parts)
}

// copyTime returns the time that it takes to copy the memory of one token over an engine's link.
func copyTime(engine *route.EngineLimits) time.Duration {
	bits := float64(engine.TokenBytes) * bitsPerByte
	return time.Duration(bits / float64(engine.LinkBits) * float64(time.Second))
}
