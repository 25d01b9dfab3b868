package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// aloneTimeout is the time to wait for a response from a confirmed instance before entering PhaseAlone.
	aloneTimeout = 2 * time.Second
	// confirmTimeout bounds the wait for the configuration service, for the body of the highest version in a response
	// and for the synchronisation of the membership table.
	confirmTimeout = 5 * time.Second
	maxQueries     = 16
	// queryRetryDelay is the time after which an unanswered query counts as failed and is repeated.
	queryRetryDelay = 600 * time.Millisecond
	// responseWindow is the time to wait for further responses after the first one from a confirmed instance.
	responseWindow = 300 * time.Millisecond
)

// confirmation is the state of the queries to other instances after a start or a pause of the process.
type confirmation struct {
	epoch      uint64
	aloneAfter time.Time
	deadline   time.Time
	// responseDeadline ends the wait for further responses; zero before the first one from a confirmed instance.
	responseDeadline time.Time
	queries          map[string]queryState
	// highest is the greatest version in a response.
	highest spec.Version
}

type queryState struct {
	answered bool
	retryAt  time.Time
}

// startConfirmation starts a new confirmation and drops the state of an earlier one.
func (m *Machine) startConfirmation(now time.Time) {
	m.lastTick = now
	m.setPhase(now, PhaseStarting)
	m.validUntil = time.Time{}
	m.confirm = confirmation{
		epoch:      m.confirm.epoch + 1,
		aloneAfter: now.Add(aloneTimeout),
		deadline:   now.Add(confirmTimeout),
		queries:    make(map[string]queryState),
	}
	m.reader.next = now.Add(m.randomDuration(readJitter))
	m.reader.inFlightUntil = time.Time{}
	m.reader.readSinceStart = false
	clear(m.fetcher.inFlight)
}

// queryPeers queries up to maxQueries instances, those in the data centre of this one first.
func (m *Machine) queryPeers(now time.Time) {
	for _, address := range m.queryAddresses() {
		q, known := m.confirm.queries[address]
		if q.answered || now.Before(q.retryAt) || !known && len(m.confirm.queries) >= maxQueries {
			continue
		}
		m.confirm.queries[address] = queryState{retryAt: now.Add(queryRetryDelay)}
		m.actions = append(m.actions, Query{Address: address, Epoch: m.confirm.epoch})
	}
}

// queryAddresses returns the addresses to query in random order, but those in the data centre of this instance first
// and seeds that are not members last.
func (m *Machine) queryAddresses() []string {
	self := m.members.Self()
	var sameDataCentre, otherDataCentres []string
	seen := map[string]bool{self.PeerAddress(): true}
	for _, i := range m.members.Instances() {
		if seen[i.PeerAddress()] || i.State() == pond.InstanceGone {
			continue
		}
		seen[i.PeerAddress()] = true
		if i.DataCentre() == self.DataCentre() {
			sameDataCentre = append(sameDataCentre, i.PeerAddress())
		} else {
			otherDataCentres = append(otherDataCentres, i.PeerAddress())
		}
	}
	var seeds []string
	for _, address := range m.members.Seeds() {
		if !seen[address] {
			seen[address] = true
			seeds = append(seeds, address)
		}
	}
	m.shuffle(sameDataCentre)
	m.shuffle(otherDataCentres)
	m.shuffle(seeds)
	return append(append(sameDataCentre, otherDataCentres...), seeds...)
}

func (m *Machine) shuffle(s []string) {
	m.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// QueryDone handles the result of a Query; v is nil if the other instance has no manifest. Responses to queries from
// before a pause may be outdated and are dropped.
func (m *Machine) QueryDone(now time.Time, query Query, v *peerpb.ManifestVersion, err error) []Action {
	if query.Epoch != m.confirm.epoch || m.phase != PhaseStarting || err != nil {
		return nil
	}
	m.confirm.queries[query.Address] = queryState{answered: true}
	if v.GetNumber() == 0 {
		return nil
	}
	if versionOf(v).After(m.confirm.highest) {
		m.confirm.highest = versionOf(v)
	}
	if v.GetConfirmed() && m.confirm.responseDeadline.IsZero() {
		m.confirm.responseDeadline = now.Add(responseWindow)
	}
	m.addSource(now, query.Address, true, v)
	m.tryConfirm(now)
	m.startFetch(now)
	return m.takeActions()
}

// tryConfirm ends the confirmation if its conditions are met. In every case the manifest in effect must not be older
// than the highest version in a response, unless the deadline has passed.
func (m *Machine) tryConfirm(now time.Time) {
	c := &m.confirm
	if m.Current() == nil {
		return
	}
	behind := c.highest.After(m.Current().Version()) && now.Before(c.deadline)
	if behind {
		return
	}
	if !c.responseDeadline.IsZero() {
		synced := m.members.Synced() || !now.Before(c.deadline)
		if synced && (m.allAnswered() || !now.Before(c.responseDeadline)) {
			m.finishConfirmation(now, PhaseConfirmed)
		}
		return
	}
	if now.Before(c.aloneAfter) || !m.reader.readSinceStart && now.Before(c.deadline) {
		return
	}
	m.finishConfirmation(now, PhaseAlone)
}

func (m *Machine) finishConfirmation(now time.Time, phase Phase) {
	m.peersValidUntil = now.Add(peerTimeout)
	m.validUntil = now.Add(pauseThreshold)
	m.setPhase(now, phase)
	if m.reader.watching = m.shouldWatch(); m.reader.watching {
		m.hastenRead(now)
	}
}

func (m *Machine) allAnswered() bool {
	for _, q := range m.confirm.queries {
		if !q.answered {
			return false
		}
	}
	return true
}
