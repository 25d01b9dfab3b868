package place

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// rankingInterval is the time between two rankings of the instances. With 350 instances and 34 models, ranking all
// pools is too expensive for every call of maintain.
const rankingInterval = 250 * time.Millisecond

// errHomeTimeout is the cause of the end of a stream whose home did not answer within homeTimeout.
var errHomeTimeout = errors.New("the home does not answer")

// takeoverPause is the time after a home change during which a scheduler starts no requests, so that the other
// instances can register their running ones. Without it, the first instance to connect was given capacity that was in
// use.
const takeoverPause = 200 * time.Millisecond

// takeoverPauseInterval is the least time between two pauses of a pool that offers of other instances cause.
const takeoverPauseInterval = 5 * time.Second

// coordinator returns the current coordinator of a pool. For a pool of this region it is this instance's own scheduler
// until a home answers; for another region it may be nil, unless the request has no other place. The lock must be held.
func (p *Placer) coordinator(key poolKey, mayLackHome bool, now time.Time) coordinator {
	s, local := p.reachableHome(key, now)
	p.pauseOnOwnTakeover(key, s, now)
	switch {
	case mayLackHome && !local && p.ownDecision(key, s, now):
		return localCoordinator{p.localPoolLocked(key)}
	case s != nil:
		return s
	case local:
		return localCoordinator{p.localPoolLocked(key)}
	default:
		return nil
	}
}

// reachableHome returns the stream to the first instance of the pool's ranking that is not in backoff and has answered;
// in another region, it need not have answered yet. It opens a stream only to the first instance that is not in backoff
// and otherwise considers streams that are open already. The search ends at this instance, unless it is draining. If no
// stream is found, local reports whether this instance may decide itself.
func (p *Placer) reachableHome(key poolKey, now time.Time) (s *homeStream, local bool) {
	return p.reachableHomeBy(key, p.streamTo, now)
}

// reachableHomeBy is reachableHome with the function that opens a stream.
func (p *Placer) reachableHomeBy(
	key poolKey, streamTo func(address string, now time.Time) *homeStream, now time.Time,
) (s *homeStream, local bool) {
	self := p.options.Directory.Self()
	local = key.region == self.Region()
	first := true
	for _, home := range p.ranking(key) {
		address := home.PeerAddress()
		switch {
		case home.ID() == self.ID():
			if !p.draining {
				return nil, local
			}
			continue
		case p.streamCtx.Err() != nil:
			return nil, local
		case now.Before(p.backoffUntil[address]):
			continue
		case first:
			s = streamTo(address, now)
		default:
			s = p.homeStreams[address]
		}
		first = false
		if s != nil && (s.ready || !local) {
			return s, false
		}
	}
	return nil, local
}

// pauseOnOwnTakeover pauses this instance's own scheduler when it takes over from another home.
func (p *Placer) pauseOnOwnTakeover(key poolKey, s *homeStream, now time.Time) {
	former := p.lastHomeStreams[key]
	p.lastHomeStreams[key] = s
	if former != nil && s == nil && key.region == p.region() {
		p.localPoolLocked(key).pause(now.Add(takeoverPause))
	}
}

// pauseOnRemoteOffer pauses a pool when another instance sends an offer although this instance still regards a third
// one as the home: the sender may be the first to learn that the home is lost. Without the pause, this instance's
// scheduler, which does not know the running requests, gave out capacity that was in use. While the views of the
// instances differ, the pause is repeated only after takeoverPauseInterval.
func (p *Placer) pauseOnRemoteOffer(pool *pool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastHomeStreams[pool.key] == nil && p.isHome(pool.key) || now.Before(p.nextTakeoverPause[pool.key]) {
		return
	}
	p.nextTakeoverPause[pool.key] = now.Add(takeoverPauseInterval)
	pool.pause(now.Add(takeoverPause))
}

// ranking returns the instances that may be the home of a pool, the home first. maintain refreshes the order.
func (p *Placer) ranking(key poolKey) []pond.Instance {
	homes, ok := p.rankings[key]
	if !ok {
		homes = p.rank(key)
		p.rankings[key] = homes
	}
	return homes
}

