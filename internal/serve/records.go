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
	// readerRankKey is the key by which the instances of a region are ranked as readers of the store.
	readerRankKey = "records"

	// treeFanOut is the maximum number of followers of an instance, which pull from it, in the tree by which records
	// spread through a region. A configuration of 1,300 routes has 26 KB when compressed, so four copies take 0.08 s
	// over a link of 10 Mbit/s. 350 instances are reached in five steps.
	treeFanOut = 4

	// topRankedSources is the number of highest ranked instances that are tried after the parent in the tree.
	topRankedSources = 2

	// compressMinBytes is the total size of values from which a batch is compressed. Changes of three backend servers shrink to less than a
	// half, of ten to a sixth, and a snapshot of 3,000, which has 0.7 MB, to a tenth.
	compressMinBytes = 512

	// fallbackPeers is the number of random instances from any region that are tried after the store.
	fallbackPeers = 3
)

// upstreams returns the sources of published records in the order of preference.
func (i *Instance) upstreams() []feed.Upstream {
	var sources []feed.Upstream
	useSeeds, useOthers := startSources(
		i.settings.IsSeed, len(i.settings.Seeds), i.feed.Revision() > 0, clock.Now().Sub(i.startedAt))
	if useSeeds {
		sources = i.seedSources()
	}
	if useOthers {
		sources = append(sources, i.steadySources()...)
	}
	return sources
}

// steadySources returns the sources after startupWindow: the ranked instances of the region, the store, then random
// instances.
func (i *Instance) steadySources() []feed.Upstream {
	self := i.members.Self().ID()
	ranked := member.Rank(i.members, readerRankKey, member.InRegion(i.settings.Region))
	rank := slices.IndexFunc(ranked, func(instance pond.Instance) bool { return instance.ID() == self })
	var sources []feed.Upstream
	for _, index := range sourceRanks(rank, len(ranked)) {
		sources = append(sources, i.peerSource(ranked[index]))
	}
	sources = append(sources, feed.Upstream{Name: "store", Source: i.store, IsStore: true})
	others := i.members.Instances()
	limit := len(sources) + fallbackPeers
	for _, index := range rand.Perm(len(others)) {
		if len(sources) >= limit {
			break
		}
		if other := others[index]; other.ID() != self {
			sources = append(sources, i.peerSource(other))
		}
	}
	return sources
}

