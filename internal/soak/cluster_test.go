package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Time limits, as a deployment states them, and addresses of the instances.
const (
	drainLimit  = 3 * time.Second
	revokeLimit = 5 * time.Second
	graceLimit  = 8 * time.Second
	callerLimit = 6 * time.Second

	restartDelay = 300 * time.Millisecond

	// versionStep is the distance between two versions of the configuration.
	versionStep = 3

	frontPort       = ":18740"
	readyPort       = ":18749"
	resolvePort     = ":18746"
	firstPeerPort   = 17200
	firstHostNumber = 10
)

// cluster holds the processes and stand-ins of one run.
type cluster struct {
	t         *testing.T
	seed      uint64
	site      site
	releases  releases
	subnet    string // the first three octets of the addresses of the instances
	store     *store
	storeHTTP *httptest.Server
	recorder  *recorder
	load      *loadGenerator
	keys      []string
	instances []*instance
	closing   atomic.Bool

	// restartNanos is the time from the end of a process of an instance to the start of the next.
	restartNanos atomic.Int64

	mu            sync.Mutex
	disturbances  map[string][]disturbance // faults of single instances by front address, and of their ways to the store by storeWay
	partitions    []*partition
	version       int
	published     []publication
	reloads       []reload
	storeFaults   []*disturbance
	storeReturns  []time.Time // from an older copy
	revoked       map[string]time.Time
	backends      map[string]*backend
	lastBackendID int
	// carriers are the IP addresses from which each request reached backend servers. Only sites with regional routes record them.
	carriers map[string][]string
}

// instance is one instance of the system. Its process is restarted whenever it ends.
type instance struct {
	name         string
	number       int
	ip           string
	settingsPath string
	storeProxy   *proxy
	log          *os.File
	// settingsChanges counts the changes of the settings. Protected by the cluster's mu.
	settingsChanges int

	mu      sync.Mutex
	process *exec.Cmd
	ended   *exec.Cmd     // the last process that has ended
	release string        // of the process
	stopped chan struct{} // closed when supervise returns
}

// disturbance is the time of a fault of one instance.
type disturbance struct{ from, until time.Time }

// touches reports whether the fault has lasted in a span. The zero time stands for a fault that goes on.
func (d disturbance) touches(since, until time.Time) bool {
	return d.from.Before(until) && (d.until.IsZero() || d.until.After(since))
}

// disturb records a fault of an instance that lasts until the returned function is called.
func (c *cluster) disturb(i *instance) (end func()) { return c.disturbAddress(i.ip + frontPort) }

func (c *cluster) disturbAddress(address string) (end func()) {
	from := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.disturbances[address])
	const open = time.Hour
	c.disturbances[address] = append(c.disturbances[address], disturbance{from, from.Add(open)})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[address][index].until = time.Now()
	}
}

// disturbed reports whether the instance with a front address had a fault within limitGrace before a time.
func (c *cluster) disturbed(address string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.disturbances[address] {
		if at.After(d.from) && at.Before(d.until.Add(limitGrace)) {
			return true
		}
	}
	return false
}

// disturbedSince reports whether a fault of the instance with a front address has lasted until a time or begun later.
func (c *cluster) disturbedSince(address string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.disturbances[address], func(d disturbance) bool { return d.until.After(since) })
}

// clusters is the number of clusters that the test process has made.
var clusters atomic.Int64

// newSubnet returns the first three octets of the loopback addresses of the instances of one cluster. They depend on the process ID and
// differ between the clusters of a process, because two concurrent runs with the same addresses joined each other's clusters.
func newSubnet() string {
	const firstNet, processNets, clusterNets, lastOctets = 64, 16, 12, 256
	pid := os.Getpid()
	net := firstNet + pid%processNets*clusterNets + int(clusters.Add(1))%clusterNets
	return fmt.Sprintf("127.%d.%d", net, pid/processNets%lastOctets)
}

func newCluster(t *testing.T, programs releases, seed uint64, instances int) *cluster {
	return newSiteCluster(t, oneDataCentre, programs, seed, instances)
}

