package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// settleTimeout is the wait for a confirmed instance before an instance is confirmed alone.
	aloneTimeout = 2 * time.Second
	// giveUpTimeout ends the wait for the service, for the body of the highest version that was answered and for the
	// synchronisation of the member table.
	confirmTimeout = 5 * time.Second
	maxQueries     = 16
	// askRepeat is the time after which an unanswered question counts as failed and is asked again.
	queryRetryDelay = 600 * time.Millisecond
	// gatherTimeout is the wait for further answers after the first confirmed one.
	responseWindow = 300 * time.Millisecond
)

// confirmation is the state of asking other instances after a start or a pause.
type confirmation struct {
	epoch      uint64
	aloneAfter time.Time
	deadline   time.Time
	// gather is the end of the wait for further answers; zero before the first confirmed one.
	responseDeadline time.Time
	queries          map[string]queryState
	// highest is the greatest version that an instance answered.
	highest spec.Version
}

type queryState struct {
	answered bool
	retryAt  time.Time
}

// restart drops the confirmation and begins a new one.
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

// askPeers asks up to maxAsked instances, those of the own data centre first.
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

// candidates returns the addresses to ask in a random order, the own data centre first and bare seeds last.
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

// AskDone handles the answer to an Ask; v is nil if the other instance has no manifest. Answers to questions from
// before a pause prove nothing and are dropped.
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

// settle ends the confirmation when enough is known.
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
