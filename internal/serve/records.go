package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// readerKey ranks the instances of a region as readers of the store.
	readerKey = "records"

	// treeWidth is the number of instances that follow one. A configuration of 1,300 routes has 26 KB when compressed, so
	// that four copies take 0.08 s over a link of 10 Mbit/s, and 350 instances are reached in five steps.
	treeWidth = 4

	// firstReaders is the number of highest ranked instances that are asked after the one that is followed.
	firstReaders = 2

	// packFrom is the size of values from which a batch is compressed. A change of one backend server is smaller; a snapshot
	// of 3,000 of them has 0.7 MB and shrinks to a tenth.
	packFrom = 4 << 10

	// fallbackPeers is the number of other instances, from any region, that are asked if the store does not answer.
	fallbackPeers = 3
)

// upstreams returns the sources of published records: the readers of the region, the store, then any other instances.
func (i *Instance) upstreams() []feed.Upstream {
	var sources []feed.Upstream
	seeds, others := startSources(i.settings.Seed, len(i.settings.Seeds), i.feed.Revision() > 0, clock.Now().Sub(i.startedAt))
	if seeds {
		sources = i.seedSources()
	}
	if others {
		sources = append(sources, i.settledSources()...)
	}
	return sources
}

// settledSources returns the sources of an instance that knows the others.
func (i *Instance) settledSources() []feed.Upstream {
	self := i.members.Self().ID()
	ranked := member.Rank(i.members, readerKey, member.InRegion(i.settings.Region))
	rank := slices.IndexFunc(ranked, func(instance pond.Instance) bool { return instance.ID() == self })
	var sources []feed.Upstream
	for _, at := range followed(rank, len(ranked)) {
		sources = append(sources, i.peerSource(ranked[at]))
	}
	sources = append(sources, feed.Upstream{Name: "store", Source: i.ports.Store, IsStore: true})
	others := i.members.Instances()
	limit := len(sources) + fallbackPeers
	for _, at := range rand.Perm(len(others)) {
		if len(sources) >= limit {
			break
		}
		if other := others[at]; other.ID() != self {
			sources = append(sources, i.peerSource(other))
		}
	}
	return sources
}

// followed returns the ranks of the instances that the one of the given rank follows, the first choice first: its parent
// in the tree, then the first ranked. The first one of all follows none.
func followed(rank, instances int) []int {
	if rank == 0 {
		return nil
	}
	var ranks []int
	if rank > 0 {
		ranks = append(ranks, (rank-1)/treeWidth)
	}
	for first := range min(firstReaders, instances) {
		if first != rank && !slices.Contains(ranks, first) && (rank < 0 || first < rank) {
			ranks = append(ranks, first)
		}
	}
	return ranks
}

func (i *Instance) peerSource(instance pond.Instance) feed.Upstream {
	return i.addressSource("peer/"+string(instance.ID()), instance.PeerAddress())
}

func (i *Instance) addressSource(name, address string) feed.Upstream {
	return feed.Upstream{
		Name: name,
		Source: feed.SourceFunc(func(ctx context.Context, after uint64) (feed.Batch, error) {
			return pull(ctx, i.network, address, after)
		}),
	}
}

// pull asks another instance for records. The ages in its answer are counted from the time of the question plus the time
// for which it was held, so that an answer that was delayed on its way does not look recent.
func pull(ctx context.Context, network *peer.Network, address string, after uint64) (feed.Batch, error) {
	asked := clock.Now()
	conn := network.Conn(address)
	defer conn.Close()
	resp, err := peerpb.NewDRPCRecordsClient(conn).Pull(ctx, &peerpb.PullRequest{After: after})
	if err != nil {
		return feed.Batch{}, err
	}
	answered := asked.Add(time.Duration(resp.GetHeldMicro()) * time.Microsecond)
	batch := feed.Batch{Revision: resp.GetRevision(), Snapshot: resp.GetSnapshot()}
	if age := resp.GetConfirmedAgeMicro(); age >= 0 {
		batch.ConfirmedAt = answered.Add(-time.Duration(age) * time.Microsecond)
	}
	if age := resp.GetDisturbedAgeMicro(); age >= 0 {
		batch.StoreOutageAt = answered.Add(-time.Duration(age) * time.Microsecond)
	}
	records, err := recordsOf(resp)
	if err != nil {
		return feed.Batch{}, err
	}
	for _, record := range records {
		batch.Records = append(batch.Records, feed.Record{
			Key: record.GetKey(), Value: record.GetValue(), Revision: record.GetRevision(), Deleted: record.GetDeleted(),
		})
	}
	return batch, nil
}

// errStarting is the answer to followers of an instance that follows the seeds itself.
var errStarting = errors.New("the instance has just started and follows others itself")

// recordServer answers followers.
type recordServer struct {
	feed     *feed.Feed
	starting func() bool

	mu sync.Mutex
	// packed is the compressed form of the batch from packedAfter to packedRevision, which goes to each follower.
	packed                      []byte
	packedAfter, packedRevision uint64
}

// fill adds the records of a batch to an answer.
func (s *recordServer) fill(resp *peerpb.PullResponse, batch feed.Batch, after uint64) error {
	size := 0
	records := make([]*peerpb.PublishedRecord, 0, len(batch.Records))
	for _, record := range batch.Records {
		size += len(record.Value)
		records = append(records, &peerpb.PublishedRecord{
			Key: record.Key, Value: record.Value, Revision: record.Revision, Deleted: record.Deleted,
		})
	}
	if size < packFrom {
		resp.Records = records
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed == nil || s.packedAfter != after || s.packedRevision != batch.Revision {
		packed, err := pack(records)
		if err != nil {
			return err
		}
		s.packed, s.packedAfter, s.packedRevision = packed, after, batch.Revision
	}
	resp.Packed = s.packed
	return nil
}

// Pull implements peerpb.DRPCRecordsServer.
func (s *recordServer) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	if s.starting() {
		return nil, errStarting
	}
	arrived := clock.Now()
	batch := s.feed.Serve(ctx, req.GetAfter())
	now := clock.Now()
	resp := &peerpb.PullResponse{
		Revision:          batch.Revision,
		Snapshot:          batch.Snapshot,
		HeldMicro:         now.Sub(arrived).Microseconds(),
		ConfirmedAgeMicro: ageMicro(batch.ConfirmedAt, now),
		DisturbedAgeMicro: ageMicro(batch.StoreOutageAt, now),
	}
	return resp, s.fill(resp, batch, req.GetAfter())
}

func ageMicro(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Microseconds()
}
