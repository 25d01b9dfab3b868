package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Bounds of the runs, as a deployment states them.
const (
	drainLimit  = 3 * time.Second
	revokeLimit = 5 * time.Second
	graceLimit  = 8 * time.Second
	callerLimit = 6 * time.Second

	restartDelay = 300 * time.Millisecond

	frontPort  = ":18740"
	readyPort  = ":18749"
	lookupPort = ":18746"
	firstPeer  = 17200
	firstHost  = 10
)

// cluster is one run's processes and stand-ins.
type cluster struct {
	t         *testing.T
	seed      uint64
	program   string
	store     *store
	storeHTTP *httptest.Server
	ledger    *ledger
	keys      []string
	instances []*instance
	closing   atomic.Bool

	mu       sync.Mutex
	version  int
	revoked  map[string]time.Time
	backends map[string]*backend
	nextID   int
}

// instance is one process of the system.
type instance struct {
	name     string
	ip       string
	settings string
	store    *proxy
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	stopped chan struct{} // closed when the supervisor has ended
}

// subnet returns the first three numbers of the instances' loopback addresses. They depend on the process, because two runs
// at once with the same addresses took part in each other's clusters.
func subnet() string {
	const firstNet, nets = 64, 64
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", firstNet+pid%nets, pid/nets%256)
}

func newCluster(t *testing.T, program string, seed uint64, instances int) *cluster {
	c := &cluster{
		t: t, seed: seed, program: program, store: newStore(), ledger: newLedger(),
		keys: []string{"key-0", "key-1", "key-2", "key-3"}, revoked: make(map[string]time.Time),
		backends: make(map[string]*backend),
	}
	c.storeHTTP = httptest.NewServer(c.store)
	t.Cleanup(c.close)
	c.publish()
	for range 4 {
		c.addBackend(true)
	}
	for range 2 {
		c.addBackend(false)
	}
	for i := range instances {
		c.addInstance(i)
	}
	for _, i := range c.instances {
		i.stopped = make(chan struct{})
		go c.supervise(i)
	}
	return c
}

// publish writes the next configuration with the keys that are not revoked.
func (c *cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	var keys []string
	for _, key := range c.keys {
		if c.revoked[key].IsZero() {
			keys = append(keys, key)
		}
	}
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": prefix, "host": "soak.example", "prefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 1000, "gapTargetMs": 180, "maxAttempts": attempts,
		}
	}
	c.store.put("op/config", map[string]any{
		"version": c.version,
		"routes": []any{
			route("/letter/", "streaming", "llm", 1), route("/charge/", "non_idempotent", "plain", 1),
			route("/lookup/", "idempotent", "plain", 2),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": slots, "kvCapacity": 100_000, "kvTokenBytes": 1000, "linkMbps": 1000.0, "moves": true, "stride": 1,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "plain"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": keys}},
	})
}

// revoke takes a key away, unless it is the last one.
func (c *cluster) revoke(key string) {
	c.mu.Lock()
	if len(c.revoked) == len(c.keys)-1 || !c.revoked[key].IsZero() {
		c.mu.Unlock()
		return
	}
	c.revoked[key] = time.Now()
	c.mu.Unlock()
	c.publish()
	c.mu.Lock()
	c.revoked[key] = time.Now() // The acknowledgement counts.
	c.mu.Unlock()
}

func (c *cluster) addBackend(engine bool) {
	c.mu.Lock()
	c.nextID++
	id := fmt.Sprintf("i-%04d", c.nextID)
	c.mu.Unlock()
	b, err := newBackend(id, c.ledger, engine)
	if err != nil {
		c.t.Error(err)
		return
	}
	b.byAddress = c.byAddress
	c.mu.Lock()
	c.backends[id] = b
	c.mu.Unlock()
	c.store.put("servers/"+id, b.entry("ready"))
}

func (c *cluster) byAddress(address string) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		if b.front.address() == address {
			return b
		}
	}
	return nil
}

// replace takes a backend server away: with a notice, without one, or as a crash. Another one takes its place.
func (c *cluster) replace(b *backend, notice, crash bool) {
	c.mu.Lock()
	delete(c.backends, b.id)
	c.mu.Unlock()
	c.addBackend(b.engine)
	switch {
	case crash:
		b.stop()
		c.store.put("servers/"+b.id, nil)
		return
	case notice:
		c.store.put("servers/"+b.id, b.entry("draining"))
	default:
		c.store.put("servers/"+b.id, nil)
	}
	c.ledger.mu.Lock()
	b.leavingAt = time.Now()
	c.ledger.mu.Unlock()
	time.AfterFunc(drainLimit+2*time.Second, func() {
		c.store.put("servers/"+b.id, nil)
		b.stop()
	})
}

func (c *cluster) addInstance(number int) {
	i := &instance{name: fmt.Sprintf("instance-%d", number), ip: fmt.Sprintf("%s.%d", subnet(), firstHost+number)}
	var err error
	if i.store, err = newProxy("127.0.0.1:0", strings.TrimPrefix(c.storeHTTP.URL, "http://")); err != nil {
		c.t.Fatal(err)
	}
	dir := c.t.TempDir()
	i.settings = filepath.Join(dir, "node.toml")
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = "north-a"
region = "north"
internalPorts = [%d, %d]
seeds = ["%s.%d:1", "%s.%d:1"]
[zones]
north-a = "north"
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpuShare = 1.0
linkMbps = 1000.0
[bounds]
graceS = %d
revokeFailClosed = true
revokeMs = %d
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 100
ttl_max_s = 5
[platform]
address = %q
`, i.name, i.ip, firstPeer, firstPeer+10, subnet(), firstHost, subnet(), firstHost+1, i.ip+frontPort, i.ip+readyPort, i.ip+lookupPort,
		int(graceLimit.Seconds()), revokeLimit.Milliseconds(), i.store.address())
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if i.log, err = os.Create(filepath.Join(logDir(c.t, c.seed), i.name+".log")); err != nil {
		c.t.Fatal(err)
	}
	c.instances = append(c.instances, i)
}

// supervise runs an instance's process and starts it again after a short delay whenever it has ended, as the platform does.
// Only this function starts processes, so that none is left behind when faults overlap.
func (c *cluster) supervise(i *instance) {
	defer close(i.stopped)
	for {
		command := exec.Command(c.program, "instance", "-metrics-port", "0")
		command.Env = append(os.Environ(), "DRAGONFLYPOND_CONFIG="+i.settings, "DRAGONFLYPOND_SECRET=secret of the soak's cluster")
		command.Stdout, command.Stderr = i.log, i.log
		i.mu.Lock()
		if c.closing.Load() {
			i.mu.Unlock()
			return
		}
		err := command.Start()
		i.process = command
		i.mu.Unlock()
		if err != nil {
			c.ledger.fault("start %s: %v", i.name, err)
			return
		}
		_ = command.Wait() // How a killed process ends says nothing.
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process that this run started.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s) // The process may have ended.
	}
}

func (c *cluster) close() {
	c.closing.Store(true)
	for _, i := range c.instances {
		i.signal(syscall.SIGKILL)
		<-i.stopped
		_ = i.log.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		b.stop()
	}
	c.storeHTTP.CloseClientConnections()
	c.storeHTTP.Close()
}

// waitReady waits until every instance says that it is ready.
func (c *cluster) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, i := range c.instances {
		for !ready(i.ip) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

func ready(ip string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ip + readyPort + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
