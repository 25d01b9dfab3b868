package serve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// peersInterval is the time between two looks at the table of instances for the log.
const peersInterval = 500 * time.Millisecond

// logPeers logs each change of what is believed about other instances until ctx ends.
func (i *Instance) logPeers(ctx context.Context) error {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	known := make(map[pond.InstanceID]pond.InstanceState)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		known = i.logPeerChanges(known)
	}
}

// logPeerChanges logs the differences to the former states and returns the present ones.
func (i *Instance) logPeerChanges(former map[pond.InstanceID]pond.InstanceState) map[pond.InstanceID]pond.InstanceState {
	present := make(map[pond.InstanceID]pond.InstanceState, len(former))
	for _, instance := range i.members.Instances() {
		if instance.ID() != i.members.Self().ID() {
			present[instance.ID()] = instance.State()
		}
	}
	for id, state := range present {
		if former[id] != state {
			i.logPeer(id, former[id], state)
		}
	}
	for id, state := range former {
		if _, listed := present[id]; !listed {
			i.logPeer(id, state, pond.InstanceGone)
		}
	}
	return present
}

func (i *Instance) logPeer(id pond.InstanceID, former, present pond.InstanceState) {
	i.log.WithFields(logrus.Fields{
		logs.Event: "peerChanged", logs.Peer: id, logs.State: present.String(), logs.Former: former.String(),
	}).Info("belief about another instance changed")
}
