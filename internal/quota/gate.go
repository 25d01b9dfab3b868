package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// askTimeout bounds one question to a home. Regions are 30 ms apart.
	askTimeout = 250 * time.Millisecond

	// maxPermitAge is the age from which a permit is not used, because the home has granted others since.
	maxPermitAge = 500 * time.Millisecond

	// homeBackoff is the time for which a home that did not answer is skipped, and maxHomes the number of homes that are
	// asked in turn.
	homeBackoff = time.Second
	maxHomes    = 2

	// noHomeDelay is the time after which callers may return if no home answers.
	noHomeDelay = 500 * time.Millisecond

	// tellInterval is the least time between two messages of this instance about one backend server.
	tellInterval = 200 * time.Millisecond
)

// Options configures a Gate. All fields are required.
type Options struct {
	// Self is the name of this instance.
	Self pond.InstanceID
	// Homes returns the instances that may be the home of a backend server, the home first.
	Homes func(backend string) []pond.Instance
	// Peers returns the instances that learn of changes.
	Peers func() []pond.Instance
	// Connect returns a drpc connection to a peer address.
	Connect func(peerAddress string) drpc.Conn
	// Known reports whether a backend server is in use or was so recently.
	Known func(backend string) bool
	// Slots returns the number of requests that a backend server runs at a time; 0 for one whose requests are counted elsewhere.
	Slots func(backend string) int
	// Service returns the service of a backend server.
	Service func(backend string) string
	// Cold returns what a backend server bears while it is cold.
	Cold func(backend string) Cold
	// RecordCold records that a backend server is cold until a time, and reports whether it is so for longer than was known.
	RecordCold func(backend string, until time.Time) (news bool)
	// Seen returns the share of the instances of the recent past that this one considers live.
	Seen func() float64
	// Disabled permits everything.
	Disabled bool
	// Clock includes the time for which the machine was suspended.
	Clock func() time.Time
	Log   logrus.FieldLogger
}

// Gate decides for one instance whether it may send a request to a backend server. It is safe for concurrent use.
type Gate struct {
	options Options

	mu           sync.Mutex
	table        *Table
	ledger       *Ledger
	cold         *ColdLedger
	rooms        *Rooms
	stays        map[string]*stay // by backend server
	sequence     uint64           // of the messages to homes of brittle servers
	incarnation  uint64
	denials      map[string]*denial            // by backend server
	backoffUntil map[pond.InstanceID]time.Time // homes that did not answer
	nextTell     map[string]time.Time          // by backend server
}

// stay counts the requests of this instance at one backend server.
type stay struct {
	open int
	// rejected is true if the server has rejected a request that its home does not know of.
	rejected bool
	// reporting is true while a report is on its way, and stale if it lacks something.
	reporting, stale bool
}

// NewGate returns a gate that knows no limit.
func NewGate(options Options) *Gate {
	return &Gate{
		options:      options,
		table:        NewTable(options.Known),
		ledger:       NewLedger(),
		cold:         NewColdLedger(),
		rooms:        NewRooms(),
		stays:        make(map[string]*stay),
		incarnation:  rand.Uint64(),
		denials:      make(map[string]*denial),
		backoffUntil: make(map[pond.InstanceID]time.Time),
		nextTell:     make(map[string]time.Time),
	}
}

// Limit returns the limit of a backend server in requests per second, and false if it has none.
func (g *Gate) Limit(backend string) (perSecond float64, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	terms := g.terms(backend)
	return terms.perSecond, terms.limited
}

// Restricted reports whether a permit has to be asked for requests to a backend server.
func (g *Gate) Restricted(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.terms(backend).none()
}

// terms returns what binds requests to a backend server. The lock must be held.
func (g *Gate) terms(backend string) Terms {
	if g.options.Disabled {
		return Terms{}
	}
	terms := g.table.Terms(backend)
	terms.brittle = terms.brittle && g.options.Slots(backend) > 0
	terms.cold = g.options.Cold(backend).active(g.options.Clock())
	return terms
}

// Exhausted reports whether the last question for a permit was denied and it is too early to ask again.
func (g *Gate) Exhausted(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, denied := g.denials[backend]
	return !g.terms(backend).none() && denied && g.options.Clock().Before(d.askAt)
}

// Permit asks for one request to a backend server. It must be called immediately before the request is sent, also for
// one that is sent again. Without a limit, every request is permitted.
func (g *Gate) Permit(ctx context.Context, backend string) Permit {
	permit, _ := g.permit(ctx, backend, 0)
	return permit
}

