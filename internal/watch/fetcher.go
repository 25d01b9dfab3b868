package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// fetchTimeout bounds one fetch. It leaves time to try another instance, because a change must be in effect on all
	// instances within three seconds.
	fetchTimeout = time.Second
	// fetchHedgeDelay is the age of a fetch after which a second one from another instance is started, because the
	// first instance may be paused.
	fetchHedgeDelay      = 300 * time.Millisecond
	maxConcurrentFetches = 2
	maxSources           = 32
	// maxRegionalSources limits the sources in the region of this instance. The rest is reserved for other regions, in
	// case the instances of this region send announcements but cannot be reached.
	maxRegionalSources = maxSources / 2
	// failedSourceBackoff is the time during which a source that failed is used only if there is no other.
	failedSourceBackoff = 10 * time.Second
	crossRegionDelay    = 400 * time.Millisecond
	maxRejected         = 16
)

// fetcher holds the state of fetches of newer manifests from other instances.
type fetcher struct {
	sources map[string]source
	// inFlight holds the start time of each fetch by address.
	inFlight map[string]time.Time
	// avoidedUntil holds the end of the backoff of failed sources by address.
	avoidedUntil map[string]time.Time
	// preferOtherRegion is true after a fetch failed or did not complete within fetchHedgeDelay.
	preferOtherRegion bool
	// rejected are the latest manifests that failed validation on this instance.
	rejected []manifestID
}

// source is an instance that announced a version newer than the one in effect.
type source struct {
	version spec.Version
	hash    uint64
	// notBefore is the earliest time of a fetch. Only the watchers of a data centre fetch from another region at once;
	// the others wait for an announcement from their own region, which saves bandwidth between regions.
	notBefore  time.Time
	sameRegion bool
}

// addSource records that an instance holds a version, if it is newer than the one in effect.
func (m *Machine) addSource(now time.Time, address string, sameRegion bool, v *peerpb.ManifestVersion) {
	s := source{version: versionOf(v), hash: v.GetHash(), notBefore: now, sameRegion: sameRegion}
	current := m.Current()
	if current != nil {
		m.recordInconsistency(s.version, s.hash)
		if !s.version.After(current.Version()) {
			return
		}
		if s.hash == current.Hash() && s.version.Number == current.Version().Number {
			m.adoptRevision(now, s.version)
			return
		}
	}
	old, known := m.fetcher.sources[address]
	if slices.Contains(m.fetcher.rejected, manifestID{version: s.version, hash: s.hash}) ||
		known && !s.version.After(old.version) || !known && m.sourcesFull(sameRegion) {
		return
	}
	if !sameRegion && !m.reader.watching && m.phase != PhaseStarting {
		s.notBefore = now.Add(crossRegionDelay)
	}
	m.fetcher.sources[address] = s
}

func (m *Machine) sourcesFull(sameRegion bool) bool {
	if sameRegion {
		return len(m.fetcher.sources) >= maxRegionalSources
	}
	return len(m.fetcher.sources) >= maxSources
}

// adoptRevision adopts a greater revision that the service assigned to the content already in effect, without a fetch.
func (m *Machine) adoptRevision(now time.Time, v spec.Version) {
	if manifest, err := spec.Decode(m.Current().Body(), v.Revision); err == nil {
		m.adopt(now, manifest)
	}
}

// startFetch starts a fetch if a newer version is known, or a second one if the first is slow.
func (m *Machine) startFetch(now time.Time) {
	f := &m.fetcher
	if len(f.sources) == 0 {
		return
	}
	recent := false
	for address, started := range f.inFlight {
		if now.Sub(started) > 2*fetchTimeout {
			delete(f.inFlight, address)
		} else if now.Sub(started) < fetchHedgeDelay {
			recent = true
		}
	}
	if recent || len(f.inFlight) >= maxConcurrentFetches {
		return
	}
	if len(f.inFlight) > 0 {
		f.preferOtherRegion = true
	}
	if address, ok := m.bestSource(now); ok {
		f.inFlight[address] = now
		m.actions = append(m.actions, Fetch{Address: address, Base: m.Current()})
	}
}

// bestSource returns the address of the due source with the greatest version. Among equals it prefers one that has not
// failed, then one of another region if preferOtherRegion is set, then a random one to spread the load.
func (m *Machine) bestSource(now time.Time) (string, bool) {
	f := &m.fetcher
	var best []string
	for _, address := range slices.Sorted(maps.Keys(f.sources)) {
		if _, busy := f.inFlight[address]; busy || now.Before(f.sources[address].notBefore) {
			continue
		}
		comparison := 1
		if len(best) > 0 {
			comparison = m.compareSources(now, address, best[0])
		}
		if comparison > 0 {
			best = best[:0]
		}
		if comparison >= 0 {
			best = append(best, address)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	return best[m.random.IntN(len(best))], true
}

// compareSources returns 1, 0 or -1 as source a is better than, as good as or worse than b.
func (m *Machine) compareSources(now time.Time, a, b string) int {
	f := &m.fetcher
	score := func(address string) (score int) {
		if !now.Before(f.avoidedUntil[address]) {
			score += 2
		}
		if f.preferOtherRegion && !f.sources[address].sameRegion {
			score++
		}
		return score
	}
	return cmp.Or(f.sources[a].version.Compare(f.sources[b].version), cmp.Compare(score(a), score(b)))
}

// FetchDone handles the result of a Fetch.
func (m *Machine) FetchDone(now time.Time, fetch Fetch, result FetchResult) []Action {
	f := &m.fetcher
	delete(f.inFlight, fetch.Address)
	delete(f.sources, fetch.Address)
	if result.Err != nil {
		f.avoidedUntil[fetch.Address] = now.Add(failedSourceBackoff)
		f.preferOtherRegion = true
	} else {
		delete(f.avoidedUntil, fetch.Address)
	}
	if result.Invalid != nil {
		m.reject(versionOf(result.Version), result.Version.GetHash(), result.Invalid)
	}
	if result.Manifest != nil {
		m.adopt(now, result.Manifest)
	}
	m.startFetch(now)
	return m.takeActions()
}

func (m *Machine) reject(v spec.Version, hash uint64, reason error) {
	f := &m.fetcher
	f.rejected = append(f.rejected, manifestID{version: v, hash: hash})
	f.rejected = f.rejected[max(0, len(f.rejected)-maxRejected):]
	m.recordInvalid(v, hash, reason)
}

// pruneSources removes sources whose version is not newer than the one in effect, and resets the backoff of the others.
func (m *Machine) pruneSources() {
	current := m.Current().Version()
	m.fetcher.preferOtherRegion = false
	clear(m.fetcher.avoidedUntil)
	maps.DeleteFunc(m.fetcher.sources, func(_ string, s source) bool {
		return !s.version.After(current)
	})
}