// refreshRankings ranks the instances again for all pools, unless the directory returns the same slice as before and so
// has not changed. Ranking 117 instances for 34 pools takes 2.3 ms (BenchmarkRank), or 0.9 % of a core at four times a
// second.
func (p *Placer) refreshRankings(now time.Time) {
	instances := p.options.Directory.Instances()
	if len(instances) > 0 && &instances[0] == p.rankedFrom {
		return
	}
	if len(instances) > 0 {
		p.rankedFrom = &instances[0]
	}
	for key := range p.rankings {
		p.refreshRanking(key, now)
	}
}

// refreshRanking ranks the instances again for one pool. If this instance becomes the home, its scheduler pauses.
func (p *Placer) refreshRanking(key poolKey, now time.Time) {
	wasRemote := len(p.rankings[key]) > 0 && p.rankings[key][0].ID() != p.options.Directory.Self().ID()
	current := p.rank(key)
	p.logHomeChange(key, p.rankings[key], current)
	p.rankings[key] = current
	if pool, ok := p.pools[key]; ok && wasRemote && p.isHome(key) {
		pool.pause(now.Add(takeoverPause))
	}
}

// logHomeChange logs a change of the home of a pool.
func (p *Placer) logHomeChange(key poolKey, former, current []pond.Instance) {
	homeOf := func(ranked []pond.Instance) pond.InstanceID {
		if len(ranked) == 0 {
			return ""
		}
		return ranked[0].ID()
	}
	if homeOf(former) != homeOf(current) {
		p.options.Log.WithFields(logrus.Fields{
			logs.Event: "homeChanged", "pool": key.rankKey(), logs.Home: homeOf(current), logs.Former: homeOf(former),
		}).Info("home of a pool changed")
	}
}

func (p *Placer) rank(key poolKey) []pond.Instance {
	var members []pond.Instance
	for _, instance := range p.options.Directory.Instances() {
		if instance.Region() == key.region {
			members = append(members, instance)
		}
	}
	return p.options.Rank(key.rankKey(), members)
}

// streamTo returns the stream to the instance with a peer address and opens it if necessary.
func (p *Placer) streamTo(address string, now time.Time) *homeStream {
	if s, ok := p.homeStreams[address]; ok {
		return s
	}
	s := newHomeStream(p.streamCtx, p, address, now)
	p.homeStreams[address] = s
	return s
}

// handleDecisions applies a message of a home.
func (p *Placer) handleDecisions(s *homeStream, down *peerpb.ScheduleDown) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.homeStreams[s.address] != s {
		return
	}
	s.lastReceivedAt, s.decidesRegions = now, down.GetDecidesRegions()
	if !s.ready {
		s.ready = true
		p.reassignRequests(now)
	}
	for _, message := range down.GetDecisions() {
		p.applyDecision(s, decisionOfMessage(message, now), now)
	}
}

// handleStreamEnd hands the requests of an ended stream to the next coordinator: waiting ones are offered again,
// running ones registered.
func (p *Placer) handleStreamEnd(s *homeStream, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.homeStreams[s.address] == s {
		p.dropStream(s, err, p.options.Now())
	}
}

// dropStream removes a failed stream and starts the backoff of its home. The lock must be held.
func (p *Placer) dropStream(s *homeStream, err error, now time.Time) {
	delete(p.homeStreams, s.address)
	if p.streamCtx.Err() != nil {
		return
	}
	p.backoffUntil[s.address] = now.Add(homeBackoff)
	p.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "homeLost", logs.Home: s.address}).Warn("stream to the home of a pool ended")
	p.reassignRequests(now)
}

// reassignRequests hands every request whose coordinator is out of date to the current one. Running requests go first,
// so that the new coordinator knows the capacity in use before it decides about the waiting ones. The lock must be
// held.
func (p *Placer) reassignRequests(now time.Time) {
	var waiting []*localRequest
	type pooled struct {
		key         poolKey
		mayLackHome bool
	}
	coordinators := make(map[pooled]coordinator)
	for _, r := range p.requests {
		group := pooled{r.key, r.mayLackHome()}
		c, ok := coordinators[group]
		if !ok {
			c = p.coordinator(group.key, group.mayLackHome, now)
			coordinators[group] = c
		}
		if c == r.coordinator {
			continue
		}
		if r.state == requestWaiting {
			waiting = append(waiting, r)
			continue
		}
		p.withdraw(r, now)
		if r.coordinator = c; c != nil {
			c.register(r, now)
		}
	}
	for _, r := range waiting {
		if r.sentTo != "" {
			p.returnHome(r, "the home there has changed or is lost", now)
			continue
		}
		p.withdraw(r, now)
		r.offers--
		p.offer(r, now)
	}
}

