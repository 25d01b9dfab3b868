package place

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/internal/spill"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// spareTimeout bounds a question to the home of another region.
	spareTimeout = 500 * time.Millisecond

	// sentSilence is the time without a message from the home of another region after which the requests that wait there
	// return. It sends a heartbeat every heartbeatInterval, and the check every maintenanceInterval must still end the wait
	// within a second after the link is cut.
	sentSilence = 700 * time.Millisecond

	// unknownRPC is contained in the error of a home of a release that does not know the question.
	unknownRPC = "unknown rpc"
)

// errNotHome is the cause of a question that the asked instance could not answer.
var errNotHome = errors.New("the asked instance is not the home of the pool")

// SpillStats are totals of the decisions about other regions.
type SpillStats struct {
	// Sent and Returned count the requests of this instance that were sent to another region, and those that returned.
	Sent, Returned int64
	// Homes are the totals of the pools of this instance.
	Homes spill.Stats
	// LinkBytes are the bytes that this instance, as a home, has charged to the link, and LinkRate what it may charge per
	// second now.
	LinkBytes int64
	LinkRate  float64
	// Age is the age of the oldest figures of another region; negative for none.
	Age time.Duration
}

// SpillStats returns the totals.
func (p *Placer) SpillStats() SpillStats {
	stats := SpillStats{
		Sent: p.sentRequests.Load(), Returned: p.returned.Load(),
		LinkBytes: p.spillBudget.Spent(), LinkRate: p.spillBudget.Rate(), Age: -1,
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.mu.Lock()
		homes, age := pool.spill.Stats(), pool.spill.Age(now)
		pool.mu.Unlock()
		stats.Homes = stats.Homes.Plus(homes)
		stats.Age = max(stats.Age, age)
	}
	return stats
}

// mayBeSent reports whether the home may send the request to another region.
func (r *localRequest) mayBeSent() bool {
	return r.sendable && r.sentTo == "" && !r.returned
}

// mayDecideAlone reports whether this instance may decide itself about the request in another region whose home does not
// answer: it has no other place. A request that was sent there by its home has one.
func (r *localRequest) mayDecideAlone() bool { return r.restricted && r.sentTo == "" }

// homeDecidesRegions reports whether the current coordinator of a pool decides which requests go to other regions. Homes
// of a former release leave that to the instances.
func (p *Placer) homeDecidesRegions(key poolKey, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, local := p.reachableHome(key, now)
	switch {
	case s != nil:
		return s.decidesRegions
	case local:
		return p.localPoolLocked(key).decidesRegions()
	default:
		return false
	}
}

func (p *pool) decidesRegions() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance && p.spill.Decides()
}

// hindered reports whether a region that has the pool's model does not take part in the exchange.
func (p *pool) hindered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spill.Hindered()
}

// sendToRegion offers a request in the region that its home has chosen. The lock must be held.
func (p *Placer) sendToRegion(r *localRequest, decision sched.Decision, now time.Time) {
	if !r.mayBeSent() || !r.req.Regions.Allows(decision.Region) || decision.Region == r.key.region {
		p.refuse(r, newRefusal(pond.ReasonOverloaded, now.Add(retryDelay), "the home sent the request to a region that is not possible"))
		return
	}
	p.sentRequests.Add(1)
	p.spillLog(r).WithFields(logrus.Fields{
		logs.Event: "requestSentToRegion", "region": decision.Region,
		"hereMillis": decision.Here.Milliseconds(), "thereMillis": decision.There.Milliseconds(),
	}).Info("request sent to another region, where it is predicted to start earlier")
	r.sentTo, r.returnAt = decision.Region, now.Add(spill.Patience(decision.Here))
	r.key.region = decision.Region
	r.offers--
	p.offer(r, now)
}

// returnHome offers a request that was sent to another region in its own one again. The lock must be held.
func (p *Placer) returnHome(r *localRequest, why string, now time.Time) {
	p.returned.Add(1)
	p.spillLog(r).WithFields(logrus.Fields{
		logs.Event: "requestReturned", "region": r.sentTo, logs.Reason: why,
	}).Info("request returned from another region")
	p.withdraw(r, now)
	r.sentTo, r.returned, r.returnAt = "", true, time.Time{}
	r.key.region = r.ownRegion
	r.offers--
	p.offer(r, now)
}

