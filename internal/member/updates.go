package member

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

const (
	// sealOverheadBytes is the size of the AES-GCM nonce and tag of a datagram.
	sealOverheadBytes = 28
	// maxPlaintextBytes is the largest encoded datagram before encryption.
	maxPlaintextBytes = peer.MaxDatagramBytes - sealOverheadBytes
	// fieldOverheadBytes bounds the tag and length that protobuf puts before an embedded message that fits a datagram.
	fieldOverheadBytes = 3
	// maxQueuedUpdates bounds the update queue. Older updates are dropped and reach others by full synchronisation.
	maxQueuedUpdates = 1024
	// retransmitFactor times the binary logarithm of the number of members is the number of sends of one update. At a
	// factor of two and a datagram loss of one in ten, less than one update in a thousand does not reach all members.
	retransmitFactor = 2
)

// update is a queued message that is piggybacked on datagrams to other members.
type update struct {
	key            string
	member         *peerpb.Member
	backend        *peerpb.BackendNotice
	bytes          int
	remainingSends int
}

// updateQueue holds the updates with remaining sends, the most recent last.
type updateQueue struct{ updates []update }

// add queues an update in place of an earlier one with the same key.
func (q *updateQueue) add(u update) {
	q.updates = slices.DeleteFunc(q.updates, func(old update) bool { return old.key == u.key })
	if u.member != nil {
		u.bytes = proto.Size(u.member) + fieldOverheadBytes
	} else {
		u.bytes = proto.Size(u.backend) + fieldOverheadBytes
	}
	if len(q.updates) >= maxQueuedUpdates {
		q.updates = slices.Delete(q.updates, 0, 1)
	}
	q.updates = append(q.updates, u)
}

// fill appends updates to the datagram, the most recent first, up to the size limit.
func (q *updateQueue) fill(d *peerpb.Datagram) {
	if len(q.updates) == 0 {
		return
	}
	available := maxPlaintextBytes - proto.Size(d)
	exhausted := false
	for i := len(q.updates) - 1; i >= 0; i-- {
		u := &q.updates[i]
		if u.bytes > available {
			break
		}
		available -= u.bytes
		appendUpdate(d, u)
		u.remainingSends--
		exhausted = exhausted || u.remainingSends <= 0
	}
	if exhausted {
		q.updates = slices.DeleteFunc(q.updates, func(u update) bool { return u.remainingSends <= 0 })
	}
}

func appendUpdate(d *peerpb.Datagram, u *update) {
	if u.member != nil {
		d.Members = append(d.Members, u.member)
		return
	}
	d.Backends = append(d.Backends, u.backend)
}

// retransmitLimit returns the number of sends of one update among n members.
func retransmitLimit(n int) int {
	return max(4, int(math.Ceil(retransmitFactor*math.Log2(float64(n+1)))))
}

// urgentRetransmitLimit returns the number of sends of an update that is also pushed. Pushes are added to the regular
// limit, because many of them are lost during a partition and would use up the sends on probes.
func urgentRetransmitLimit(n int) int { return retransmitLimit(n) + pushFanout*(1+pushRepeats) }