// newSiteCluster is newCluster for another deployment.
func newSiteCluster(t *testing.T, site site, programs releases, seed uint64, instances int) *cluster {
	c := &cluster{
		t: t, seed: seed, site: site, releases: programs, subnet: newSubnet(), store: newStore(), recorder: newRecorder(),
		keys: []string{"key-0", "key-1", "key-2", "key-3"}, revoked: make(map[string]time.Time),
		backends: make(map[string]*backend), disturbances: make(map[string][]disturbance),
	}
	c.setRestartDelay(restartDelay)
	c.storeHTTP = httptest.NewServer(c.store)
	t.Cleanup(c.close)
	c.publish()
	c.addMarker()
	for range site.engines {
		c.addBackend(true, nil)
	}
	for range site.replicas {
		c.addBackend(false, nil)
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

// publish writes a new version of the configuration with the keys that are not revoked, and a route that only it has.
func (c *cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += versionStep
	sentAt := time.Now()
	defer func() { c.published = append(c.published, publication{c.version, sentAt, time.Now()}) }()
	var keys []string
	for _, key := range c.keys {
		if c.revoked[key].IsZero() {
			keys = append(keys, key)
		}
	}
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": prefix, "host": "soak.example", "prefix": prefix, "kind": kind, "service": service,
			"timeoutMs": letterTimeout.Milliseconds(), "targetLatencyMs": 1000, "gapTargetMs": 180, "maxAttempts": attempts,
		}
	}
	guide := route(guidePrefix, "streaming", "llm", 1)
	guide["timeoutMs"] = guideLimit.Milliseconds()
	marker := route(markerPrefix(c.version), "idempotent", "marker", 1)
	marker["authExempt"] = true
	charge, lookup := route("/charge/", "non_idempotent", "plain", 1), route("/lookup/", "idempotent", "plain", 2)
	charge["timeoutMs"] = c.site.plainTimeout(c.version / versionStep).Milliseconds()
	lookup["timeoutMs"] = charge["timeoutMs"]
	routes := []any{marker, guide, route("/letter/", "streaming", "llm", 1), charge, lookup}
	tenants := []any{map[string]any{"name": "acme", "apiKeys": keys}}
	if c.site.regional {
		routes = append(routes, c.regionalRoutes(route)...)
		tenants = regionalAccounts(keys)
	}
	c.store.put("op/config", map[string]any{
		"version": c.version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": slots, "kvCapacity": 100_000, "kvTokenBytes": 1000, "linkMbps": 1000.0, "moves": true, "stride": 1,
				"models": []any{map[string]any{"name": "m"}},
			}, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond},
			map[string]any{"name": "plain", "coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond}, map[string]any{"name": "marker"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 + c.version%2},
		"tenants": tenants,
	})
}

// revoke revokes a key, unless it is the last valid one or is revoked already.
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
	c.revoked[key] = time.Now() // The time limit starts when the write is acknowledged.
	c.mu.Unlock()
}

// addBackend adds a backend server, in the data centre of the one that it replaces; nil for none.
func (c *cluster) addBackend(isEngine bool, replaced *backend) { c.startBackend(isEngine, replaced, 0) }

// startBackend adds a backend server as addBackend does, that is cold for a while.
func (c *cluster) startBackend(isEngine bool, replaced *backend, cold time.Duration) *backend {
	c.mu.Lock()
	c.lastBackendID++
	number := c.lastBackendID
	c.mu.Unlock()
	id := fmt.Sprintf("i-%04d", number)
	b, err := newBackend(id, c.recorder, isEngine)
	if err != nil {
		c.t.Error(err)
		return nil
	}
	if cold > 0 {
		b.turnCold(cold, 0)
	}
	b.dataCentre, b.work = c.site.dataCentre(number).name, c.site.work
	if replaced != nil {
		b.dataCentre = replaced.dataCentre
	}
	b.recordRegion = c.recordRegion
	b.findByAddress, b.crash, b.disturbed = c.backendByAddress, c.crashBackend, c.disturbed
	b.disturbedSince = c.disturbedSince
	b.storeReturned, b.releaseAt, b.isFormer, b.storeFailed = c.storeReturned, c.releaseAt, c.isFormer, c.storeFailedSince
	b.proxy.cutOff(c.partitionOf)
	c.mu.Lock()
	c.backends[id] = b
	c.mu.Unlock()
	c.store.put("servers/"+id, b.storeEntry("ready"))
	return b
}

func (c *cluster) backendByAddress(address string) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		if b.proxy.address() == address {
			return b
		}
	}
	return nil
}

// replace adds a backend server and removes b: with a notice, without one, or by a crash.
func (c *cluster) replace(b *backend, notice, crash bool) {
	c.addBackend(b.isEngine, b)
	c.remove(b, notice, crash)
}

// remove removes a backend server: with a notice, without one, or by a crash.
func (c *cluster) remove(b *backend, notice, crash bool) {
	c.mu.Lock()
	delete(c.backends, b.id)
	c.mu.Unlock()
	switch {
	case crash:
		b.stop()
		c.store.put("servers/"+b.id, nil)
		return
	case notice:
		c.store.put("servers/"+b.id, b.storeEntry("draining"))
	default:
		c.store.put("servers/"+b.id, nil)
	}
	c.recorder.mu.Lock()
	b.leavingAt, b.saysLeaving = time.Now(), true
	c.recorder.mu.Unlock()
	time.AfterFunc(drainLimit+2*time.Second, func() {
		c.store.put("servers/"+b.id, nil)
		b.stop()
	})
}

