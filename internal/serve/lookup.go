package serve

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// maxAddresses bounds the addresses in one response.
	maxAddresses = 64

	// readyShareDivisor sets the number of instances that have to be ready for lookups to name these alone: the live ones divided by it.
	readyShareDivisor = 8

	// fewestNamed is the number of instances of other regions that are named if none of the caller's region is ready. A caller tries another
	// address after one that fails.
	fewestNamed = 4

	// readyPollInterval is the time between two checks of an instance that starts whether it is ready.
	readyPollInterval = 20 * time.Millisecond
)

// LookupRequest is a caller's question for addresses of instances.
type LookupRequest struct {
	// Host is the host that the caller wants to send requests to.
	Host string
	// Region and DataCentre are those of the caller.
	Region     string
	DataCentre string
}

// lookup returns addresses of instances for a caller: those in its region, or in others if too few there are ready.
func (i *Instance) lookup(request LookupRequest) LookupResult {
	var routes []pond.Regions
	if catalogue := i.fleet.Catalogue(); catalogue != nil {
		routes = catalogue.HostRegions(request.Host)
	}
	var addresses []string
	for _, instance := range namedInstances(i.members.Instances(), request.Region, routes, i.members.Self().ID(), i.ready()) {
		addresses = append(addresses, instance.HTTPAddress())
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return LookupResult{Validity: i.lookupValidity(), Addresses: addresses[:min(maxAddresses, len(addresses))]}
}

// namedInstances returns the instances that a lookup for a region names: those of the region that are ready, and as many ready ones of other
// regions as are missing. Of these, the ones in regions that most of the routes allow come first; among equals the choice is random, so that all
// callers together use all of them.
//
// All live ones of the region count if too few are ready anywhere, also those that are starting. They refuse requests, but a caller without an
// address cannot even try, and the first ones that are ready after a common start cannot serve the callers of all others.
func namedInstances(instances []pond.Instance, region string, routes []pond.Regions, self pond.InstanceID, selfReady bool) []pond.Instance {
	var inRegion, elsewhere nameable
	for _, instance := range instances {
		isSelf := instance.ID() == self
		if instance.State() != pond.InstanceLive || isSelf && !selfReady {
			continue
		}
		ready := isSelf || !instance.Starting()
		if instance.Region() == region {
			inRegion.add(instance, ready)
		} else {
			elsewhere.add(instance, ready)
		}
	}
	enough := inRegion.enoughReady()
	if len(inRegion.live) == 0 {
		enough = elsewhere.enoughReady()
	}
	named := inRegion.ready
	if len(named) == 0 {
		named = firstAllowed(elsewhere.ready, routes, max(enough, fewestNamed))
	} else if len(named) < enough {
		named = append(named, firstAllowed(elsewhere.ready, routes, enough-len(named))...)
	}
	switch {
	case len(named) > 0 && len(named) >= enough:
		return named
	case len(inRegion.live) > 0:
		return inRegion.live
	default:
		return firstAllowed(elsewhere.live, routes, max(enough, fewestNamed))
	}
}

// firstAllowed returns some of the instances, those first in whose region the fewest of the routes forbid requests to run.
func firstAllowed(instances []pond.Instance, routes []pond.Regions, count int) []pond.Instance {
	forbidding := func(instance pond.Instance) (forbidden int) {
		for _, regions := range routes {
			if !regions.Allows(instance.Region()) {
				forbidden++
			}
		}
		return forbidden
	}
	first := slices.Clone(instances)
	rand.Shuffle(len(first), func(a, b int) { first[a], first[b] = first[b], first[a] })
	slices.SortStableFunc(first, func(a, b pond.Instance) int { return cmp.Compare(forbidding(a), forbidding(b)) })
	return first[:min(count, len(first))]
}

// nameable are the instances of one or of the other regions that a lookup can name.
type nameable struct{ live, ready []pond.Instance }

func (n *nameable) add(instance pond.Instance, ready bool) {
	n.live = append(n.live, instance)
	if ready {
		n.ready = append(n.ready, instance)
	}
}

// enoughReady returns the number of instances that have to be ready for lookups to name these alone.
func (n *nameable) enoughReady() int {
	return (len(n.live) + readyShareDivisor - 1) / readyShareDivisor
}

// announceReady waits until this instance is ready for callers and tells the others.
func (i *Instance) announceReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !i.ready() {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	i.members.AnnounceReady()
	i.log.WithFields(logrus.Fields{
		logs.Event: "instanceReady", "afterMillis": clock.Now().Sub(i.startedAt).Milliseconds(),
	}).Info("instance is ready for callers")
	return nil
}