// withdraw tells the request's former coordinator that it no longer decides about the request.
func (p *Placer) withdraw(r *localRequest, now time.Time) {
	s, remote := r.coordinator.(*homeStream)
	if r.coordinator == nil || remote && p.homeStreams[s.address] != s {
		return
	}
	r.coordinator.finish(r.req.Generation, handoverEnd, now)
}

// maintain refreshes the pools and the rankings, opens and closes streams to homes, hands requests to their current
// coordinators and reports progress.
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
	p.refreshLinkBudget(manifest, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.nextRankingAt) {
		p.nextRankingAt = now.Add(rankingInterval)
		p.refreshRankings(now)
	}
	for address, end := range p.backoffUntil {
		if !now.Before(end) {
			delete(p.backoffUntil, address)
		}
	}
	p.openHomeStreams(manifest, now)
	p.returnLate(now)
	p.closeStaleStreams(now)
	p.reassignRequests(now)
	p.reportProgress(now)
}

// openHomeStreams opens the streams to the homes of this region's pools before the first request. Instances that each
// decide locally until their streams are open all choose the same engines: in one run, 34 of the first 50 requests went
// to 2 of 45 engines.
func (p *Placer) openHomeStreams(manifest *spec.Manifest, now time.Time) {
	if manifest == nil || p.draining {
		return
	}
	for _, model := range manifest.Models() {
		if s, _ := p.reachableHome(poolKey{model: model.Name(), region: p.region()}, now); s != nil {
			s.lastUsedAt = now
		}
	}
}

// closeStaleStreams closes the streams of homes that did not answer within homeTimeout, and unused streams.
func (p *Placer) closeStaleStreams(now time.Time) {
	waitingSince := make(map[*homeStream]time.Time)
	for _, r := range p.requests {
		s, ok := r.coordinator.(*homeStream)
		if !ok {
			continue
		}
		s.lastUsedAt = now
		if earliest, seen := waitingSince[s]; r.state == requestWaiting && (!seen || r.offeredAt.Before(earliest)) {
			waitingSince[s] = r.offeredAt
		}
	}
	for _, s := range p.homeStreams {
		since, waiting := waitingSince[s]
		if s.lastReceivedAt.After(since) {
			since = s.lastReceivedAt
		}
		timedOut := waiting && now.Sub(since) > homeTimeout || !s.ready && now.Sub(s.openedAt) > homeTimeout
		switch {
		case timedOut:
			s.cancel()
			p.dropStream(s, errHomeTimeout, now)
		case now.Sub(s.lastUsedAt) > idleStreamTimeout:
			s.cancel()
			delete(p.homeStreams, s.address)
		}
	}
}

// reportProgress reports the progress of running requests to their coordinators. Reports to other instances are rate
// limited.
func (p *Placer) reportProgress(now time.Time) {
	next := now.Add(p.progressInterval())
	for _, r := range p.requests {
		if r.state != requestRunning || r.coordinator == nil || now.Before(r.nextProgressAt) {
			continue
		}
		progress, ok := r.unreported()
		if !ok {
			continue
		}
		r.coordinator.progress(r.req.Generation, progress, now)
		if _, remote := r.coordinator.(*homeStream); remote {
			r.nextProgressAt = next
		}
	}
}

// progressInterval returns the time between two progress reports of one running request, such that all requests
// together send maxProgressRate items per second, within maintenanceInterval and maxProgressInterval.
func (p *Placer) progressInterval() time.Duration {
	remote := 0
	for _, r := range p.requests {
		if _, ok := r.coordinator.(*homeStream); ok && r.state == requestRunning {
			remote++
		}
	}
	interval := time.Duration(remote) * time.Second / maxProgressRate
	return min(max(interval, maintenanceInterval), maxProgressInterval)
}