// Enter asks for a permit as Permit does, and counts the request until Exit. It ends after longest, or is given up. Exit must be called
// if and only if the permit is granted.
func (g *Gate) Enter(ctx context.Context, backend string, longest time.Duration) Permit {
	g.mu.Lock()
	g.stay(backend).open++
	inferred, ok := g.inferBrittle(backend)
	g.mu.Unlock()
	if ok {
		g.logChange(inferred, "service")
	}
	permit, asked := g.permit(ctx, backend, longest)
	if !permit.granted {
		g.end(backend, false, asked)
	}
	return permit
}

// inferBrittle takes a server that has said nothing yet for brittle if another one of its service is. Its own answers end that. The lock must
// be held.
func (g *Gate) inferBrittle(backend string) (inferred Notice, ok bool) {
	if g.options.Disabled || g.options.Slots(backend) == 0 {
		return Notice{}, false
	}
	return g.table.InferBrittle(backend, g.options.Service)
}

// Exit ends a request that Enter has counted. Rejected tells that the backend server had no room for it.
func (g *Gate) Exit(backend string, rejected bool) { g.end(backend, rejected, true) }

// stay returns the count of a backend server. The lock must be held.
func (g *Gate) stay(backend string) *stay {
	s := g.stays[backend]
	if s == nil {
		s = new(stay)
		g.stays[backend] = s
	}
	return s
}

// end ends a request, and reports that to the home of a brittle server if it may have counted the request.
func (g *Gate) end(backend string, rejected, counted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stay(backend)
	s.open--
	if !g.terms(backend).brittle {
		if s.open <= 0 && !s.reporting {
			delete(g.stays, backend)
		}
		return
	}
	s.rejected = s.rejected || rejected
	switch {
	case !counted:
	case s.reporting:
		s.stale = true
	default:
		s.reporting = true
		go g.report(backend)
	}
}

// usage returns what this instance has at a backend server. The lock must be held.
func (g *Gate) usage(backend string, longest time.Duration) Usage {
	s := g.stay(backend)
	g.sequence++
	u := Usage{asker: g.usageKey(string(g.options.Self), g.incarnation), open: s.open, sequence: g.sequence, stay: longest, rejected: s.rejected,
		slots: g.options.Slots(backend)}
	s.rejected = false
	return u
}

// permit asks for one request, and reports whether a home was asked.
func (g *Gate) permit(ctx context.Context, backend string, longest time.Duration) (p Permit, asked bool) {
	g.mu.Lock()
	now := g.options.Clock()
	notice := g.table.newest(backend)
	terms := g.terms(backend)
	if terms.none() {
		g.mu.Unlock()
		return Permit{granted: true}, false
	}
	if d, denied := g.denials[backend]; denied && now.Before(d.askAt) {
		defer g.mu.Unlock()
		return d.permit(now), false
	}
	var usage Usage
	if terms.brittle {
		usage = g.usage(backend, longest)
	}
	g.mu.Unlock()
	homes := g.options.Homes(backend)
	if terms.cold {
		// The homes that did not answer may grant permits to others, so none beyond them takes over before the members have changed.
		homes = homes[:min(len(homes), homesAtOnce)]
	}
	answer, ok := g.askHomes(ctx, homes, notice, usage)
	return g.decide(backend, answer, ok, now), true
}

// askHomes asks homes of a backend server in turn. It returns false if none answers.
func (g *Gate) askHomes(ctx context.Context, homes []pond.Instance, notice Notice, usage Usage) (Answer, bool) {
	asked := 0
	for _, home := range homes {
		if asked == maxHomes || ctx.Err() != nil {
			break
		}
		if home.ID() == g.options.Self {
			return g.take(notice.backend, string(g.options.Self), usage, Cold{}), true
		}
		if g.inBackoff(home.ID()) {
			continue
		}
		asked++
		answer, err := g.ask(ctx, home.PeerAddress(), notice, usage)
		if err == nil {
			return answer, true
		}
		if ctx.Err() == nil {
			g.backOff(home.ID(), notice.backend, err)
		}
	}
	return Answer{}, false
}

// take decides as the home of a backend server. The asker may know of a limit of the cold server that this instance has not heard of.
func (g *Gate) take(backend, asker string, usage Usage, asked Cold) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	terms, now := g.table.Terms(backend), g.options.Clock()
	counted := terms.brittle && usage.slots > 0
	if counted {
		if answer := g.rooms.Take(backend, usage, now); !answer.granted {
			return answer
		}
	}
	answer := Answer{granted: true}
	if cold := g.options.Cold(backend).stricter(asked, now); cold.active(now) {
		answer = g.cold.Take(backend, asker, cold.homeShare(g.options.Seen()), now)
	}
	if answer.granted && terms.limited {
		answer = g.ledger.Take(backend, asker, terms.perSecond, now)
	}
	if counted && !answer.granted {
		g.rooms.Cancel(backend, usage.asker)
	}
	return answer
}