// sourceRanks returns the ranks of the instances that the one of the given rank pulls from, in the order of preference:
// its parent in the tree, then the highest ranked. The instance of rank 0 reads the store. A rank of -1 stands for an
// instance that is not ranked.
func sourceRanks(rank, instances int) []int {
	if rank == 0 {
		return nil
	}
	var ranks []int
	if rank > 0 {
		ranks = append(ranks, (rank-1)/treeFanOut)
	}
	for candidate := range min(topRankedSources, instances) {
		if candidate != rank && !slices.Contains(ranks, candidate) && (rank < 0 || candidate < rank) {
			ranks = append(ranks, candidate)
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
		Source: feed.SourceFunc(func(ctx context.Context, cursor feed.Cursor) (feed.Batch, error) {
			return pull(ctx, i.network, address, cursor)
		}),
	}
}

// pull requests records from another instance. The ages in the response are counted from the time at which the request
// was sent plus the time for which it was held, so that a response delayed in the network does not look recent.
func pull(ctx context.Context, network *peer.Network, address string, cursor feed.Cursor) (feed.Batch, error) {
	requestedAt := clock.Now()
	conn := network.Conn(address)
	defer conn.Close()
	req := &peerpb.PullRequest{
		After: cursor.Revision, Era: cursor.Era, Number: cursor.Number, Offered: messagesOf(cursor.Offered),
		OrdersByEra: true, Inquires: cursor.Inquires,
	}
	resp, err := peerpb.NewDRPCRecordsClient(conn).Pull(ctx, req)
	if err != nil {
		return feed.Batch{}, err
	}
	respondedAt := requestedAt.Add(time.Duration(resp.GetHeldMicro()) * time.Microsecond)
	batch := feed.Batch{
		Position: feed.Position{Era: resp.GetEra(), Revision: resp.GetRevision()},
		Number:   resp.GetNumber(), Snapshot: resp.GetSnapshot(), FromInstance: true,
	}
	if age := resp.GetConfirmedAgeMicro(); age >= 0 {
		batch.ConfirmedAt = respondedAt.Add(-time.Duration(age) * time.Microsecond)
	}
	if age := resp.GetDisturbedAgeMicro(); age >= 0 {
		batch.StoreOutageAt = respondedAt.Add(-time.Duration(age) * time.Microsecond)
	}
	if age := resp.GetStoreFailedAgeMicro(); age > 0 {
		batch.StoreFailedAt = respondedAt.Add(-time.Duration(age) * time.Microsecond)
	}
	records, err := decodeRecords(resp)
	if err != nil {
		return feed.Batch{}, err
	}
	batch.Records = recordsOf(records)
	return batch, nil
}

func recordsOf(messages []*peerpb.PublishedRecord) []feed.Record {
	records := make([]feed.Record, 0, len(messages))
	for _, message := range messages {
		records = append(records, feed.Record{
			Key: message.GetKey(), Value: message.GetValue(), Revision: message.GetRevision(), Deleted: message.GetDeleted(),
		})
	}
	return records
}

func messagesOf(records []feed.Record) []*peerpb.PublishedRecord {
	messages := make([]*peerpb.PublishedRecord, 0, len(records))
	for _, record := range records {
		messages = append(messages, &peerpb.PublishedRecord{
			Key: record.Key, Value: record.Value, Revision: record.Revision, Deleted: record.Deleted,
		})
	}
	return messages
}

// errStarting is returned to followers while the instance pulls from the seeds.
var errStarting = errors.New("the instance has just started and follows others itself")

// recordServer serves published records to followers.
type recordServer struct {
	feed     *feed.Feed
	starting func() bool

	mu sync.Mutex
	// compressed caches the compressed records of the batch compressedBatch, which is sent to each follower.
	compressed      []byte
	compressedBatch batchKey
}

// batchKey identifies the records of a batch for a follower.
type batchKey struct {
	after, current         feed.Position
	followerNumber, number uint64
	inquires               bool
}

func newBatchKey(cursor feed.Cursor, batch feed.Batch) batchKey {
	return batchKey{
		after: cursor.Position, current: batch.Position, followerNumber: cursor.Number, number: batch.Number, inquires: cursor.Inquires,
	}
}

// addRecords adds the records of a batch to a response, compressed if they are large.
func (s *recordServer) addRecords(resp *peerpb.PullResponse, batch feed.Batch, key batchKey) error {
	size := 0
	for _, record := range batch.Records {
		size += len(record.Value)
	}
	records := messagesOf(batch.Records)
	if size < compressMinBytes {
		resp.Records = records
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compressed == nil || s.compressedBatch != key {
		compressed, err := compressRecords(records)
		if err != nil {
			return err
		}
		s.compressed, s.compressedBatch = compressed, key
	}
	resp.Packed = s.compressed
	return nil
}

// Pull implements peerpb.DRPCRecordsServer.
func (s *recordServer) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	if s.starting() {
		return nil, errStarting
	}
	receivedAt := clock.Now()
	cursor := feed.Cursor{
		Position: feed.Position{Era: req.GetEra(), Revision: req.GetAfter()}, Number: req.GetNumber(), Offered: recordsOf(req.GetOffered()),
		Inquires: req.GetInquires(),
	}
	if !req.GetOrdersByEra() {
		// A follower of a former release would get a snapshot without end.
		cursor.Era, cursor.Number = s.feed.Era(), s.feed.Number()
	}
	batch := s.feed.Serve(ctx, cursor)
	now := clock.Now()
	resp := &peerpb.PullResponse{
		Revision:          batch.Revision,
		Era:               batch.Era,
		Number:            batch.Number,
		Snapshot:          batch.Snapshot,
		HeldMicro:         now.Sub(receivedAt).Microseconds(),
		ConfirmedAgeMicro: ageMicro(batch.ConfirmedAt, now),
		DisturbedAgeMicro: ageMicro(batch.StoreOutageAt, now),

		StoreFailedAgeMicro: ageMicro(batch.StoreFailedAt, now),
	}
	return resp, s.addRecords(resp, batch, newBatchKey(cursor, batch))
}

func ageMicro(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Microseconds()
}
