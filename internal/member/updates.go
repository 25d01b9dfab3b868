package member

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

const (
	// sealBytes is what the AES-GCM nonce and tag add to a datagram.
	sealBytes = 28
	// plainBytes is the room for an encoded datagram.
	plainBytes = peer.MaxDatagramBytes - sealBytes
	// fieldBytes bounds the tag and length that protobuf puts before an embedded message of this size.
	fieldBytes = 3
	// maxQueued bounds the update queue. Older updates than that reach others by full synchronisation.
	maxQueued = 1024
	// retransmitFactor times the binary logarithm of the fleet size is the number of sends of one update. Two sends
	// for each doubling leave less than one update in a thousand unspread at a datagram loss of one in ten.
	retransmitFactor = 2
)

// update is a message that waits to be carried by datagrams to other members.
type update struct {
	key     string
	member  *peerpb.Member
	backend *peerpb.BackendNotice
	bytes   int
	left    int
}

// updateQueue holds the updates still to be sent, the most recent last.
type updateQueue struct{ updates []update }

// add queues an update in place of an earlier one with the same key.
func (q *updateQueue) add(u update) {
	q.updates = slices.DeleteFunc(q.updates, func(old update) bool { return old.key == u.key })
	if u.member != nil {
		u.bytes = proto.Size(u.member) + fieldBytes
	} else {
		u.bytes = proto.Size(u.backend) + fieldBytes
	}
	if len(q.updates) >= maxQueued {
		q.updates = slices.Delete(q.updates, 0, 1)
	}
	q.updates = append(q.updates, u)
}

// fill appends updates to the datagram, the most recent first, up to the size limit.
func (q *updateQueue) fill(d *peerpb.Datagram) {
	if len(q.updates) == 0 {
		return
	}
	room := plainBytes - proto.Size(d)
	spent := false
	for i := len(q.updates) - 1; i >= 0; i-- {
		u := &q.updates[i]
		if u.bytes > room {
			break
		}
		room -= u.bytes
		appendUpdate(d, u)
		u.left--
		spent = spent || u.left <= 0
	}
	if spent {
		q.updates = slices.DeleteFunc(q.updates, func(u update) bool { return u.left <= 0 })
	}
}

func appendUpdate(d *peerpb.Datagram, u *update) {
	if u.member != nil {
		d.Members = append(d.Members, u.member)
		return
	}
	d.Backends = append(d.Backends, u.backend)
}

// retransmits returns the number of sends of one update among n members.
func retransmits(n int) int {
	return max(4, int(math.Ceil(retransmitFactor*math.Log2(float64(n+1)))))
}

// urgentRetransmits returns the number of sends of one update that is also pushed. The pushes come in addition, because
// during a partition many of them are lost and would use up the sends on probes.
func urgentRetransmits(n int) int { return retransmits(n) + pushFanout*(1+pushRepeats) }
