package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

const (
	// machineBytes is the memory of the smallest machine that runs an instance, and reservedBytes what is left there for the sockets of the
	// kernel, the file system in memory and other processes.
	machineBytes  = 112_000_000
	reservedBytes = 24_000_000

	endlessCallers = 300
	// faultyServers is the number of replicas, and of engines, whose answers do not end.
	faultyServers = 40
)

// endlessServer is the handler of a replica or an engine whose answers do not end.
type endlessServer struct {
	arrived, open, most atomic.Int32
}

// ServeHTTP implements http.Handler. The last part of the path names the form of the answer.
func (s *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	now := s.open.Add(1)
	defer s.open.Add(-1)
	for most := s.most.Load(); now > most && !s.most.CompareAndSwap(most, now); most = s.most.Load() {
	}
	head := "HTTP/1.1 200 OK\r\nX-Replica-Seal: seal\r\nX-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n"
	forms := []fakes.EndlessForm{
		{Prefix: head + "A: ", Repeated: "x"},
		{Prefix: head, Repeated: "A: b\r\n"},
		{Prefix: head + "\r\n", Repeated: "x"},
		{Prefix: head + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "8\r\nxxxxxxxx\r\n"},
		{Prefix: head + "Content-Type: text/event-stream\r\n\r\ndata: ", Repeated: "x"},
		{Prefix: head + "Content-Type: text/event-stream\r\n\r\n", Repeated: "data: xxxxxxxx\n"},
		{Prefix: head + "Content-Type: text/event-stream\r\n\r\n", Repeated: ": xxxxxxxx\n"},
		{Prefix: head + "Content-Type: text/event-stream\r\n\r\n", Repeated: "data: x\n\n"},
	}
	number, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	const burst = 1 << 20
	bytes := []int{burst, 60 << 10}[number/len(forms)%2]
	fakes.NewEndless(forms[number%len(forms)], bytes).ServeHTTP(w, r)
}

// publishFaulty publishes a configuration with a plain service and an engine service whose servers are faulty.
func (c *cluster) publishFaulty(server http.Handler) {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": "soak.example", "prefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 1000, "gapTargetMs": 180, "maxAttempts": 2,
		}
	}
	engine := map[string]any{
		"slots": slots, "kvCapacity": 100_000, "kvTokenBytes": 1000, "linkMbps": 1000.0, "moves": true, "stride": 1,
		"models": []any{map[string]any{"name": "m"}},
	}
	c.mu.Lock()
	c.version += versionStep
	version := c.version
	c.mu.Unlock()
	c.store.put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("/letter/", "streaming", "llm"), route("/charge/", "non_idempotent", "plain"), route("/lookup/", "idempotent", "plain"),
			route("/faultyletter/", "streaming", "faultyllm"), route("/faultycharge/", "non_idempotent", "faulty"), route("/faultylookup/", "idempotent", "faulty"),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": engine}, map[string]any{"name": "plain"}, map[string]any{"name": "marker"},
			map[string]any{"name": "faultyllm", "engine": engine}, map[string]any{"name": "faulty"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": c.keys}},
	})
	for i := range 2 * faultyServers {
		listener := httptest.NewServer(server)
		c.t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		service := []string{"faulty", "faultyllm"}[i%2]
		c.store.put(fmt.Sprintf("servers/x-%04d", i), map[string]any{
			"service": service, "address": listener.Listener.Addr().String(), "zone": c.site.dataCentre(0).name, "slots": slots, "state": "ready",
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
}

// peakBytes returns the most memory that the process of the instance has held.
func (i *instance) peakBytes(t *testing.T) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				t.Error(err)
			}
			return kilobytes << 10
		}
	}
	return 0
}

// TestMemoryOfEndlessAnswers guards against answers of replicas and engines without an end that together take more memory than the smallest
// machine has, and against requests of other callers that fail beside them.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	c := newCluster(t, releases{current: buildBinary(t)}, 1, 1)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("the instance is not ready")
	}
	var server endlessServer
	c.publishFaulty(&server)
	time.Sleep(2 * time.Second) // The configuration and the servers are known.
	before := c.instances[0].peakBytes(t)
	pid := c.instances[0].process.Process.Pid
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endlessCallers}}
	defer client.CloseIdleConnections()
	send := func(path, id string, events int) (status int, body int64, err error) {
		ctx, cancel := context.WithTimeout(t.Context(), callerLimit)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instances[0].ip+frontPort+path, strings.NewReader("body of "+id))
		if err != nil {
			return 0, 0, err
		}
		req.Host = "soak.example"
		req.GetBody = nil
		req.Header.Set("X-Attempt-Id", id)
		req.Header.Set("X-Credential", c.keys[0])
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerLimit.Milliseconds()))
		if events > 0 {
			req.Header.Set("X-Token-Count", fmt.Sprintf("500,%d", events))
			req.Header.Set("X-Prompt-Prefix", id+":21")
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, 0, err
		}
		defer resp.Body.Close()
		body, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, body, err
	}
	var endless, sound sync.WaitGroup
	var served, failed, whole atomic.Int32
	for i := range endlessCallers {
		endless.Go(func() {
			path := []string{"/faultycharge/", "/faultylookup/", "/faultyletter/"}[i%3]
			status, _, err := send(path+strconv.Itoa(i/3), fmt.Sprintf("endless-%d", i), []int{0, 0, 60}[i%3])
			if status == http.StatusOK && err == nil {
				whole.Add(1)
			}
		})
	}
	done := make(chan struct{})
	for i := range 20 {
		sound.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if status, _, err := send([]string{"/charge/x", "/lookup/x"}[i%2], fmt.Sprintf("sound-%d-%d", i, number), 0); status == http.StatusOK && err == nil {
					served.Add(1)
				} else {
					failed.Add(1)
					t.Errorf("request %d of caller %d: status %d, error %v", number, i, status, err)
				}
			}
		})
	}
	endless.Wait()
	close(done)
	sound.Wait()
	peak := c.instances[0].peakBytes(t)
	t.Logf("%d requests at the faulty servers, at most %d at once: peak of %.1f MB, %.1f MB before; %d requests of other callers served, %d failed",
		server.arrived.Load(), server.most.Load(), float64(peak)/1e6, float64(before)/1e6, served.Load(), failed.Load())
	if now := c.instances[0].process.Process.Pid; now != pid {
		t.Errorf("process %d has ended", pid)
	}
	if peak > machineBytes-reservedBytes || peak == 0 {
		t.Errorf("%d answers without an end take the process to %.1f MB, want at most %.1f MB", endlessCallers, float64(peak)/1e6,
			float64(machineBytes-reservedBytes)/1e6)
	}
	if served.Load() == 0 {
		t.Error("no request of other callers was served")
	}
	if whole.Load() > 0 {
		t.Errorf("%d answers without an end reached their callers as whole ones", whole.Load())
	}
}
