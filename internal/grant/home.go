package grant

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// homesInterval is the time between two rankings of the instances. At 350 instances and 34 models a ranking of all
// pools is too expensive for every maintenance.
const homesInterval = 250 * time.Millisecond

// errSilent is the cause of the end of a stream whose home owed an answer for homeSilence.
var errSilent = errors.New("the home does not answer")

// takeoverPause is the time that a scheduler waits after a change of home before it gives out room, so that the other
// instances can register what runs. Without it, the first instance to arrive was given room that was taken.
const takeoverPause = 200 * time.Millisecond

// takeoverRepeat is the least time between two pauses that offers of other instances cause.
const takeoverRepeat = 5 * time.Second

// holder returns who decides for a pool now. For a pool of this region that is this instance's own scheduler until a
// home answers; for another region it may be nil. The lock must be held.
func (p *Placer) holder(key poolKey, now time.Time) holder {
	l, own := p.candidate(key, now)
	p.noteChange(key, l, now)
	switch {
	case l != nil:
		return l
	case own:
		return localHolder{p.localPoolLocked(key)}
	default:
		return nil
	}
}

// candidate returns the link to the first ranked instance that is not paused and answers. A stream is opened only to
// the first one; those behind it count if their stream is open already. If there is none, own tells whether this
// instance may decide itself.
func (p *Placer) candidate(key poolKey, now time.Time) (l *link, own bool) {
	self := p.options.Directory.Self()
	own = key.region == self.Region()
	first := true
	for _, home := range p.ranked(key) {
		address := home.PeerAddress()
		switch {
		case home.ID() == self.ID():
			if !p.draining {
				return nil, own
			}
			continue
		case p.ctx.Err() != nil:
			return nil, own
		case now.Before(p.paused[address]):
			continue
		case first:
			l = p.link(address, now)
		default:
			l = p.links[address]
		}
		first = false
		if l != nil && (l.ready || !own) {
			return l, false
		}
	}
	return nil, own
}

// noteChange pauses this instance's own scheduler when it takes over from another home.
func (p *Placer) noteChange(key poolKey, l *link, now time.Time) {
	former := p.deciders[key]
	p.deciders[key] = l
	if former != nil && l == nil && key.region == p.region() {
		p.localPoolLocked(key).pause(now.Add(takeoverPause))
	}
}

// noteTakeover pauses a pool when another instance sends an offer although this instance still regards a third one as the
// home: it may be the first to learn that the home is lost. Without the pause its scheduler, which knows nothing of what
// runs, gave out room that was taken. Under split views the pause is repeated only after takeoverRepeat.
func (p *Placer) noteTakeover(pool *pool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deciders[pool.key] == nil && p.isHome(pool.key) || now.Before(p.takeoverUntil[pool.key]) {
		return
	}
	p.takeoverUntil[pool.key] = now.Add(takeoverRepeat)
	pool.pause(now.Add(takeoverPause))
}

// ranked returns the instances that may be the home of a pool, the home first. The order is refreshed by maintain.
func (p *Placer) ranked(key poolKey) []pond.Instance {
	homes, ok := p.homes[key]
	if !ok {
		homes = p.rank(key)
		p.homes[key] = homes
	}
	return homes
}

// rerankAll refreshes the order of the instances for all pools. A directory that returns the same slice as before has not
// changed; ranking 34 pools over 117 instances takes 2.3 ms (BenchmarkRank), 0.9 % of a core at four times a second.
func (p *Placer) rerankAll(now time.Time) {
	instances := p.options.Directory.Instances()
	if len(instances) > 0 && &instances[0] == p.rankedFrom {
		return
	}
	if len(instances) > 0 {
		p.rankedFrom = &instances[0]
	}
	for key := range p.homes {
		p.rerank(key, now)
	}
}

// rerank refreshes the order of the instances. If this instance becomes the home, its scheduler pauses.
func (p *Placer) rerank(key poolKey, now time.Time) {
	former := len(p.homes[key]) > 0 && p.homes[key][0].ID() != p.options.Directory.Self().ID()
	present := p.rank(key)
	p.logHome(key, p.homes[key], present)
	p.homes[key] = present
	if pool, ok := p.pools[key]; ok && former && p.isHome(key) {
		pool.pause(now.Add(takeoverPause))
	}
}

// logHome logs a change of the first ranked instance of a pool.
func (p *Placer) logHome(key poolKey, former, present []pond.Instance) {
	name := func(ranked []pond.Instance) pond.InstanceID {
		if len(ranked) == 0 {
			return ""
		}
		return ranked[0].ID()
	}
	if name(former) != name(present) {
		p.options.Log.WithFields(logrus.Fields{
			logs.Event: "homeChanged", "pool": key.rankKey(), logs.Home: name(present), logs.Former: name(former),
		}).Info("home of a pool changed")
	}
}

func (p *Placer) rank(key poolKey) []pond.Instance {
	var region []pond.Instance
	for _, instance := range p.options.Directory.Instances() {
		if instance.Region() == key.region {
			region = append(region, instance)
		}
	}
	return p.options.Rank(key.rankKey(), region)
}

func (p *Placer) link(address string, now time.Time) *link {
	if l, ok := p.links[address]; ok {
		return l
	}
	l := newLink(p.ctx, p, address, now)
	p.links[address] = l
	return l
}

