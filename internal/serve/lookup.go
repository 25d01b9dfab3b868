package serve

import (
	"context"
	"math/rand/v2"
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

	// readyPollInterval is the time between two checks of an instance that starts whether it is ready.
	readyPollInterval = 20 * time.Millisecond
)

// lookup returns addresses of instances for a caller: those in its region, or in all regions if its region has none.
func (i *Instance) lookup(region, _ string) LookupResult {
	var addresses []string
	for _, instance := range namedInstances(i.members.Instances(), region, i.members.Self().ID(), i.ready()) {
		addresses = append(addresses, instance.HTTPAddress())
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return LookupResult{Validity: i.lookupValidity(), Addresses: addresses[:min(maxAddresses, len(addresses))]}
}

// namedInstances returns the instances that a lookup for a region names: those of the region that are ready, else those of all regions that are.
//
// All live ones count if too few are ready, also those that are starting. They refuse requests, but a caller without an address cannot even try,
// and the first ones that are ready after a common start cannot serve the callers of all others.
func namedInstances(instances []pond.Instance, region string, self pond.InstanceID, selfReady bool) []pond.Instance {
	var inRegion, anywhere nameable
	for _, instance := range instances {
		isSelf := instance.ID() == self
		if instance.State() != pond.InstanceLive || isSelf && !selfReady {
			continue
		}
		ready := isSelf || !instance.Starting()
		anywhere.add(instance, ready)
		if instance.Region() == region {
			inRegion.add(instance, ready)
		}
	}
	switch {
	case inRegion.enoughReady():
		return inRegion.ready
	case anywhere.enoughReady():
		return anywhere.ready
	case len(inRegion.live) > 0:
		return inRegion.live
	default:
		return anywhere.live
	}
}

// nameable are the instances of one or all regions that a lookup can name.
type nameable struct{ live, ready []pond.Instance }

func (n *nameable) add(instance pond.Instance, ready bool) {
	n.live = append(n.live, instance)
	if ready {
		n.ready = append(n.ready, instance)
	}
}

func (n *nameable) enoughReady() bool {
	return len(n.ready) > 0 && len(n.ready)*readyShareDivisor >= len(n.live)
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
