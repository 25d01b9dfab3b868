package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// longBody exceeds the buffers of an instance's connection to a server that does not read. It is the most that callers may send.
const longBody = 4 << 20

// troubledServer is the handler of a replica or an engine that answers with bytes that are no answer, or with a part of one. The last part of the path
// names the form.
type troubledServer struct {
	mu      sync.Mutex
	arrived map[string]int // requests by their IDs
}

// troubleForms are the forms, with what follows the head. An answer to a long body ends with a reset while the body is being sent.
var troubleForms = []struct{ name, head, body string }{
	{"reset", "200 OK\r\nX-Replica-Seal: seal\r\n", "id: 1\ndata: x\n\n"},
	{"status000", "000 OK\r\nX-Replica-Seal: seal\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"status099", "099 OK\r\nX-Replica-Seal: seal\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"nested", "000 OK\r\nContent-Length: 76\r\n", "HTTP/1.1 200 OK\r\nX-Replica-Seal: seal\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n"},
	{"colon", "200 OK\r\nX-Replica-Seal: seal\r\nTransfer-Encoding : chunked\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"name", "200 OK\r\nX-Replica-Seal: seal\r\nX Field: 1\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"folded", "200 OK\r\nX-Replica-Seal: seal\r\n X-Field: 1\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"control", "200 OK\r\nX-Replica-Seal: seal\r\nX\x02Field: 1\r\nContent-Length: 15\r\n", "id: 1\ndata: x\n\n"},
	{"notRun", "503 Service Unavailable\r\nX-Not-Executed: 1\r\nX Field: 1\r\nContent-Length: 0\r\n", ""},
}

// ServeHTTP implements http.Handler.
func (s *troubledServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, form := r.Header.Get("X-Attempt-Id"), r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if id == "" {
		return // A check of the server.
	}
	s.mu.Lock()
	s.arrived[id]++
	s.mu.Unlock()
	_, _ = io.ReadFull(r.Body, make([]byte, 16<<10))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, f := range troubleForms {
		if strings.HasPrefix(form, f.name) {
			fmt.Fprintf(conn, "HTTP/1.1 %sX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", f.head, id, f.body)
		}
	}
	if r.ContentLength == longBody {
		time.Sleep(100 * time.Millisecond) // The writes of the instance fill the buffers.
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (s *troubledServer) arrivals(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived[id]
}

// publishTroubled publishes a configuration whose services have two servers in trouble each.
func (c *cluster) publishTroubled(server http.Handler) {
	var routes []any
	for prefix, kind := range map[string]string{"/charge/": "non_idempotent", "/lookup/": "idempotent", "/letter/": "streaming", "/feed/": "streaming"} {
		service := "troubled"
		if prefix == "/letter/" {
			service = "troubledllm"
		}
		routes = append(routes, map[string]any{
			"name": prefix, "host": "soak.example", "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 5000, "maxAttempts": 2,
		})
	}
	c.mu.Lock()
	c.version += versionStep
	version := c.version
	c.mu.Unlock()
	c.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "troubled"},
			map[string]any{"name": "troubledllm", "engine": map[string]any{
				"slots": slots, "kvCapacity": 100_000, "kvTokenBytes": 1000, "stride": 1, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": longBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": c.keys}},
	})
	for i := range 4 {
		listener := httptest.NewServer(server)
		c.t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		c.store.put(fmt.Sprintf("servers/y-%04d", i), map[string]any{
			"service": []string{"troubled", "troubledllm"}[i%2], "address": listener.Listener.Addr().String(), "zone": c.site.dataCentre(0).name,
			"slots": slots, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
}

// TestAnswersOfServersInTrouble guards against callers who get bytes that are no answer, or a part of one, as an answer, or a promise that their
// request was not run although a server had got it, and against instances that end because of them.
func TestAnswersOfServersInTrouble(t *testing.T) {
	c := newCluster(t, releases{current: buildBinary(t)}, 1, 2)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("the instances are not ready")
	}
	server := &troubledServer{arrived: make(map[string]int)}
	c.publishTroubled(server)
	time.Sleep(2 * time.Second) // The configuration and the servers are known.
	pids := []int{c.instances[0].pid(), c.instances[1].pid()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	const rounds = 2
	var reached atomic.Int32
	for round := range rounds {
		var callers sync.WaitGroup
		for _, form := range troubleForms {
			for _, path := range []string{"/charge/", "/lookup/", "/letter/", "/feed/"} {
				callers.Go(func() {
					id := fmt.Sprintf("%s%s-%d", strings.Trim(path, "/"), form.name, round)
					body := []byte("body of " + id)
					if form.name == "reset" {
						body = make([]byte, longBody)
					}
					status, answer, err := c.postRaw(client, c.instances[round], path+form.name+fmt.Sprint("-", round), id, body)
					arrivals := server.arrivals(id)
					switch {
					case status/100 == 2 && err == nil:
						t.Errorf("%s: status %d, answer %q", id, status, answer)
					case arrivals > 0 && err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
						t.Errorf("%s: status %d promises that the request was not run; %d servers got it", id, status, arrivals)
					case arrivals > 1 && path != "/lookup/":
						t.Errorf("%s: sent to %d servers", id, arrivals)
					}
					reached.Add(int32(min(arrivals, 1)))
				})
			}
		}
		callers.Wait()
	}
	for i, pid := range pids {
		if now := c.instances[i].pid(); now != pid {
			t.Errorf("process %d has ended", pid)
		}
	}
	all := rounds * 4 * len(troubleForms)
	t.Logf("%d of %d requests reached a server", reached.Load(), all)
	if int(reached.Load()) < all/2 {
		t.Error("too few requests reached a server")
	}
}

// postRaw sends a request to an instance and reads its answer, of which a part may come before an error.
func (c *cluster) postRaw(client *http.Client, i *instance, path, id string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), callerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.ip+frontPort+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, nil, err
	}
	req.ContentLength, req.Host = int64(len(body)), "soak.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", c.keys[0])
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerLimit.Milliseconds()))
	req.Header.Set("X-Token-Count", "500,60")
	req.Header.Set("X-Prompt-Prefix", id+":21")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
