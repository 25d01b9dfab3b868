package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

var benchSizes = []int{10, 50, 150, 350}

// BenchmarkControl runs real instances over loopback sockets and measures the CPU time and datagram bytes of one of
// them in one second. One iteration is one second; use -benchtime=30x to cover one full synchronisation of each
// instance. Finally a changed manifest of 1 MB is published; ms/change is the time until all instances have adopted it.
func BenchmarkControl(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkControl(b, n) })
	}
}

func benchmarkControl(b *testing.B, n int) {
	service := &httpService{changed: make(chan struct{})}
	server := httptest.NewServer(service)
	defer server.Close()
	client := &http.Client{Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	adopted := make(chan spec.Version, 4*n)
	service.publish(sizedBody(1, "first", largeManifestBackends))
	var seeds []string
	var members []*member.Member
	for i := range n {
		address, m := startInstance(b, ctx, &running, client, server.URL, i, seeds[:min(len(seeds), 8)], adopted)
		seeds, members = append(seeds, address), append(members, m)
	}
	awaitVersion(adopted, 1, n)
	for !converged(members, n) {
		time.Sleep(TickInterval)
	}
	time.Sleep(5 * time.Second) // The bursts after the start end before the measurement.
	sentBefore, cpuBefore := sentBytes(members), processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	seconds := float64(b.N) * float64(n)
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/seconds, "cpu-µs/instance-s")
	b.ReportMetric(float64(sentBytes(members)-sentBefore)/seconds, "datagram-B/instance-s")
	cpuBefore = processorTime()
	start := time.Now()
	service.publish(sizedBody(2, "second", largeManifestBackends))
	awaitVersion(adopted, 2, n)
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/change")
	b.ReportMetric(float64((processorTime()-cpuBefore).Milliseconds())/float64(n), "cpu-ms/change")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRound measures the bytes that an instance sends in one second of virtual time, including full
// synchronisations.
func BenchmarkRound(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := startedCluster(n)
			c.run(4 * time.Minute) // After this the updates from the start are no longer sent.
			before := c.sentBytes()
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(float64(c.sentBytes()-before)/float64(n)/float64(b.N), "B/instance-s")
		})
	}
}

// BenchmarkChange measures in virtual time how one manifest change spreads: milliseconds and probe rounds of one second
// until the last instance has adopted it, and datagram bytes and fetches for each instance.
func BenchmarkChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := startedCluster(n)
			var slowest, total time.Duration
			var sent, fetched int
			number := uint64(1)
			for b.Loop() {
				number++
				sentBefore, fetchedBefore, start := c.sentBytes(), c.fetches(), c.now
				c.service.publish(number, "change")
				c.run(adoptionLimit)
				sent += c.sentBytes() - sentBefore
				fetched += c.fetches() - fetchedBefore
				last := c.lastAdoption().Sub(start)
				total += last
				slowest = max(slowest, last)
			}
			changes := float64(b.N)
			b.ReportMetric(total.Seconds()*1000/changes, "mean-ms")
			b.ReportMetric(slowest.Seconds()*1000, "max-ms")
			b.ReportMetric(total.Seconds()/changes, "rounds")
			b.ReportMetric(float64(sent)/changes/float64(n), "B/instance-in-3s")
			b.ReportMetric(float64(fetched)/changes/float64(n), "fetches/instance")
		})
	}
}

const largeManifestBackends = 4500

// BenchmarkBody measures compression with and without the base as dictionary, decompression and decoding of a manifest
// of 1 MB with a small change.
func BenchmarkBody(b *testing.B) {
	base, body := sizedBody(1, "first", largeManifestBackends), sizedBody(2, "second", largeManifestBackends)
	for _, dictionary := range [][]byte{nil, base} {
		name := map[bool]string{true: "plain", false: "base"}[dictionary == nil]
		compressed, err := compress(body, dictionary)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("compress/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = compress(body, dictionary)
			}
			b.ReportMetric(float64(len(compressed)), "B")
			b.ReportMetric(float64(len(body)), "body-B")
		})
		b.Run("decompress/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = decompress(compressed, dictionary)
			}
		})
	}
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = spec.Decode(body, 2)
		}
	})
}

// BenchmarkTables measures the memory of one instance's membership table with 600 notices about backend servers.
func BenchmarkTables(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			source := startedCluster(n).nodes[0].machine
			req := &peerpb.SyncMembersRequest{}
			full := source.SyncRequest()
			for _, e := range full.GetMembers() {
				e.PeerAddress, e.HttpAddress = "127.100.100.100:7000", "127.100.100.100:7001"
				e.DataCentre, e.Region = "norte-1", "norte"
				req.Members = append(req.Members, e)
			}
			for i := range 600 {
				req.Backends = append(req.Backends, &peerpb.BackendNotice{
					Backend: fmt.Sprintf("letter-%d", i), State: uint32(member.BackendLeaving), Origin: "entry-000", Serial: 1,
				})
			}
			before := heapBytes()
			self := pond.NewInstance(pond.InstanceRef{ID: "self"}, pond.InstanceLive, "", "127.0.0.1:1", "norte-1", "norte")
			var machines []*member.Machine
			for b.Loop() {
				m := member.NewMachine(self, fixedRandom(), time.Unix(0, 0))
				m.HandleSync(time.Unix(0, 0), req)
				machines = append(machines, m)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(machines)), "B/table")
			runtime.KeepAlive(machines)
			runtime.KeepAlive(req)
		})
	}
}

func fixedRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func startedCluster(n int) *cluster {
	c := newCluster(n, 9)
	c.service.publish(1, "first")
	c.startAll()
	c.run(2 * quietPeriod)
	return c
}

func (c *cluster) sentBytes() (total int) {
	for _, n := range c.nodes {
		total += n.sent
	}
	return total
}

func (c *cluster) fetches() (total int) {
	for _, n := range c.nodes {
		total += n.fetched
	}
	return total
}

func (c *cluster) lastAdoption() (last time.Time) {
	for _, n := range c.nodes {
		last = latest(last, n.adoptedAt)
	}
	return last
}

func awaitVersion(adopted <-chan spec.Version, number uint64, n int) {
	for n > 0 {
		if v := <-adopted; v.Number == number {
			n--
		}
	}
}

func converged(members []*member.Member, n int) bool {
	for _, m := range members {
		if len(m.Instances()) != n {
			return false
		}
	}
	return true
}

func sentBytes(members []*member.Member) (total uint64) {
	for _, m := range members {
		total += m.Snapshot().SentBytes
	}
	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
