package serve

import (
	"context"
	"math/rand/v2"
	"time"

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

	// preferredReaders is the number of higher ranked instances that an instance follows before it reads the store.
	preferredReaders = 2

	// fallbackPeers is the number of other instances, from any region, that are asked if the store does not answer.
	fallbackPeers = 3
)

// upstreams returns the sources of published records: the readers of the region, the store, then any other instances.
func (i *Instance) upstreams() []feed.Upstream {
	self := i.members.Self().ID()
	ranked := member.Rank(i.members, readerKey, member.InRegion(i.settings.Region))
	var sources []feed.Upstream
	for _, instance := range ranked[:min(preferredReaders, len(ranked))] {
		if instance.ID() == self {
			break
		}
		sources = append(sources, i.peerSource(instance))
	}
	sources = append(sources, feed.Upstream{Name: "store", Source: i.ports.Store, Store: true})
	others := i.members.Instances()
	for _, at := range rand.Perm(len(others)) {
		if len(sources) >= preferredReaders+1+fallbackPeers {
			break
		}
		if other := others[at]; other.ID() != self {
			sources = append(sources, i.peerSource(other))
		}
	}
	return sources
}

func (i *Instance) peerSource(instance pond.Instance) feed.Upstream {
	address := instance.PeerAddress()
	return feed.Upstream{
		Name: "peer/" + string(instance.ID()),
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
		batch.DisturbedAt = answered.Add(-time.Duration(age) * time.Microsecond)
	}
	for _, record := range resp.GetRecords() {
		batch.Records = append(batch.Records, feed.Record{
			Key: record.GetKey(), Value: record.GetValue(), Revision: record.GetRevision(), Deleted: record.GetDeleted(),
		})
	}
	return batch, nil
}

// recordServer answers followers.
type recordServer struct{ feed *feed.Feed }

// Pull implements peerpb.DRPCRecordsServer.
func (s *recordServer) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	arrived := clock.Now()
	batch := s.feed.Serve(ctx, req.GetAfter())
	now := clock.Now()
	resp := &peerpb.PullResponse{
		Revision:          batch.Revision,
		Snapshot:          batch.Snapshot,
		HeldMicro:         now.Sub(arrived).Microseconds(),
		ConfirmedAgeMicro: ageMicro(batch.ConfirmedAt, now),
		DisturbedAgeMicro: ageMicro(batch.DisturbedAt, now),
	}
	for _, record := range batch.Records {
		resp.Records = append(resp.Records, &peerpb.PublishedRecord{
			Key: record.Key, Value: record.Value, Revision: record.Revision, Deleted: record.Deleted,
		})
	}
	return resp, nil
}

func ageMicro(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Microseconds()
}
