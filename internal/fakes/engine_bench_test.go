package fakes

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkEngineTokens streams single events over loopback at a fixed rate and reports the CPU time per token,
// including that of the reader. Engines that cannot keep up report fewer tokens/s. A nearly idle engine uses more CPU
// time per token, most of it for wake-ups.
func BenchmarkEngineTokens(b *testing.B) {
	for _, test := range []struct{ engines, streams, offered int }{
		{1, 5, 250}, {8, 50, 20_000}, {8, 50, 40_000},
	} {
		b.Run(fmt.Sprintf("engines=%d/streams=%d/offered=%d", test.engines, test.streams, test.offered), func(b *testing.B) {
			benchmarkTokens(b, test.engines, test.streams, test.offered)
		})
	}
}

func benchmarkTokens(b *testing.B, engines, streams, offered int) {
	config := DefaultEngineConfig("bench")
	config.Batch.StepBase = time.Second * time.Duration(engines*streams) / time.Duration(offered)
	config.Batch.StepPerRunning = 0
	config.Batch.MaxRunning = streams
	config.Batch.MemoryTokens = 1 << 30
	var addresses []string
	for range engines {
		engine := NewEngine(config)
		defer engine.Close()
		server, err := Serve("127.0.0.1:0", engine)
		if err != nil {
			b.Fatal(err)
		}
		defer server.Close()
		addresses = append(addresses, server.Address())
	}
	length := max(1, b.N/(engines*streams))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	var group sync.WaitGroup
	for i := range engines * streams {
		group.Go(func() {
			body := fmt.Appendf(nil, `{"generation":"g%d","prompt":"length=%d"}`, i, length)
			response, err := client.Post("http://"+addresses[i%engines]+"/v1/generations", "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	tokens := float64(length * engines * streams)
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/tokens, "cpu-ns/token")
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
}

// BenchmarkBatchStep measures one step of a full batch without HTTP.
func BenchmarkBatchStep(b *testing.B) {
	config := DefaultBatchConfig()
	config.MemoryTokens = 1 << 40
	batch := NewBatch(config)
	for i := range config.MaxRunning {
		batch.Add(NewJob(fmt.Sprint(i), "prompt", 1, 1<<40))
	}
	now := time.Time{}
	for b.Loop() {
		took, _ := batch.Step(now, 1)
		now = now.Add(took)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*config.MaxRunning), "ns/token")
}
