package serve

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

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

	// maxBatchBytes bounds a decompressed batch: the store's values have up to 1 MB.
	maxBatchBytes = 16 << 20

	// startTime is the time from the start in which an instance follows the seeds. Then it knows most other instances: a
	// member synchronises its table 0.35 s after it was first answered.
	startTime = 1500 * time.Millisecond

	// farRoundTrip is the time of a round trip from which the store counts as far: data centres of one region are 1 to 3 ms
	// apart, regions 60 ms.
	farRoundTrip = 20 * time.Millisecond

	// distanceAge is the time for which a told distance counts. The first ones are measured while processes start, and come
	// out too long.
	distanceAge = 5 * time.Second

	// maxDistances bounds the remembered distances. There are three regions, and one instance of each is asked.
	maxDistances = 64

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

// startSources reports whether an instance asks the seeds for records, and whether it asks others after them.
//
// The load pattern: all instances start at once, and each knows nobody. Each would take itself for the reader of its
// region and read the store. So they follow the seeds, which read the store, until they know each other; without an answer
// in time they do without the seeds.
func startSources(seed bool, seeds int, hasSnapshot bool, sinceStart time.Duration) (fromSeeds, fromOthers bool) {
	switch {
	case seed || seeds == 0 || sinceStart > startTime:
		return false, true
	case hasSnapshot:
		return true, true
	case sinceStart <= feed.StartLimit:
		return true, false
	default:
		return false, true
	}
}

// seedSources returns the seeds in an order of this instance's own, so that they share the followers.
func (i *Instance) seedSources() []feed.Upstream {
	sources := make([]feed.Upstream, 0, len(i.settings.Seeds))
	for at := range i.settings.Seeds {
		address := i.settings.Seeds[(at+i.firstSeed)%len(i.settings.Seeds)]
		source := i.addressSource("seed/"+address, address)
		source.Starting = true
		sources = append(sources, source)
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
	if rank == 0 {
		sources = append(sources, i.nearerSources()...)
	}
	sources = append(sources, feed.Upstream{Name: "store", Source: i.ports.Store, Store: true})
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

// nearerSources returns the first ranked instances of other regions if this one is far from the store and they are not, so
// that the store is read by its own region alone. An instance whose distance is not known is asked.
func (i *Instance) nearerSources() []feed.Upstream {
	own, measured := i.ports.Store.RoundTrip()
	if !measured || own < farRoundTrip {
		return nil
	}
	var sources []feed.Upstream
	for region := range i.settings.Regions {
		if region == i.settings.Region {
			continue
		}
		ranked := member.Rank(i.members, readerKey, member.InRegion(region))
		if len(ranked) > 0 && i.distances.nearer(ranked[0].PeerAddress(), own, clock.Now()) {
			sources = append(sources, i.peerSource(ranked[0]))
		}
	}
	return sources
}

// distances remembers how far other instances are from the store, by peer address.
type distances struct {
	mu   sync.Mutex
	told map[string]toldDistance
}

// toldDistance is the round trip to the store that an instance told, zero for none.
type toldDistance struct {
	roundTrip time.Duration
	at        time.Time
}

// note remembers the distance that an instance told, zero for none.
func (d *distances) note(address string, roundTrip time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told == nil || len(d.told) >= maxDistances {
		d.told = make(map[string]toldDistance)
	}
	d.told[address] = toldDistance{roundTrip: roundTrip, at: now}
}

// nearer reports whether an instance is much nearer to the store than own, as far as is known. Following only those, no two
// instances follow each other.
func (d *distances) nearer(address string, own time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	told, known := d.told[address]
	return !known || now.Sub(told.at) > distanceAge || told.roundTrip > 0 && told.roundTrip < own/2
}

func (i *Instance) peerSource(instance pond.Instance) feed.Upstream {
	return i.addressSource("peer/"+string(instance.ID()), instance.PeerAddress())
}

func (i *Instance) addressSource(name, address string) feed.Upstream {
	return feed.Upstream{
		Name: name,
		Source: feed.SourceFunc(func(ctx context.Context, after uint64) (feed.Batch, error) {
			batch, roundTrip, err := pull(ctx, i.network, address, after)
			if err == nil {
				i.distances.note(address, roundTrip, clock.Now())
			}
			return batch, err
		}),
	}
}

// pull asks another instance for records. The ages in its answer are counted from the time of the question plus the time
// for which it was held, so that an answer that was delayed on its way does not look recent.
func pull(ctx context.Context, network *peer.Network, address string, after uint64) (feed.Batch, time.Duration, error) {
	asked := clock.Now()
	conn := network.Conn(address)
	defer conn.Close()
	resp, err := peerpb.NewDRPCRecordsClient(conn).Pull(ctx, &peerpb.PullRequest{After: after})
	if err != nil {
		return feed.Batch{}, 0, err
	}
	answered := asked.Add(time.Duration(resp.GetHeldMicro()) * time.Microsecond)
	batch := feed.Batch{Revision: resp.GetRevision(), Snapshot: resp.GetSnapshot()}
	if age := resp.GetConfirmedAgeMicro(); age >= 0 {
		batch.ConfirmedAt = answered.Add(-time.Duration(age) * time.Microsecond)
	}
	if age := resp.GetDisturbedAgeMicro(); age >= 0 {
		batch.DisturbedAt = answered.Add(-time.Duration(age) * time.Microsecond)
	}
	records, err := recordsOf(resp)
	if err != nil {
		return feed.Batch{}, 0, err
	}
	for _, record := range records {
		batch.Records = append(batch.Records, feed.Record{
			Key: record.GetKey(), Value: record.GetValue(), Revision: record.GetRevision(), Deleted: record.GetDeleted(),
		})
	}
	return batch, time.Duration(resp.GetStoreRoundTripMicro()) * time.Microsecond, nil
}

// recordsOf returns the records of an answer.
func recordsOf(resp *peerpb.PullResponse) ([]*peerpb.PublishedRecord, error) {
	if len(resp.GetPacked()) == 0 {
		return resp.GetRecords(), nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	encoded, err := io.ReadAll(io.LimitReader(reader, maxBatchBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	var records peerpb.PublishedRecords
	if err := proto.Unmarshal(encoded, &records); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	return records.GetRecords(), nil
}

// recordServer answers followers.
type recordServer struct {
	feed  *feed.Feed
	store Store

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

func pack(records []*peerpb.PublishedRecord) ([]byte, error) {
	encoded, err := proto.Marshal(&peerpb.PublishedRecords{Records: records})
	if err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return buffer.Bytes(), nil
}

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
	if roundTrip, measured := s.store.RoundTrip(); measured {
		resp.StoreRoundTripMicro = max(roundTrip.Microseconds(), 1)
	}
	return resp, s.fill(resp, batch, req.GetAfter())
}

func ageMicro(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Microseconds()
}
