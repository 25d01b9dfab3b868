package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/member"
)

// followList reads the instance list at jittered intervals until ctx ends. After a failed read the last list stays in
// effect.
func (w *Watch) followList(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		entries, err := w.platform.readList(ctx)
		if err != nil {
			w.options.Logger.WithError(err).WithField(logs.Event, "listNotRead").Warn("cannot read the instance list; the last one stays in effect")
		} else {
			w.applyList(entries)
		}
		timer.Reset(listInterval + rand.N(listJitter))
	}
}

func (w *Watch) applyList(entries []listEntry) {
	seeds, backends := splitList(entries)
	w.options.Member.AddSeeds(seeds...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends.SetList(backends)
	w.listRead = time.Now()
}

// splitList separates the peer addresses of entry instances, which become seeds, from the states of backend servers.
func splitList(entries []listEntry) (seeds []string, backends map[string]member.BackendState) {
	backends = make(map[string]member.BackendState)
	for _, e := range entries {
		switch {
		case e.Kind == kindInstance && e.PeerAddress != "":
			seeds = append(seeds, e.PeerAddress)
		case e.Kind != kindInstance:
			backends[e.Name] = listedState(e.State)
		}
	}
	return seeds, backends
}

// listedState maps a state in the instance list. An unknown one counts as leaving, because work sent to a server that
// is shutting down may be lost, while work sent to another server is not.
func listedState(state string) member.BackendState {
	switch state {
	case stateLive:
		return member.BackendAccepting
	case "gone":
		return member.BackendGone
	default:
		return member.BackendLeaving
	}
}
