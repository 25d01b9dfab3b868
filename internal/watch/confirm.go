package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// settleTimeout is the wait for a confirmed instance before an instance is confirmed alone.
	settleTimeout = 2 * time.Second
	// giveUpTimeout ends the wait for the service, for the body of the highest version that was answered and for the
	// synchronisation of the member table.
	giveUpTimeout = 5 * time.Second
	maxAsked      = 16
	// askRepeat is the time after which an unanswered question counts as failed and is asked again.
	askRepeat = 600 * time.Millisecond
	// gatherTimeout is the wait for further answers after the first confirmed one.
	gatherTimeout = 300 * time.Millisecond
)

// confirmation is the state of asking other instances after a start or a pause.
type confirmation struct {
	epoch  uint64
	settle time.Time
	giveUp time.Time
	// gather is the end of the wait for further answers; zero before the first confirmed one.
	gather time.Time
	asked  map[string]question
	// highest is the greatest version that an instance answered.
	highest spec.Version
}

type question struct {
	answered bool
	repeat   time.Time
}

// restart drops the confirmation and begins a new one.
func (m *Machine) restart(now time.Time) {
	m.lastTick = now
	m.setPhase(now, PhaseStarting)
	m.validUntil = time.Time{}
	m.confirm = confirmation{
		epoch:  m.confirm.epoch + 1,
		settle: now.Add(settleTimeout),
		giveUp: now.Add(giveUpTimeout),
		asked:  make(map[string]question),
	}
	m.reader.next = now.Add(m.within(readSpread))
	m.reader.busyUntil = time.Time{}
	m.reader.done = false
	clear(m.fetcher.inFlight)
}

// askPeers asks up to maxAsked instances, those of the own data centre first.
func (m *Machine) askPeers(now time.Time) {
	for _, address := range m.candidates() {
		q, known := m.confirm.asked[address]
		if q.answered || now.Before(q.repeat) || !known && len(m.confirm.asked) >= maxAsked {
			continue
		}
		m.confirm.asked[address] = question{repeat: now.Add(askRepeat)}
		m.actions = append(m.actions, Ask{Address: address, Epoch: m.confirm.epoch})
	}
}

// candidates returns the addresses to ask in a random order, the own data centre first and bare seeds last.
func (m *Machine) candidates() []string {
	self := m.peers.Self()
	var near, far []string
	seen := map[string]bool{self.PeerAddress(): true}
	for _, i := range m.peers.Instances() {
		if seen[i.PeerAddress()] || i.State() == pond.InstanceGone {
			continue
		}
		seen[i.PeerAddress()] = true
		if i.DataCentre() == self.DataCentre() {
			near = append(near, i.PeerAddress())
		} else {
			far = append(far, i.PeerAddress())
		}
	}
	var seeds []string
	for _, address := range m.peers.Seeds() {
		if !seen[address] {
			seen[address] = true
			seeds = append(seeds, address)
		}
	}
	m.shuffle(near)
	m.shuffle(far)
	m.shuffle(seeds)
	return append(append(near, far...), seeds...)
}

func (m *Machine) shuffle(s []string) {
	m.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// AskDone handles the answer to an Ask; v is nil if the other instance has no manifest. Answers to questions from
// before a pause prove nothing and are dropped.
func (m *Machine) AskDone(now time.Time, ask Ask, v *peerpb.ManifestVersion, err error) []Action {
	if ask.Epoch != m.confirm.epoch || m.phase != PhaseStarting || err != nil {
		return nil
	}
	m.confirm.asked[ask.Address] = question{answered: true}
	if v.GetNumber() == 0 {
		return nil
	}
	if versionOf(v).After(m.confirm.highest) {
		m.confirm.highest = versionOf(v)
	}
	if v.GetConfirmed() && m.confirm.gather.IsZero() {
		m.confirm.gather = now.Add(gatherTimeout)
	}
	m.offer(now, ask.Address, true, v)
	m.settle(now)
	m.fetch(now)
	return m.drain()
}

// settle ends the confirmation when enough is known.
func (m *Machine) settle(now time.Time) {
	c := &m.confirm
	if m.Current() == nil {
		return
	}
	behind := c.highest.After(m.Current().Version()) && now.Before(c.giveUp)
	if behind {
		return
	}
	if !c.gather.IsZero() {
		synced := m.peers.Synced() || !now.Before(c.giveUp)
		if synced && (m.allAnswered() || !now.Before(c.gather)) {
			m.accept(now, PhaseConfirmed)
		}
		return
	}
	if now.Before(c.settle) || !m.reader.done && now.Before(c.giveUp) {
		return
	}
	m.accept(now, PhaseAlone)
}

func (m *Machine) accept(now time.Time, phase Phase) {
	m.peersUntil = now.Add(peersLimit)
	m.validUntil = now.Add(pauseLimit)
	m.setPhase(now, phase)
	if m.reader.watching = m.watches(); m.reader.watching {
		m.readSoon(now)
	}
}

func (m *Machine) allAnswered() bool {
	for _, q := range m.confirm.asked {
		if !q.answered {
			return false
		}
	}
	return true
}