// heard applies a message of a home.
func (p *Placer) heard(l *link, decisions []*peerpb.ScheduleDecision) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] != l {
		return
	}
	l.heardAt = now
	if !l.ready {
		l.ready = true
		p.rehome(now)
	}
	for _, message := range decisions {
		p.decide(l, decisionOf(message, now), now)
	}
}

// lost gives the requests of a link to the next holder: waiting ones are offered again, running ones registered.
func (p *Placer) lost(l *link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.address] == l {
		p.drop(l, err, p.options.Now())
	}
}

// drop forgets a link that no longer works. The lock must be held.
func (p *Placer) drop(l *link, err error, now time.Time) {
	delete(p.links, l.address)
	if p.ctx.Err() != nil {
		return
	}
	p.paused[l.address] = now.Add(homePause)
	p.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "homeLost", logs.Home: l.address}).Warn("stream to the home of a pool ended")
	p.rehome(now)
}

// rehome moves every ticket whose holder is not the present one. The running tickets go first, so that the new holder
// knows what is taken before it decides about the waiting ones. The lock must be held.
func (p *Placer) rehome(now time.Time) {
	var waiting []*ticket
	holders := make(map[poolKey]holder)
	for _, t := range p.tickets {
		h, ok := holders[t.key]
		if !ok {
			h = p.holder(t.key, now)
			holders[t.key] = h
		}
		if h == t.holder {
			continue
		}
		if t.state == ticketWaiting {
			waiting = append(waiting, t)
			continue
		}
		p.leave(t, now)
		if t.holder = h; h != nil {
			h.register(t, now)
		}
	}
	for _, t := range waiting {
		p.leave(t, now)
		t.offers--
		p.offer(t, now)
	}
}

// leave tells the ticket's former holder that it has nothing to do with it any more.
func (p *Placer) leave(t *ticket, now time.Time) {
	l, isLink := t.holder.(*link)
	if t.holder == nil || isLink && p.links[l.address] != l {
		return
	}
	t.holder.finish(t.req.Generation, endOfMove, now)
}

// maintain refreshes homes and views and closes streams that are silent or unused.
func (p *Placer) maintain(now time.Time) {
	p.mu.Lock()
	pools := make([]*pool, 0, len(p.pools))
	for _, pool := range p.pools {
		pools = append(pools, pool)
	}
	p.mu.Unlock()
	manifest := p.manifest()
	for _, pool := range pools {
		pool.refresh(manifest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.homesAt) {
		p.homesAt = now.Add(homesInterval)
		p.rerankAll(now)
	}
	for address, end := range p.paused {
		if !now.Before(end) {
			delete(p.paused, address)
		}
	}
	p.openHomes(manifest, now)
	p.closeSilent(now)
	p.rehome(now)
	p.flush(now)
}

// openHomes opens the streams to the homes of this region's pools before the first request. Instances that each decide
// alone until their streams are open all choose the same engine: 34 of the first 50 requests of a day went to two of 45.
func (p *Placer) openHomes(manifest *spec.Manifest, now time.Time) {
	if manifest == nil || p.draining {
		return
	}
	for _, model := range manifest.Models() {
		if l, _ := p.candidate(poolKey{model: model.Name(), region: p.region()}, now); l != nil {
			l.usedAt = now
		}
	}
}

// closeSilent ends the streams of homes that owe an answer for too long, and unused streams.
func (p *Placer) closeSilent(now time.Time) {
	owed := make(map[*link]time.Time)
	for _, t := range p.tickets {
		l, ok := t.holder.(*link)
		if !ok {
			continue
		}
		l.usedAt = now
		if first, seen := owed[l]; t.state == ticketWaiting && (!seen || t.offeredAt.Before(first)) {
			owed[l] = t.offeredAt
		}
	}
	for _, l := range p.links {
		since, owes := owed[l]
		if l.heardAt.After(since) {
			since = l.heardAt
		}
		silent := owes && now.Sub(since) > homeSilence || !l.ready && now.Sub(l.openedAt) > homeSilence
		switch {
		case silent:
			l.cancel()
			p.drop(l, errSilent, now)
		case now.Sub(l.usedAt) > idleLinkLimit:
			l.cancel()
			delete(p.links, l.address)
		}
	}
}

// flush reports the progress of running tickets, those of other instances' pools at a pace that bounds the messages.
func (p *Placer) flush(now time.Time) {
	next := now.Add(p.progressPause())
	for _, t := range p.tickets {
		if t.state != ticketRunning || t.holder == nil || now.Before(t.reportAt) {
			continue
		}
		progress, ok := t.report()
		if !ok {
			continue
		}
		t.holder.progress(t.req.Generation, progress, now)
		if _, remote := t.holder.(*link); remote {
			t.reportAt = next
		}
	}
}

// progressPause returns the time between two reports of one running request, so that all of them together send
// progressRate items a second.
func (p *Placer) progressPause() time.Duration {
	remote := 0
	for _, t := range p.tickets {
		if _, ok := t.holder.(*link); ok && t.state == ticketRunning {
			remote++
		}
	}
	pause := time.Duration(remote) * time.Second / progressRate
	return min(max(pause, idleInterval), maxProgressPause)
}