func (c *cluster) addInstance(number int) {
	i := &instance{name: fmt.Sprintf("instance-%d", number), number: number, ip: fmt.Sprintf("%s.%d", c.subnet, firstHostNumber+number)}
	var err error
	if i.storeProxy, err = newProxy("127.0.0.1:0", strings.TrimPrefix(c.storeHTTP.URL, "http://")); err != nil {
		c.t.Fatal(err)
	}
	i.settingsPath = filepath.Join(c.t.TempDir(), "node.toml")
	if err := os.WriteFile(i.settingsPath, []byte(c.settings(i, graceLimit, 0, 1)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if i.log, err = os.Create(filepath.Join(logDir(c.t, c.seed), i.name+".log")); err != nil {
		c.t.Fatal(err)
	}
	c.instances = append(c.instances, i)
}

// settings returns the settings of an instance, with the numbers of two instances as seeds.
func (c *cluster) settings(i *instance, grace time.Duration, firstSeed, secondSeed int) string {
	home := c.site.dataCentre(i.number)
	return fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
region = %q
internalPorts = [%d, %d]
seeds = ["%s.%d:1", "%s.%d:1"]
[zones]
%s
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpuShare = 1.0
linkMbps = 1000.0
%s
[bounds]
graceS = %d
revokeFailClosed = true
revokeMs = %d
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 100
ttl_max_s = 5
coldOvershoot = %.1f
coldSlack = %d
evacuateMs = %d
[platform]
address = %q
`, i.name, i.ip, home.name, home.region, firstPeerPort, firstPeerPort+10, c.subnet, firstHostNumber+firstSeed, c.subnet, firstHostNumber+secondSeed,
		c.site.regions(), i.ip+frontPort, i.ip+readyPort, i.ip+resolvePort, c.site.limits,
		int(grace.Seconds()), revokeLimit.Milliseconds(), coldOvershoot, coldSlack, evacuationLimit.Milliseconds(), i.storeProxy.address())
}

// supervise runs the process of an instance and restarts it after a short delay whenever it ends, as the platform does.
// Only this function starts processes, so that overlapping faults leave no process behind.
func (c *cluster) supervise(i *instance) {
	defer close(i.stopped)
	for start := 0; ; start++ {
		binary, release := c.releases.binary(i.number, start)
		command := exec.Command(binary, "instance", "-metrics-port", "0", "-backend-source-ip", i.ip)
		if *disableFlag != "" {
			command.Args = append(command.Args, "-disable", *disableFlag)
		}
		command.Env = append(os.Environ(), "DRAGONFLYPOND_CONFIG="+i.settingsPath,
			"DRAGONFLYPOND_SECRET=secret of the soak's cluster")
		command.Stdout, command.Stderr = i.log, i.log
		i.mu.Lock()
		if c.closing.Load() {
			i.mu.Unlock()
			return
		}
		err := command.Start()
		i.process, i.release = command, release
		i.mu.Unlock()
		if err != nil {
			c.recorder.reportViolation("start the process of %s: %v", i.name, err)
			return
		}
		_ = command.Wait() // The exit status of a killed process has no meaning.
		i.mu.Lock()
		i.ended = command
		i.mu.Unlock()
		time.Sleep(time.Duration(c.restartNanos.Load()))
	}
}

// setRestartDelay sets the time from the end of a process of an instance to the start of the next.
func (c *cluster) setRestartDelay(delay time.Duration) { c.restartNanos.Store(int64(delay)) }

// currentRelease returns the release of the instance's process.
func (i *instance) currentRelease() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.release
}

// isFormer reports whether the process with an IP address is of the former release.
func (c *cluster) isFormer(ip string) bool {
	return slices.ContainsFunc(c.instances, func(i *instance) bool { return i.ip == ip && i.currentRelease() == formerName })
}

// releaseAt returns the release of the process with an IP address, in words for a violation; empty if the run has one release only.
func (c *cluster) releaseAt(ip string) string {
	if c.releases.former == "" {
		return ""
	}
	for _, i := range c.instances {
		if i.ip == ip {
			return " (release " + i.currentRelease() + ")"
		}
	}
	return ""
}

// signal sends a signal to the current process of the instance.
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

// waitReady waits until every instance reports that it is ready. It returns false if limit elapses first.
func (c *cluster) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, i := range c.instances {
		for !isReady(i.ip) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

func isReady(ip string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ip + readyPort + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