// decide turns the answer of a home into a permit.
func (g *Gate) decide(backend string, answer Answer, answered bool, askedAt time.Time) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock()
	if answered && answer.granted {
		if now.Sub(askedAt) <= g.maxAge(backend) {
			delete(g.denials, backend)
			return Permit{granted: true}
		}
		answered = false
	}
	if !answered {
		answer = Answer{retryAfter: noHomeDelay, askAfter: minAskDelay, spacing: minAskDelay}
	}
	g.evict()
	d := newDenial(answer, now)
	g.denials[backend] = d
	return d.permit(now)
}

// maxAge returns the age from which a permit is not used. The lock must be held.
func (g *Gate) maxAge(backend string) time.Duration {
	if g.terms(backend).cold {
		return coldPermitAge
	}
	return maxPermitAge
}

// evict drops the state of backend servers that are no longer known. The lock must be held.
func (g *Gate) evict() {
	for backend := range g.denials {
		if !g.options.Known(backend) {
			delete(g.denials, backend)
		}
	}
	for backend := range g.nextTell {
		if !g.options.Known(backend) {
			delete(g.nextTell, backend)
		}
	}
	for backend, s := range g.stays {
		if s.open <= 0 && !s.reporting && !g.options.Known(backend) {
			delete(g.stays, backend)
		}
	}
	g.ledger.Evict(g.options.Known)
	g.cold.Evict(g.options.Known)
	g.rooms.Evict(g.options.Known)
}

func (g *Gate) inBackoff(home pond.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Clock().Before(g.backoffUntil[home])
}

func (g *Gate) backOff(home pond.InstanceID, backend string, err error) {
	now := g.options.Clock()
	g.mu.Lock()
	for id, until := range g.backoffUntil {
		if now.After(until) {
			delete(g.backoffUntil, id)
		}
	}
	g.backoffUntil[home] = now.Add(homeBackoff)
	g.mu.Unlock()
	g.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "limitHomeLost", logs.Home: home, logs.Backend: backend}).
		Warn("the home of a limit does not answer")
}

// Observe applies what a response to a request sent at a time says about the limit of a backend server, and tells other
// instances of a change.
func (g *Gate) Observe(backend string, reading Reading, sentAt time.Time) {
	g.mu.Lock()
	notice, changed := g.table.Observe(backend, reading, sentAt, g.options.Clock())
	tell := changed && g.mayTell(backend)
	g.mu.Unlock()
	if changed {
		g.logChange(notice, "response")
	}
	if tell {
		go g.spread(notice)
	}
}

// TellCold tells the other instances that a backend server is cold, which its entry does not say.
func (g *Gate) TellCold(backend string) {
	g.mu.Lock()
	tell := g.mayTell(backend)
	notice := g.table.newest(backend)
	g.mu.Unlock()
	if tell {
		go g.spread(notice)
	}
}

// merge applies a notice of another instance and reports whether it changes the limit.
func (g *Gate) merge(notice Notice, source string) bool {
	g.mu.Lock()
	changed := g.table.Merge(notice)
	g.mu.Unlock()
	if changed {
		g.logChange(notice, source)
	}
	return changed
}

// mayTell reports whether a change may be told now. The lock must be held.
func (g *Gate) mayTell(backend string) bool {
	now := g.options.Clock()
	if now.Before(g.nextTell[backend]) {
		return false
	}
	g.nextTell[backend] = now.Add(tellInterval)
	return true
}

func (g *Gate) logChange(n Notice, source string) {
	fields := logrus.Fields{
		logs.Backend: n.backend, logs.Source: source, logs.AgeMillis: g.options.Clock().Sub(n.asOf).Milliseconds(),
	}
	log := g.options.Log.WithFields(fields)
	if n.Lifted() {
		log.WithField(logs.Event, "limitLifted").Info("a backend server names no limit any more and takes rejections")
		return
	}
	if n.terms.brittle {
		log.WithField(logs.Event, "backendBrittle").Info("a backend server fails when it has to reject requests")
	}
	if n.terms.limited {
		log.WithFields(logrus.Fields{logs.Event: "limitNamed", logs.PerSecond: n.terms.perSecond}).
			Info("a backend server names a limit of requests per second from all instances together")
	}
}
