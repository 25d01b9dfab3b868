package watch

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// TickInterval is the time between calls of Machine.Tick.
const TickInterval = 100 * time.Millisecond

const (
	// pauseThreshold is the time between ticks above which the process counts as paused. It is also how long a
	// confirmation holds after a tick, so that no work is accepted between a pause and the first tick after it.
	pauseThreshold = 2 * time.Second
	// peerTimeout is the time without a datagram from a confirmed instance after which the phase becomes PhaseAlone.
	peerTimeout = 10 * time.Second
	// maxRetained is the number of latest manifests kept as compression dictionaries for instances that are behind.
	maxRetained = 3
)

// Membership is the part of the membership that Machine reads.
type Membership interface {
	pond.Directory
	// Seeds returns peer addresses at which there may be instances.
	Seeds() []string
	// Synced reports whether notices that were sent before the start or during a pause of the process are known.
	Synced() bool
}

// Machine is the manifest distribution protocol of one instance. It is not safe for concurrent use.
type Machine struct {
	random   *rand.Rand
	members  Membership
	retained []*spec.Manifest
	actions  []Action
	faults   ManifestFaults

	phase           Phase
	lastTick        time.Time
	validUntil      time.Time
	peersValidUntil time.Time

	confirm confirmation
	reader  reader
	fetcher fetcher
}

// NewMachine returns a machine without a manifest that has started its confirmation.
func NewMachine(members Membership, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{random: random, members: members}
	m.fetcher.inFlight = make(map[string]time.Time)
	m.fetcher.sources = make(map[string]source)
	m.fetcher.avoidedUntil = make(map[string]time.Time)
	m.startConfirmation(now)
	return m
}

// Current returns the manifest in effect, or nil before the first one.
func (m *Machine) Current() *spec.Manifest {
	if len(m.retained) == 0 {
		return nil
	}
	return m.retained[0]
}

// Retained returns the manifest with the given version and hash, or nil if it is no longer held.
func (m *Machine) Retained(v *peerpb.ManifestVersion) *spec.Manifest {
	for _, manifest := range m.retained {
		if versionOf(v) == manifest.Version() && v.GetHash() == manifest.Hash() {
			return manifest
		}
	}
	return nil
}

// Phase returns the confirmation phase of the manifest.
func (m *Machine) Phase() Phase { return m.phase }

// ValidUntil returns the time until which the manifest is confirmed; each tick extends it. It is zero if the manifest
// is not confirmed.
func (m *Machine) ValidUntil() time.Time { return m.validUntil }

// Confirmed reports whether new work may be accepted under the manifest in effect.
func (m *Machine) Confirmed(now time.Time) bool {
	return m.Current() != nil && now.Before(m.validUntil) && !paused(m.lastTick, now)
}

// Faults returns the counts of faulty manifests received.
func (m *Machine) Faults() ManifestFaults { return m.faults }

// Version returns the manifest version to announce to other instances, or nil before the first manifest. A process that
// was paused and has not ticked since does not count as confirmed.
func (m *Machine) Version(now time.Time) *peerpb.ManifestVersion {
	current := m.Current()
	if current == nil {
		return nil
	}
	return &peerpb.ManifestVersion{
		Number:    current.Version().Number,
		Revision:  current.Version().Revision,
		Hash:      current.Hash(),
		Confirmed: m.phase != PhaseStarting && !paused(m.lastTick, now),
	}
}

// Tick advances timers. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []Action {
	if paused(m.lastTick, now) {
		m.startConfirmation(now)
	}
	m.lastTick = now
	if m.phase == PhaseStarting {
		m.queryPeers(now)
		m.tryConfirm(now)
	}
	if m.phase == PhaseConfirmed && now.After(m.peersValidUntil) {
		m.setPhase(now, PhaseAlone)
	}
	if m.phase != PhaseStarting {
		m.validUntil = now.Add(pauseThreshold)
	}
	m.startRead(now)
	m.startFetch(now)
	return m.takeActions()
}

// HandleAnnouncement handles the manifest version in a datagram from another instance.
func (m *Machine) HandleAnnouncement(now time.Time, from pond.Instance, v *peerpb.ManifestVersion) []Action {
	if v.GetNumber() == 0 {
		return nil
	}
	if v.GetConfirmed() && m.phase != PhaseStarting {
		m.peersValidUntil = now.Add(peerTimeout)
		if m.phase == PhaseAlone {
			m.setPhase(now, PhaseConfirmed)
		}
	}
	m.addSource(now, from.PeerAddress(), from.Region() == m.members.Self().Region(), v)
	m.startFetch(now)
	return m.takeActions()
}

// paused reports whether the process was paused between two times. It checks the monotonic and the wall clock, because
// on some platforms the monotonic clock stops while the process is paused. A jump of the wall clock only causes an
// unnecessary confirmation.
func paused(last, now time.Time) bool {
	return now.Sub(last) > pauseThreshold || now.Round(0).Sub(last.Round(0)) > pauseThreshold
}

func (m *Machine) setPhase(now time.Time, phase Phase) {
	if m.phase == phase {
		return
	}
	m.phase = phase
	m.announce(now)
}

func (m *Machine) announce(now time.Time) {
	if v := m.Version(now); v != nil {
		m.actions = append(m.actions, Announce{Version: v})
	}
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// shouldWatch reports whether this instance is one of the watchers of its data centre, which are chosen by rendezvous
// hashing among the live members.
func (m *Machine) shouldWatch() bool {
	self := m.members.Self()
	own := member.Weight(watchKey, self.ID())
	higherRanked := 0
	for _, i := range m.members.Instances() {
		if i.DataCentre() != self.DataCentre() || i.ID() == self.ID() || i.State() != pond.InstanceLive {
			continue
		}
		if w := member.Weight(watchKey, i.ID()); w > own || w == own && i.ID() < self.ID() {
			higherRanked++
		}
	}
	return higherRanked < watchersPerDataCentre
}

func versionOf(v *peerpb.ManifestVersion) spec.Version {
	return spec.Version{Number: v.GetNumber(), Revision: v.GetRevision()}
}
