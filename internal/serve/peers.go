package serve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// peerLogInterval is the time between two checks of the membership table for changes to log.
const peerLogInterval = 500 * time.Millisecond

// logPeers logs the changes of the states of other instances until ctx ends.
func (i *Instance) logPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerLogInterval)
	defer ticker.Stop()
	states := make(map[pond.InstanceID]pond.InstanceState)
	releases := make(map[pond.InstanceID]member.Release)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		i.seenShare()
		states = i.logPeerChanges(states)
		current := i.members.Releases()
		i.logReleases(releases, current)
		releases = current
	}
}

// logPeerChanges logs the differences from the previous states and returns the current ones.
func (i *Instance) logPeerChanges(previous map[pond.InstanceID]pond.InstanceState) map[pond.InstanceID]pond.InstanceState {
	current := make(map[pond.InstanceID]pond.InstanceState, len(previous))
	for _, instance := range i.members.Instances() {
		if instance.ID() != i.members.Self().ID() {
			current[instance.ID()] = instance.State()
		}
	}
	for id, state := range current {
		if previous[id] != state {
			i.logPeer(id, previous[id], state)
		}
	}
	for id, state := range previous {
		if _, listed := current[id]; !listed {
			i.logPeer(id, state, pond.InstanceGone)
		}
	}
	return current
}

func (i *Instance) logPeer(id pond.InstanceID, previous, current pond.InstanceState) {
	i.log.WithFields(logrus.Fields{
		logs.Event: "peerChanged", logs.Peer: id, logs.State: current.String(), logs.Former: previous.String(),
	}).Info("state of another instance changed")
}

// logReleases logs the differences between two views of the releases of the other instances.
func (i *Instance) logReleases(previous, current map[pond.InstanceID]member.Release) {
	for id, release := range current {
		former, changed := releaseChange(previous, id, release)
		if !changed {
			continue
		}
		entry := i.log.WithFields(logrus.Fields{
			logs.Event: "peerRelease", logs.Peer: id, "release": release.Number, logs.Former: former, "own": peerpb.Release,
		})
		if release.Unsteady {
			entry.Warn("another instance states another release without a restart; it is taken for the oldest supported one")
			continue
		}
		entry.Info("release of another instance")
	}
}

// releaseChange returns the former release of an instance and whether the current one is to be logged. An instance that was not known is
// expected to be of the same release as this one.
func releaseChange(previous map[pond.InstanceID]member.Release, id pond.InstanceID, current member.Release) (former uint32, changed bool) {
	before, known := previous[id]
	if !known {
		before = member.Release{Number: peerpb.Release, Heard: true}
	}
	return before.Number, before != current
}
