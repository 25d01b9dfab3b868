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
	slotTimeout = time.Second
	// weightsSeparator joins the names of the weights of one request.
	weightsSeparator = ","
)

// slotHome returns the instance that grants load slots for the region.
func (r *Reconciler) slotHome(region string) (pond.Instance, bool) {
	return r.options.Ranking.Home("weights/"+region, region)
}

// acquire asks the home of the engine's region for the slots of one order. If they are not granted, it returns the time
// from which another request is useful. Without a declared rate every load is granted.
func (r *Reconciler) acquire(
	ctx context.Context, manifest *spec.Manifest, engine spec.Backend, weights []string,
) (retryAt time.Time, granted bool, err error) {
	if _, _, rate := manifest.WeightStore(); rate <= 0 {
		return time.Time{}, true, nil
	}
	region := newShares(manifest).granting(engine.Region())
	home, ok := r.slotHome(region)
	if !ok {
		return time.Time{}, false, errors.Errorf("no live instance grants load slots for region %q", region)
	}
	if home.Ref() == r.self {
		retryAt, granted = r.grant(manifest, engine, weights)
		return retryAt, granted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
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

// LoadSlot implements peerpb.DRPCOrdersServer.
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
	retryAt, granted := r.grant(manifest, engine, strings.Split(req.GetWeights(), weightsSeparator))
	if granted {
		return &peerpb.LoadSlotResponse{Granted: true}, nil
	}
	wait := retryAt.Sub(r.options.Clock())
	return &peerpb.LoadSlotResponse{RetryAfterMilli: max(1, wait.Milliseconds())}, nil
}

// grant decides as home. It observes first, so that a home that lost its role since the last tick grants nothing.
func (r *Reconciler) grant(
	manifest *spec.Manifest, engine spec.Backend, weights []string,
) (retryAt time.Time, granted bool) {
	s := newShares(manifest)
	region := r.options.Directory.Self().Region()
	now := r.options.Clock()
	if s.granting(engine.Region()) != region || !r.options.Source.Confirmed(now) {
		return now.Add(maxRetry), false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeSlots(s, now)
	return r.pacer.grant(r.request(manifest, s, engine, weights), now)
}

func (r *Reconciler) request(
	manifest *spec.Manifest, s shares, engine spec.Backend, weights []string,
) request {
	result := request{region: engine.Region(), loads: len(weights)}
	result.perSecond, result.perHour = manifest.LinkBytes()
	if engine.Region() == s.storeRegion {
		return result
	}
	for _, name := range weights {
		result.crossing += r.options.WeightBytes(name)
	}
	return result
}

// observeSlots updates the pacer's view of the home. The caller holds the lock.
func (r *Reconciler) observeSlots(s shares, now time.Time) {
	region := r.options.Directory.Self().Region()
	home, ok := r.slotHome(region)
	r.pacer.observe(ok && home.Ref() == r.self, s.perMinute[region], now)
}
