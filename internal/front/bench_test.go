package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// startPacedEngine starts an engine that sends tokens one by one, without a pause or with the given gap. If release is
// not nil, the engine waits for it after each token.
func startPacedEngine(b *testing.B, tokens func() int, gap time.Duration, release <-chan struct{}) string {
	b.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generations", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Generation string `json:"generation"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		var ticker *time.Ticker
		if gap > 0 {
			ticker = time.NewTicker(gap)
			defer ticker.Stop()
		}
		length := tokens()
		for offset := range length {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"generation\":%q,\"offset\":%d,\"text\":\" token\"}\n\n", offset, body.Generation, offset)
			_ = control.Flush()
			if ticker != nil {
				<-ticker.C
			}
			if release != nil {
				<-release
			}
		}
		_, _ = fmt.Fprintf(w, "event: done\ndata: {\"generation\":%q,\"tokens\":%d}\n\n", body.Generation, length)
	})
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startEntry serves a Front for the engine and returns the address of the Front.
func startEntry(b *testing.B, address string) string {
	b.Helper()
	options := testOptions(b, 0)
	options.Placer = pond.PlacerFunc(func(context.Context, pond.PlaceRequest) (pond.Placement, error) {
		return stubPlacement(address), nil
	})
	options.Source = &fixedSource{manifest: unlimitedManifest(b)}
	server := NewServer(New(options))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// accessPath is a way to reach the engine: directly, or through an instance.
type accessPath struct {
	name   string
	target string
}

func accessPaths(b *testing.B, address string) []accessPath {
	return []accessPath{
		{name: "direct", target: "http://" + address + "/v1/generations"},
		{name: "relayed", target: "http://" + startEntry(b, address) + "/v1/completions"},
	}
}

// openStream sends a request and returns after the first line of the answer.
func openStream(b *testing.B, client *http.Client, target string) (*http.Response, *bufio.Reader) {
	body := `{"generation":"entry-1.0000000000000001.1","model":"letters","prompt":"hello","stream":true}`
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return nil, nil
	}
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadSlice('\n'); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, error %v", resp.StatusCode, err)
	}
	return resp, reader
}

// countTokens reads to the end of the stream and returns the number of tokens.
func countTokens(resp *http.Response, reader *bufio.Reader) int {
	defer resp.Body.Close()
	tokens := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return tokens
		}
		if bytes.Contains(line, []byte(`"offset"`)) {
			tokens++
		}
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkToken measures the CPU time for each token. It is that of the whole process: the engine stub, the callers
// and, in the relayed case, the instance, so the cost of the instance is the difference of the two cases. 200 streams
// run at once with 10 ms between tokens, so that every token is a packet of its own.
func BenchmarkToken(b *testing.B) {
	const streams = 200
	tokens := 1
	address := startPacedEngine(b, func() int { return tokens }, 10*time.Millisecond, nil)
	for _, p := range accessPaths(b, address) {
		b.Run(p.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
			defer client.CloseIdleConnections()
			tokens = max(1, b.N/streams)
			var readers sync.WaitGroup
			before := cpuTime()
			for range streams {
				readers.Go(func() {
					if resp, reader := openStream(b, client, p.target); resp != nil && countTokens(resp, reader) != tokens {
						b.Error("tokens are missing")
					}
				})
			}
			readers.Wait()
			cpuUsed := cpuTime() - before
			b.ReportMetric(float64(cpuUsed.Nanoseconds())/1e3/float64(tokens*streams), "cpu-µs/token")
		})
	}
}

// inMemoryEngine generates a fixed number of tokens without a connection.
type inMemoryEngine struct{ tokens int }

func (e inMemoryEngine) Start(_ context.Context, _ string, req engine.Generation) (engine.Events, error) {
	return &inMemoryEvents{generation: req.Generation, tokens: e.tokens}, nil
}

func (e inMemoryEngine) Resume(context.Context, string, string, int) (engine.Events, error) {
	return nil, io.ErrUnexpectedEOF
}

func (inMemoryEngine) Cancel(context.Context, string, string) error { return nil }

func (inMemoryEngine) Unread(context.Context, string, string) (bool, error) { return false, nil }

type inMemoryEvents struct {
	generation   string
	next, tokens int
}

func (e *inMemoryEvents) Next() (engine.Event, error) {
	if e.next == e.tokens {
		return engine.Event{Kind: engine.EventDone, Generation: e.generation, Tokens: e.tokens}, nil
	}
	e.next++
	return engine.Event{Generation: e.generation, Offset: e.next - 1, Text: " token"}, nil
}

func (e *inMemoryEvents) Close() error { return nil }

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header       { return w.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Flush()                      {}

// BenchmarkTokenInMemory measures the relay and the encoding of a token, without connections and without decoding
// events of the engine.
func BenchmarkTokenInMemory(b *testing.B) {
	options := testOptions(b, 0)
	options.Source = &fixedSource{manifest: unlimitedManifest(b)}
	options.EngineClient = inMemoryEngine{tokens: b.N}
	f := New(options)
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"letters","prompt":"hello","stream":true}`))
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	b.ReportAllocs()
	b.ResetTimer()
	f.ServeHTTP(discardWriter{header: http.Header{}}, r)
}

// BenchmarkFirstToken measures the time from the request to the first event on loopback. The difference of the two
// cases is the time that the instance adds.
func BenchmarkFirstToken(b *testing.B) {
	address := startPacedEngine(b, func() int { return 1 }, 0, nil)
	for _, p := range accessPaths(b, address) {
		b.Run(p.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			latencies := make([]time.Duration, 0, b.N)
			for b.Loop() {
				start := time.Now()
				resp, reader := openStream(b, client, p.target)
				latencies = append(latencies, time.Since(start))
				countTokens(resp, reader)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds())/1e3, "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds())/1e3, "p99-µs")
		})
	}
}

// BenchmarkOpenStreams measures the memory of the process for each open stream after its first token. The difference of
// the two cases is the memory that the instance uses. Run it with -benchtime=2000x.
func BenchmarkOpenStreams(b *testing.B) {
	release := make(chan struct{})
	address := startPacedEngine(b, func() int { return 2 }, 0, release)
	defer close(release)
	for _, p := range accessPaths(b, address) {
		b.Run(p.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			var responses []*http.Response
			heap, stacks := memoryInUse()
			for range b.N {
				resp, _ := openStream(b, client, p.target)
				responses = append(responses, resp)
			}
			heapAfter, stacksAfter := memoryInUse()
			b.ReportMetric(float64(heapAfter-heap)/float64(b.N)/1024, "heap-KB/stream")
			b.ReportMetric(float64(stacksAfter-stacks)/float64(b.N)/1024, "stack-KB/stream")
			for _, resp := range responses {
				_ = resp.Body.Close()
			}
		})
	}
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() (heap, stacks int64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc), int64(stats.StackInuse)
}