func (p *Placer) spillLog(r *localRequest) logrus.FieldLogger {
	return p.options.Log.WithFields(logrus.Fields{
		"generation": r.req.Generation, logs.Account: r.req.Account, "promptTokens": r.req.PromptTokens,
		logs.ElapsedMillis: p.options.Now().Sub(r.firstOfferedAt).Milliseconds(),
	})
}

// returnLate returns the requests that have waited too long in another region or whose home there is silent. The lock must
// be held.
func (p *Placer) returnLate(now time.Time) {
	for _, r := range p.requests {
		if r.sentTo == "" || r.state != requestWaiting {
			continue
		}
		heard := r.offeredAt
		if s, ok := r.coordinator.(*homeStream); ok && s.lastReceivedAt.After(heard) {
			heard = s.lastReceivedAt
		}
		switch {
		case now.Sub(heard) > sentSilence:
			p.returnHome(r, "the home there is silent", now)
		case !now.Before(r.returnAt):
			p.returnHome(r, "it had no engine there in time", now)
		}
	}
}

// refreshLinkBudget applies the settings to the budget of the link, and finds out whether this instance decides about other
// regions.
//
// The capacity of the link between regions is not published. The settings name an instance's own link, and the sum over
// the region's instances bounds what they can send; the budget applies its own bound to that, which is usually the lower one,
// and the only one if the settings name no link.
// Each pool has a home of its own, so each home gets its share of the models.
func (p *Placer) refreshLinkBudget(manifest *spec.Manifest, now time.Time) {
	if manifest == nil || !p.options.BalanceRegions {
		return
	}
	perSecond, perHour := manifest.LinkBytes()
	rate := float64(spill.MaxLinkRate)
	if perSecond > 0 {
		rate = min(float64(perSecond), float64(perHour)/secondsPerHour) * float64(p.instancesIn(p.region()))
	}
	p.spillBudget.SetRate(min(rate, spill.MaxLinkRate)/float64(max(len(manifest.Models()), 1)), now)
	p.mu.Lock()
	defer p.mu.Unlock()
	decides := false
	for key, pool := range p.pools {
		if !p.isHome(key) {
			continue
		}
		if pool.hindered() {
			decides = false
			break
		}
		decides = decides || pool.decidesRegions()
	}
	p.decidesRegions.Store(decides)
}

// exchange asks the homes of other regions what they can take.
type exchange struct {
	placer *Placer
	group  sync.WaitGroup

	mu   sync.Mutex
	busy map[poolKey]bool // pools of other regions whose home is being asked
}

func newExchange(placer *Placer) *exchange {
	return &exchange{placer: placer, busy: make(map[poolKey]bool)}
}

func (x *exchange) wait() { x.group.Wait() }

// ask starts the questions that are due. It is called often, so it starts nothing for pools of other homes.
func (x *exchange) ask(ctx context.Context, now time.Time) {
	p := x.placer
	if !p.options.BalanceRegions {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return
	}
	for key, pool := range p.pools {
		if key.region != p.region() || !p.isHome(key) {
			continue
		}
		for _, region := range pool.dueRegions(now) {
			other := poolKey{model: key.model, region: region}
			homes := p.ranking(other)
			if len(homes) == 0 || !x.begin(other) {
				continue
			}
			address := homes[0].PeerAddress()
			x.group.Go(func() {
				defer x.end(other)
				x.askHome(ctx, pool, region, address)
			})
		}
	}
}

func (x *exchange) begin(key poolKey) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[key] {
		return false
	}
	x.busy[key] = true
	return true
}

func (x *exchange) end(key poolKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, key)
}

// dueRegions returns the regions whose homes are to be asked now.
func (p *pool) dueRegions(now time.Time) (due []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.spill.Regions() {
		if p.spill.Due(name, now) {
			due = append(due, name)
		}
	}
	return due
}

