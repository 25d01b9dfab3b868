package order

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	slotRequestTimeout = time.Second
	// weightsSeparator separates the names of the weights in a slot request.
	weightsSeparator = ","
)

// slotHome returns the instance that grants load slots for the region.
func (r *Reconciler) slotHome(region string) (pond.Instance, bool) {
	return r.options.Ranking.Home("weights/"+region, region)
}

// acquireSlots requests the load slots of one order from the instance that grants them for the engine's region. If they
// are not granted, it returns the earliest useful time for another request. Without a declared rate, every load is
// granted.
func (r *Reconciler) acquireSlots(
	ctx context.Context, manifest *spec.Manifest, engine spec.Backend, weights []string,
) (retryAt time.Time, granted bool, err error) {
	if _, _, rate := manifest.WeightStore(); rate <= 0 {
		return time.Time{}, true, nil
	}
	region := newRegionShares(manifest).grantingRegion(engine.Region())
	home, ok := r.slotHome(region)
	if !ok {
		return time.Time{}, false, errors.Errorf("no live instance grants load slots for region %q", region)
	}
	if home.Ref() == r.self {
		retryAt, granted = r.grantSlots(manifest, engine, weights)
		return retryAt, granted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	client := peerpb.NewDRPCOrdersClient(r.options.Conn(home.PeerAddress()))
	response, err := client.LoadSlot(ctx, &peerpb.LoadSlotRequest{
		Backend: engine.Name(),
		Weights: strings.Join(weights, weightsSeparator),
	})
	if err != nil {
		return time.Time{}, false, errors.Wrap(err, "request load slot")
	}
	wait := time.Duration(response.GetRetryAfterMilli()) * time.Millisecond
	return r.options.Clock().Add(wait), response.GetGranted(), nil
}

// LoadSlot implements peerpb.DRPCOrdersServer. It grants or refuses the load slots of one order.
func (r *Reconciler) LoadSlot(
	_ context.Context, req *peerpb.LoadSlotRequest,
) (*peerpb.LoadSlotResponse, error) {
	manifest := r.options.Source.Current()
	if manifest == nil {
		return nil, errors.New("no manifest yet")
	}
	engine, ok := manifest.Backend(req.GetBackend())
	if !ok {
		return nil, errors.Errorf("no backend server %q", req.GetBackend())
	}
	retryAt, granted := r.grantSlots(manifest, engine, strings.Split(req.GetWeights(), weightsSeparator))
	if granted {
		return &peerpb.LoadSlotResponse{Granted: true}, nil
	}
	wait := retryAt.Sub(r.options.Clock())
	return &peerpb.LoadSlotResponse{RetryAfterMilli: max(1, wait.Milliseconds())}, nil
}

// grantSlots grants or refuses slots as home of the region. It observes first, so that an instance that has ceased to
// be home since the last observation grants nothing.
func (r *Reconciler) grantSlots(
	manifest *spec.Manifest, engine spec.Backend, weights []string,
) (retryAt time.Time, granted bool) {
	s := newRegionShares(manifest)
	region := r.options.Directory.Self().Region()
	now := r.options.Clock()
	if s.grantingRegion(engine.Region()) != region || !r.options.Source.Confirmed(now) {
		return now.Add(slotRetryDelay), false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeSlotHome(s, now)
	return r.pacer.grant(r.newSlotRequest(manifest, s, engine, weights), now)
}

func (r *Reconciler) newSlotRequest(
	manifest *spec.Manifest, s regionShares, engine spec.Backend, weights []string,
) slotRequest {
	result := slotRequest{region: engine.Region(), loads: len(weights)}
	result.bytesPerSecond, result.bytesPerHour = manifest.LinkBytes()
	if engine.Region() == s.storeRegion {
		return result
	}
	for _, name := range weights {
		result.linkBytes += r.options.WeightBytes(name)
	}
	return result
}

// observeSlotHome tells the pacer whether this instance is home of its region's slots. The caller holds the lock.
func (r *Reconciler) observeSlotHome(s regionShares, now time.Time) {
	region := r.options.Directory.Self().Region()
	home, ok := r.slotHome(region)
	r.pacer.observe(ok && home.Ref() == r.self, s.perMinute[region], now)
}
