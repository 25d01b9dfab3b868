package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// BenchmarkCallerTokens reads 400 streams of 50 tokens a second each and reports the CPU time per token, including that
// of the server, to show up to which token rate the load generator does not distort its results.
func BenchmarkCallerTokens(b *testing.B) {
	const streams, pause = 400, 20 * time.Millisecond
	length := max(1, b.N/streams)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := fakes.TokenText(fmt.Sprintf("length=%d", length), "g")
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for i := range length {
			<-ticker.C
			_, _ = fmt.Fprintf(w, "id: %0200d\ndata: {\"id\":\"entry-0.9d80d546e329ff5d.1\",\"object\":\"text_completion\","+
				"\"model\":\"m\",\"offset\":%d,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", i, i, text(i))
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprint(w, "event: done\ndata: [DONE]\n\n")
	})
	server, err := fakes.Serve("127.0.0.1:0", handler)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	plan := testPlan()
	rec := newRecorder(plan)
	c := newCaller(&http.Client{Transport: newTransport()}, plan, Target{Entries: []string{server.Address()}}, rec, time.Now())
	for _, cache := range c.entryCaches {
		cache.addresses, cache.validUntil = cache.configured, time.Now().Add(time.Hour)
	}
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	var group sync.WaitGroup
	for range streams {
		arrival := Arrival{Kind: KindLong, Length: length, Due: time.Hour, prompt: fmt.Sprintf("length=%d", length)}
		group.Go(func() { c.send(context.Background(), arrival) })
	}
	group.Wait()
	b.StopTimer()
	if complete := rec.kinds[KindLong].complete; complete != streams {
		b.Fatalf("%d of %d answers were complete: %v %v", complete, streams, rec.failures, rec.violations)
	}
	tokens := float64(length * streams)
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/tokens, "cpu-ns/token")
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