// askHome asks one home and applies its answer.
func (x *exchange) askHome(ctx context.Context, pool *pool, region, address string) {
	p := x.placer
	askedAt := p.options.Now()
	pool.mu.Lock()
	question := pool.spill.Ask(region, pool.scheduler.Outlook(sched.KindShort, askedAt), pool.scheduler.Outlook(sched.KindLong, askedAt), askedAt)
	pool.mu.Unlock()
	response, err := x.call(ctx, address, messageOfQuestion(question, pool.key.model))
	if err == nil && !response.GetHome() {
		err = errNotHome
	}
	now := p.options.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err == nil {
		pool.spill.Learn(region, answerOfMessage(response), askedAt, now)
		return
	}
	if ctx.Err() != nil {
		return // This instance stops.
	}
	formerRelease := strings.Contains(err.Error(), unknownRPC)
	if errors.Is(err, errNotHome) {
		pool.spill.Unanswered(region)
	} else {
		pool.spill.Failed(region, formerRelease, now)
	}
	p.options.Log.WithError(err).WithFields(logrus.Fields{
		logs.Event: "regionNotAsked", "region": region, logs.Home: address, "formerRelease": formerRelease,
	}).Warn("the home of another region did not say what it can take")
}

func (x *exchange) call(ctx context.Context, address string, request *peerpb.SpareRequest) (*peerpb.SpareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	conn := x.placer.options.Connect(address)
	defer conn.Close()
	return peerpb.NewDRPCSchedulingClient(conn).Spare(ctx, request)
}

// Spare tells the home of another region what this pool can take. It implements peerpb.DRPCSchedulingServer.
func (p *Placer) Spare(_ context.Context, request *peerpb.SpareRequest) (*peerpb.SpareResponse, error) {
	key := poolKey{model: request.GetModel(), region: p.region()}
	p.mu.Lock()
	home := p.options.BalanceRegions && !p.draining && request.GetRegion() != key.region && p.isHome(key)
	var pool *pool
	if home {
		pool = p.localPoolLocked(key)
	}
	p.mu.Unlock()
	if pool == nil {
		return &peerpb.SpareResponse{}, nil
	}
	now := p.options.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	short, long := pool.scheduler.Outlook(sched.KindShort, now), pool.scheduler.Outlook(sched.KindLong, now)
	return messageOfAnswer(pool.spill.Answer(questionOfMessage(request), short, long, now)), nil
}

func messageOfQuestion(question spill.Question, model string) *peerpb.SpareRequest {
	return &peerpb.SpareRequest{
		Model: model, Region: question.Region, RoundTripMicro: question.RoundTrip.Microseconds(),
		Short: messageOfFigures(question.Kinds[sched.KindShort]), Long: messageOfFigures(question.Kinds[sched.KindLong]),
	}
}

func questionOfMessage(message *peerpb.SpareRequest) spill.Question {
	question := spill.Question{
		Region: message.GetRegion(), RoundTrip: time.Duration(message.GetRoundTripMicro()) * time.Microsecond,
	}
	question.Kinds[sched.KindShort] = figuresOfMessage(message.GetShort())
	question.Kinds[sched.KindLong] = figuresOfMessage(message.GetLong())
	return question
}

func messageOfAnswer(answer spill.Answer) *peerpb.SpareResponse {
	return &peerpb.SpareResponse{
		Home: true, PromptRate: answer.PromptRate, Engines: int32(answer.Engines),
		Short: messageOfFigures(answer.Kinds[sched.KindShort]), Long: messageOfFigures(answer.Kinds[sched.KindLong]),
	}
}

func answerOfMessage(message *peerpb.SpareResponse) spill.Answer {
	answer := spill.Answer{PromptRate: message.GetPromptRate(), Engines: int(message.GetEngines())}
	answer.Kinds[sched.KindShort] = figuresOfMessage(message.GetShort())
	answer.Kinds[sched.KindLong] = figuresOfMessage(message.GetLong())
	return answer
}

func messageOfFigures(f spill.Figures) *peerpb.PoolOutlook {
	return &peerpb.PoolOutlook{
		DelayMicro: f.Delay.Microseconds(), SpareTokens: f.Spare, DrainTokens: f.Drain,
		GrantedTokens: f.GrantedTokens, GrantedRequests: int32(f.GrantedRequests),
	}
}

func figuresOfMessage(message *peerpb.PoolOutlook) spill.Figures {
	return spill.Figures{
		Delay: time.Duration(message.GetDelayMicro()) * time.Microsecond, Spare: message.GetSpareTokens(),
		Drain: message.GetDrainTokens(), GrantedTokens: message.GetGrantedTokens(), GrantedRequests: int(message.GetGrantedRequests()),
	}
}
