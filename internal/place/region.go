package place

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// A request that runs in another region sends its prompt over the link and receives one event per token.
	promptTokenBytes = 5
	tokenEventBytes  = 160

	// assumedOutputTokens is the charge for an output of unknown length, and the largest charge for any output.
	assumedOutputTokens = 1000

	secondsPerHour = 3600

	// ownRegionMaxLoad is the load of the least loaded engine of this region above which a request is offered to another
	// region. otherRegionMaxLoad is the load there above which it returns; it is lower, because the answer then crosses
	// the link between the regions.
	ownRegionMaxLoad   = 0.8
	otherRegionMaxLoad = 0.65

	// otherRegionTimeout bounds the wait for a decision of another region.
	otherRegionTimeout = 250 * time.Millisecond

	// hourlyBurstSeconds is the burst of the hourly budget, in seconds of its average rate, so that a short peak can
	// use it.
	hourlyBurstSeconds = 60
)

// linkBudget limits the bytes that this instance's requests cause on the link between regions to its share.
type linkBudget struct {
	mu            sync.Mutex
	secondLimiter *rate.Limiter
	hourLimiter   *rate.Limiter
}

// allow charges bytes to the per-second and the hourly budget, which the instances of the region share equally, and
// reports whether both had enough left. If one has not, it charges neither.
func (b *linkBudget) allow(bytes int, manifest *spec.Manifest, instances int, now time.Time) bool {
	secondRate, hourRate := linkRates(manifest, instances)
	b.mu.Lock()
	defer b.mu.Unlock()
	setLimit(&b.secondLimiter, secondRate, int(secondRate), now)
	setLimit(&b.hourLimiter, hourRate, int(hourRate*hourlyBurstSeconds), now)
	if b.hourLimiter.TokensAt(now) < float64(bytes) {
		return false
	}
	return b.secondLimiter.AllowN(now, bytes) && b.hourLimiter.AllowN(now, bytes)
}

// affords reports whether allow would, and charges nothing.
func (b *linkBudget) affords(bytes int, manifest *spec.Manifest, instances int, now time.Time) bool {
	secondRate, hourRate := linkRates(manifest, instances)
	b.mu.Lock()
	defer b.mu.Unlock()
	has := func(limiter *rate.Limiter, burst int) bool {
		return bytes <= burst && (limiter == nil || limiter.TokensAt(now) >= float64(bytes))
	}
	return has(b.hourLimiter, int(hourRate*hourlyBurstSeconds)) && has(b.secondLimiter, int(secondRate))
}

// linkRates returns the share of one instance in bytes per second, by the limit per second and by that per hour.
func linkRates(manifest *spec.Manifest, instances int) (secondRate, hourRate float64) {
	perSecond, perHour := manifest.LinkBytes()
	return float64(perSecond) / float64(max(instances, 1)), float64(perHour) / secondsPerHour / float64(max(instances, 1))
}

// setLimit creates a limiter, or updates it when the manifest or the number of instances changed. A new limiter starts
// full; an update adds no tokens.
func setLimit(limiter **rate.Limiter, limit float64, burst int, now time.Time) {
	if *limiter == nil {
		*limiter = rate.NewLimiter(rate.Limit(limit), burst)
		return
	}
	if (*limiter).Limit() == rate.Limit(limit) && (*limiter).Burst() == burst {
		return
	}
	(*limiter).SetLimitAt(now, rate.Limit(limit))
	(*limiter).SetBurstAt(now, burst)
}

// placeByLoad places a request at once in the first region whose engines are below its load limit, beginning with this
// region; nil if there is none.
//
// Engines are reclaimed regardless of their region. When half of a region's six engines left at the same moment, its
// requests waited up to 5 s for a first token and runs were preempted, while the other region was half empty.
func (p *Placer) placeByLoad(ctx context.Context, steps placeSteps, manifest *spec.Manifest, req pond.PlaceRequest) pond.Placement {
	ownRegion := p.region()
	others := servingRegions(manifest, req.Model, ownRegion)
	if len(others) == 0 {
		return nil
	}
	placement, refusal := steps.placeIn(ctx, req, ownRegion, ownRegionMaxLoad)
	if refusal == nil {
		return placement
	}
	if refusal.Reason() != pond.ReasonOverloaded || !steps.allowLink(manifest, req) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, otherRegionTimeout)
	defer cancel()
	if placement, refusal = steps.placeIn(ctx, req, others[0], otherRegionMaxLoad); refusal != nil {
		return nil
	}
	return placement
}

// placeInAllowed places a request that may run in some regions only: in this region if it is allowed and has engines that accept work, else in
// the first allowed one that has. The budget of the link does not apply, because there is no other place for the request.
func (p *Placer) placeInAllowed(
	ctx context.Context, steps placeSteps, manifest *spec.Manifest, req pond.PlaceRequest,
) (pond.Placement, error) {
	var refusal *pond.Refusal
	for _, region := range p.allowedRegions(manifest, req) {
		var placement pond.Placement
		if placement, refusal = steps.placeIn(ctx, req, region, 0); refusal == nil {
			return placement, nil
		}
		if refusal.Reason() != pond.ReasonOverloaded && refusal.Reason() != pond.ReasonNoBackend {
			return nil, refusal
		}
	}
	if refusal == nil {
		refusal = newRefusal(pond.ReasonNoBackend, p.options.Now().Add(retryDelay), "no engine in the allowed regions: "+req.Regions.String())
	}
	return nil, refusal
}

// otherRegions returns the regions to try after this region refused the request for lack of capacity.
func (p *Placer) otherRegions(steps placeSteps, manifest *spec.Manifest, req pond.PlaceRequest, refusal *pond.Refusal) []string {
	if refusal.Reason() != pond.ReasonOverloaded && refusal.Reason() != pond.ReasonNoBackend {
		return nil
	}
	ownRegion := p.region()
	regions := servingRegions(manifest, req.Model, ownRegion)
	if len(regions) == 0 {
		return nil
	}
	if !steps.allowLink(manifest, req) {
		return nil
	}
	return regions[:1]
}

// allowLink charges a request to the budget of the link between regions.
func (p *Placer) allowLink(manifest *spec.Manifest, req pond.PlaceRequest) bool {
	return p.budget.allow(estimatedLinkBytes(req), manifest, p.instancesIn(p.region()), p.options.Now())
}

// servingRegions returns the regions other than ownRegion that have an engine for the model, in manifest order.
func servingRegions(manifest *spec.Manifest, model, ownRegion string) []string {
	var regions []string
	seen := map[string]bool{ownRegion: true}
	for _, backend := range manifest.Backends() {
		name, _ := backend.Model()
		if backend.Kind() != spec.BackendEngine || name != model || backend.Leaving() || seen[backend.Region()] {
			continue
		}
		seen[backend.Region()] = true
		regions = append(regions, backend.Region())
	}
	return regions
}

// estimatedLinkBytes returns the bytes that a request is expected to cause on the link between regions.
func estimatedLinkBytes(req pond.PlaceRequest) int {
	output := req.MaxTokens
	if output <= 0 || output > assumedOutputTokens {
		output = assumedOutputTokens
	}
	return req.PromptTokens*promptTokenBytes + output*tokenEventBytes
}

func (p *Placer) instancesIn(region string) int {
	count := 0
	for _, instance := range p.options.Directory.Instances() {
		if instance.Region() == region {
			count++
		}
	}
	return count
}
