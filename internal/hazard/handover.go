package hazard

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// handOverInterval is the mean time between two rounds in which an instance that shuts down looks for one that keeps its crashes,
	// and handOverPeers the number of instances that it asks in each.
	handOverInterval = 100 * time.Millisecond
	handOverPeers    = 3
)

// keeping is how long an instance keeps what it knows.
type keeping struct {
	stay    peerpb.Stay
	stopsAt time.Time // with Stay_STAY_STOPS
	id      pond.InstanceID
}

// keepingOf returns what an instance has stated in a response.
func keepingOf(peer pond.Instance, resp *peerpb.ExchangeResponse) keeping {
	k := keeping{stay: resp.GetStay(), stopsAt: time.UnixMilli(resp.GetStopsAtMilli()), id: peer.ID()}
	if k.stay == peerpb.Stay_STAY_UNSTATED {
		k.stay = peerpb.Stay_STAY_HANDED_OVER
		if peer.State() == pond.InstanceLive {
			k.stay = peerpb.Stay_STAY_RUNS_ON
		}
	}
	return k
}

// outlasts reports whether the instance may take over the crashes of another one that shuts down. Of those that shut down together all
// agree on the order, so that no two rely on each other and the last one stays.
func (k keeping) outlasts(other keeping) bool {
	switch k.stay {
	case peerpb.Stay_STAY_RUNS_ON:
		return true
	case peerpb.Stay_STAY_STOPS:
		return cmp.Or(cmp.Compare(k.stopsAt.UnixMilli(), other.stopsAt.UnixMilli()), cmp.Compare(k.id, other.id)) > 0
	default:
		return false
	}
}

// HandOver is called when the instance is told to stop. It returns when another one keeps what this one knows of crashes: one that runs on, or
// of those that stop one that stops later. If all instances stop together, the last one so waits for the first that has started
// again. HandOver returns at stopsAt at the latest, and at once if no other instance has been known since the start.
func (g *Guard) HandOver(ctx context.Context, stopsAt time.Time) {
	if g.options.Disabled {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, stopsAt)
	defer cancel()
	own := keeping{stay: peerpb.Stay_STAY_STOPS, stopsAt: stopsAt, id: g.options.Self}
	g.mu.Lock()
	g.keeping = own
	g.mu.Unlock()
	for {
		messages, revision := g.messages()
		keeper, found := g.findKeeper(ctx, own, messages)
		if (found || len(messages) == 0 || !g.hasMet()) && g.endKeeping(revision) {
			if found {
				g.options.Log.WithFields(logrus.Fields{logs.Event: "crashesHandedOver", logs.Peer: keeper, "crashes": len(messages)}).
					Info("another instance keeps what this one knows of crashes")
			}
			return
		}
		// With a fixed pause, two instances that ask each other could disturb each other's rounds until both stop.
		timer := time.NewTimer(handOverInterval/2 + rand.N(handOverInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			g.options.Log.WithFields(logrus.Fields{logs.Event: "crashesNotHandedOver", "crashes": len(messages)}).
				Warn("no other instance keeps what this one knows of crashes")
			return
		case <-timer.C:
		}
	}
}

// findKeeper sends crashes to some of the other instances and returns one of them that keeps them.
func (g *Guard) findKeeper(ctx context.Context, own keeping, crashes []*peerpb.EngineCrash) (keeper pond.InstanceID, found bool) {
	if len(crashes) == 0 {
		return "", false
	}
	peers := g.peersFrom(0)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b pond.Instance) int { return cmp.Compare(a.State(), b.State()) }) // Live ones first.
	peers = peers[:min(len(peers), handOverPeers)]
	keepings := make([]keeping, len(peers))
	var group errgroup.Group
	for i, peer := range peers {
		group.Go(func() error {
			resp, err := g.exchange(ctx, peer.PeerAddress(), crashes, true)
			if err == nil {
				keepings[i] = keepingOf(peer, resp)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		g.options.Log.WithError(err).WithField(logs.Event, "crashNotTold").Info("an instance could not be told about a crash")
	}
	for _, k := range keepings {
		if k.outlasts(own) {
			return k.id, true
		}
	}
	return "", false
}

func (g *Guard) hasMet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.met
}

// endKeeping records that another instance has taken over, unless the table has changed since a revision or an instance was told meanwhile
// that this one keeps its crashes: that one may be the keeper that was found.
func (g *Guard) endKeeping(revision int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.revision != revision {
		return false
	}
	g.keeping.stay = peerpb.Stay_STAY_HANDED_OVER
	return true
}
