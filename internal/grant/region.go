package grant

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// A request that runs in another region sends its prompt over the link and gets one event for each token back.
	promptTokenBytes = 5
	tokenEventBytes  = 160

	// An output of unknown length is charged with this many tokens.
	assumedOutputTokens = 1000

	secondsPerHour = 3600

	// The hourly budget may be used ahead by this many seconds' worth, so that a short peak can use it.
	hourlyBurstSeconds = 60
)

// linkBudget limits what this instance sends over the link between regions to its share.
type linkBudget struct {
	mu     sync.Mutex
	second *rate.Limiter
	hour   *rate.Limiter
}

// allow charges bytes to both budgets, shared equally by the instances of the region, or charges none of them.
func (b *linkBudget) allow(bytes int, manifest *spec.Manifest, instances int, now time.Time) bool {
	perSecond, perHour := manifest.LinkBytes()
	share := float64(perSecond) / float64(max(instances, 1))
	hourly := float64(perHour) / secondsPerHour / float64(max(instances, 1))
	b.mu.Lock()
	defer b.mu.Unlock()
	setLimit(&b.second, share, int(share), now)
	setLimit(&b.hour, hourly, int(hourly*hourlyBurstSeconds), now)
	if b.hour.TokensAt(now) < float64(bytes) {
		return false
	}
	return b.second.AllowN(now, bytes) && b.hour.AllowN(now, bytes)
}

// setLimit changes a limiter when the manifest or the number of instances changed. A new limiter starts full; a change
// adds nothing to what is left.
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

// otherRegions returns the regions to try after the home region could not start the request in time.
func (p *Placer) otherRegions(manifest *spec.Manifest, req pond.PlaceRequest, refusal *pond.Refusal) []string {
	if refusal.Reason() != pond.ReasonOverloaded && refusal.Reason() != pond.ReasonNoBackend {
		return nil
	}
	home := p.region()
	regions := servingRegions(manifest, req.Model, home)
	if len(regions) == 0 {
		return nil
	}
	if !p.budget.allow(linkBytes(req), manifest, p.instancesIn(home), p.options.Now()) {
		return nil
	}
	return regions[:1]
}

// servingRegions returns the regions with an engine for the model, without the home region, in the manifest's order.
func servingRegions(manifest *spec.Manifest, model, home string) []string {
	var regions []string
	seen := map[string]bool{home: true}
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

func linkBytes(req pond.PlaceRequest) int {
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
