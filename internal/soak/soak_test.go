package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seedsFlag   = flag.String("soak.seeds", "1-2", "seeds to run as `FIRST-LAST`")
	lengthFlag  = flag.Duration("soak.length", 6*time.Second, "duration of the fault injection in each run")
	countFlag   = flag.Int("soak.instances", 4, "number of instances in each run")
	kindsFlag   = flag.Int("soak.kinds", 0, "number of kinds of faults to choose from, as when a seed failed; 0 for all")
	disableFlag = flag.String("soak.disable", "", "`LIST` of mechanisms that the instances switch off, to show that a test needs them")
	logsFlag    = flag.String("soak.logs", "", "directory for the logs of the instances; if empty, a temporary one that is kept if the run fails")
)

const (
	callInterval = 15 * time.Millisecond

	// settleTime is the time after the last fault within which the cluster must recover: one confirmation of the keys,
	// one restart and one suspicion timeout of the membership. The users allow 12 s.
	settleTime = 12 * time.Second

	// measureTime is the time after settleTime over which the share of served requests is measured.
	measureTime = 2 * time.Second

	// minServedShare is the share of requests that must be served after the faults. The users require a quarter.
	minServedShare = 0.9
)

// regressions are seeds that failed in the past, with the cause.
var regressions = []struct {
	seed       uint64
	faultCount int // length of faultKinds when the seed failed
	cause      string
}{
	{118, 14, "an instance that briefly lost the store treated the removal of an engine's entry as doubtful"},
	{2312, 23, "instances that had just started met only an older copy of the store, which lists a server that has left; allowed"},
	{5116, 26, "all instances refused requests with keys while the store was down, cut off from the servers or not; allowed"},
}

// keptOnFailure returns a directory that is removed unless the test fails. A failure that shows once cannot be traced without
// the logs.
func keptOnFailure(t *testing.T) string {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the logs of the instances are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir) // What is left over does no harm.
	})
	return dir
}

func logDir(t *testing.T, seed uint64) string {
	if *logsFlag == "" {
		return keptOnFailure(t)
	}
	name := fmt.Sprint("seed-", seed)
	if seed == 0 {
		name = strings.ReplaceAll(t.Name(), "/", "-") // Tests without a seed may run side by side.
	}
	dir := filepath.Join(*logsFlag, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

// seedRun is a seed and the number of fault kinds, from the start of faultKinds, that it chooses from.
type seedRun struct {
	seed       uint64
	faultCount int
}

// seedRuns returns the runs of the flag -soak.seeds, followed by the regressions.
func seedRuns(t *testing.T) []seedRun {
	first, last, ok := strings.Cut(*seedsFlag, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatalf("-soak.seeds %q: %v", *seedsFlag, err)
	}
	to := from
	if ok {
		if to, err = strconv.ParseUint(last, 10, 64); err != nil {
			t.Fatalf("-soak.seeds %q: %v", *seedsFlag, err)
		}
	}
	kinds := *kindsFlag
	if kinds < 0 || kinds > len(faultKinds) {
		t.Fatalf("-soak.kinds %d: there are %d kinds of faults", kinds, len(faultKinds))
	}
	if kinds == 0 {
		kinds = len(faultKinds)
	}
	var runs []seedRun
	for seed := from; seed <= to; seed++ {
		runs = append(runs, seedRun{seed, kinds})
	}
	for _, r := range regressions {
		runs = append(runs, seedRun{r.seed, r.faultCount})
	}
	return runs
}

// buildDir holds the programs that buildBinary builds.
var buildDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a directory for programs:", err)
		os.Exit(1)
	}
	buildDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir) // What is left over does no harm.
	os.Exit(code)
}

// buildOnce builds the program of this tree. All tests share it.
var buildOnce = sync.OnceValues(func() (binary string, err error) {
	binary = filepath.Join(buildDir, "dragonflypond")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/dragonflypond").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
})

func buildBinary(t *testing.T) string {
	t.Helper()
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// TestSoak checks the guarantees to callers and backend servers under overlapping faults.
func TestSoak(t *testing.T) {
	t.Parallel()
	programs := buildReleases(t)
	for _, run := range seedRuns(t) {
		t.Run(fmt.Sprint("seed", run.seed), func(t *testing.T) { runSeed(t, programs, run) })
	}
}

func runSeed(t *testing.T, programs releases, run seedRun) {
	runSite(t, oneDataCentre, programs, run, *countFlag)
}

// runSite runs a seed in a deployment.
func runSite(t *testing.T, site site, programs releases, run seedRun, instances int) {
	seed := run.seed
	random := rand.New(rand.NewPCG(seed, 1))
	c := newSiteCluster(t, site, programs, seed, instances)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("not every instance is ready within 10 s")
	}
	load := newLoadGenerator(c)
	c.load = load
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, rand.New(rand.NewPCG(seed, 2)), callInterval) })
	group.Go(func() { c.probeConfiguration(ctx) })
	injectFaults(t, c, random, faultKinds[:run.faultCount], *lengthFlag)
	time.Sleep(settleTime)
	measureStart := time.Now()
	time.Sleep(measureTime)
	c.changeOften(rand.New(rand.NewPCG(seed, 3)), seriesTime)
	stop()
	group.Wait()
	checkOutcomes(t, c, load, measureStart)
}

// TestGracefulStop guards against requests that a graceful stop interrupts. One instance is told to stop, then the two
// others at once, while callers resolve addresses, keep connections open and read streams. There are no other faults.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, buildReleases(t), 0, 3)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("not every instance is ready within 10 s")
	}
	load := newLoadGenerator(c)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, rand.New(rand.NewPCG(1, 2)), callInterval) })
	for _, instances := range [][]*instance{c.instances[:1], c.instances[1:]} {
		c.stopAtOnce(instances)
	}
	stop()
	group.Wait()
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
	for _, o := range load.outcomes {
		if o.status != http.StatusOK || !o.complete {
			t.Errorf("request %s of kind %d at %s: status %d, complete %v after %v", o.id, o.kind, o.address, o.status,
				o.complete, o.endedAt.Sub(o.sentAt))
		}
	}
	t.Logf("%d requests while %d instances stopped", len(load.outcomes), len(c.instances))
}

// stopAtOnce stops instances at the same moment and waits until they are ready again.
func (c *cluster) stopAtOnce(instances []*instance) {
	c.t.Helper()
	var stops sync.WaitGroup
	for _, i := range instances {
		stops.Go(func() {
			if !i.stop() {
				c.t.Errorf("%s did not exit within its grace period", i.name)
			}
		})
	}
	stops.Wait()
	if !c.waitReady(10 * time.Second) {
		c.t.Fatal("not every instance is ready within 10 s after a stop")
	}
}

// stop sends SIGTERM to the process of the instance and kills it after the grace period. It returns when the next process has been started, and
// reports whether the first one ended on its own.
func (i *instance) stop() bool {
	i.mu.Lock()
	process := i.process
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	deadline := time.Now().Add(graceLimit)
	for {
		select {
		case <-i.stopped:
			return true
		case <-time.After(20 * time.Millisecond):
		}
		i.mu.Lock()
		ended, replaced := i.ended == process, i.process != process
		i.mu.Unlock()
		if replaced {
			return true
		}
		if !ended && time.Now().After(deadline) {
			_ = process.Process.Kill() // It may end at this moment.
			return false
		}
	}
}

// faultKind is one kind of fault that a run injects. Its function run returns when the fault has ended.
type faultKind struct {
	name string
	run  func(c *cluster, random *rand.Rand)
}

// faultKinds are the kinds that a seed chooses from. Append new ones at the end, so that regressions replay the faults
// with which they failed.
var faultKinds = []faultKind{
	{"kill", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturb(i)()
		i.signal(syscall.SIGKILL)
	}},
	{"stop", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturb(i)()
		i.stop()
	}},
	{"pause", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturb(i)()
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+random.IntN(7000)) * time.Millisecond)
		i.signal(syscall.SIGCONT)
	}},
	{"reload", func(c *cluster, random *rand.Rand) { c.reload(c.anyInstance(random)) }},
	{"store down", func(c *cluster, random *rand.Rand) {
		defer c.disturbStore()()
		c.store.setStatus(http.StatusServiceUnavailable)
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		c.store.setStatus(0)
	}},
	{"store paused", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturbAddress(i.storeWay())()
		i.storeProxy.impair(true, 0)
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
		i.storeProxy.impair(false, 0)
	}},
	{"store resets", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturbAddress(i.storeWay())()
		i.storeProxy.resetAll()
	}},
	{"backend resets", func(c *cluster, random *rand.Rand) { c.anyBackend(random).proxy.resetAll() }},
	{"backend slow", func(c *cluster, random *rand.Rand) {
		b := c.anyBackend(random)
		b.proxy.impair(false, 30*time.Millisecond)
		time.Sleep(time.Second)
		b.proxy.impair(false, 0)
	}},
	{"backend leaves", func(c *cluster, random *rand.Rand) { c.replace(c.anyBackend(random), random.IntN(3) > 0, false) }},
	{"backend leaves with notice", func(c *cluster, random *rand.Rand) { c.replace(c.anyBackend(random), true, false) }},
	{"backend crashes", func(c *cluster, random *rand.Rand) { c.replace(c.anyBackend(random), false, true) }},
	{"key revoked", func(c *cluster, random *rand.Rand) { c.revoke(c.keys[random.IntN(len(c.keys))]) }},
	{"configuration", func(c *cluster, _ *rand.Rand) { c.publish() }},
	{"store responses paused", func(c *cluster, random *rand.Rand) {
		i := c.anyInstance(random)
		defer c.disturbAddress(i.storeWay())()
		i.storeProxy.pauseResponses(true)
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
		i.storeProxy.pauseResponses(false)
	}},
	{"backend responses paused", func(c *cluster, random *rand.Rand) {
		b := c.anyBackend(random)
		b.proxy.pauseResponses(true)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		b.proxy.pauseResponses(false)
	}},
	{"backend names a limit", func(c *cluster, random *rand.Rand) {
		lift := c.anyBackend(random).nameLimit(float64(random.IntN(300)) / 10)
		time.Sleep(time.Duration(1000+random.IntN(8000)) * time.Millisecond)
		lift()
	}},
	{"prompts crash engines", func(c *cluster, random *rand.Rand) {
		part := fmt.Sprintf("bad%x", random.Uint32())
		c.recorder.addCrashPart(part, crashLimit)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1000+random.IntN(12000))*time.Millisecond)
		defer cancel()
		c.load.sendCrashing(ctx, random, part, time.Duration(200+random.IntN(800))*time.Millisecond)
	}},
	{"instances reach no backend server", func(c *cluster, random *rand.Rand) {
		end := c.partition(cutKind(1+random.IntN(cutKinds)), 1+random.IntN(len(c.instances)), random)
		time.Sleep(time.Duration(1000+random.IntN(9000)) * time.Millisecond)
		end()
	}},
	{"backend asks for a back-off", func(c *cluster, random *rand.Rand) {
		end := c.anyBackend(random).requestBackoff(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		time.Sleep(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		end()
	}},
	{"replicas are brittle", func(c *cluster, random *rand.Rand) {
		end := c.beBrittle(random.IntN(21))
		time.Sleep(contactLimit + time.Duration(random.IntN(6000))*time.Millisecond)
		end()
	}},
	{"a request crashes backend servers", func(c *cluster, random *rand.Rand) {
		body := fmt.Sprintf("crash-%x", random.Uint32())
		c.recorder.addCrashPart(body, requestCrashLimit)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1000+random.IntN(12000))*time.Millisecond)
		defer cancel()
		c.load.sendSame(ctx, random, requestKind(random.IntN(3)), body, time.Duration(200+random.IntN(800))*time.Millisecond)
	}},
	{"store returns from an older copy", func(c *cluster, random *rand.Rand) {
		c.returnFromCopy(random, time.Duration(500+random.IntN(6000))*time.Millisecond)
	}},
	{"instances are replaced in turn", func(c *cluster, random *rand.Rand) { c.replaceInstances(random) }},
	{"backend starts again under its ID", func(c *cluster, random *rand.Rand) { c.restartBackend(c.anyBackend(random), random) }},
	{"backend says only in its answers that it leaves", func(c *cluster, random *rand.Rand) { c.leaveUnlisted(c.anyBackend(random), random) }},
	{"backend starts cold", func(c *cluster, random *rand.Rand) {
		c.replaceCold(c.anyBackend(random), time.Duration(500+random.IntN(3000))*time.Millisecond)
	}},
	{"backend turns cold", func(c *cluster, random *rand.Rand) {
		c.turnCold(c.anyBackend(random), time.Duration(500+random.IntN(4000))*time.Millisecond)
	}},
	{"data centre is evacuated", func(c *cluster, random *rand.Rand) {
		end := c.evacuate(c.site.dataCentre(random.IntN(len(c.site.dataCentres))).name)
		time.Sleep(time.Duration(500+random.IntN(7000)) * time.Millisecond)
		end()
	}},
	{"backend answers runs as not run", func(c *cluster, random *rand.Rand) {
		end := c.anyBackend(random).rejectAfterRuns(anyUnprovenStatus(random))
		time.Sleep(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		end()
	}},
}

func (c *cluster) anyInstance(random *rand.Rand) *instance {
	return c.instances[random.IntN(len(c.instances))]
}

// anyBackend returns a backend server in use. If all have crashed at once, it waits for the first that is back.
func (c *cluster) anyBackend(random *rand.Rand) *backend {
	for {
		if backends := c.allBackends(); len(backends) > 0 {
			return backends[random.IntN(len(backends))]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// allBackends returns the backend servers in use, the oldest first.
func (c *cluster) allBackends() []*backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	backends := make([]*backend, 0, len(c.backends))
	for i := 1; i <= c.lastBackendID; i++ {
		if b := c.backends[fmt.Sprintf("i-%04d", i)]; b != nil {
			backends = append(backends, b)
		}
	}
	return backends
}

// injectFaults starts faults at random intervals for the given duration. Faults may overlap.
func injectFaults(t *testing.T, c *cluster, random *rand.Rand, kinds []faultKind, duration time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		kind, faultRandom := kinds[random.IntN(len(kinds))], rand.New(rand.NewPCG(random.Uint64(), 0))
		t.Logf("starting a fault %v before the end: %s", time.Until(end).Round(time.Millisecond), kind.name)
		group.Go(func() { kind.run(c, faultRandom) })
		time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
	}
}

// checkOutcomes compares the outcomes at the callers with the requests that ran at the backend servers.
func checkOutcomes(t *testing.T, c *cluster, load *loadGenerator, measureStart time.Time) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
	checkLimits(t, c, load)
	checkCrashParts(t, c, load)
	checkPartitions(t, c, load)
	checkBackoffs(t, c)
	checkBrittle(t, c)
	checkCarriers(t, c, load)
	checkCold(t, c)
	exchanges := make([]exchange, 0, len(load.outcomes))
	served, sent, late := 0, 0, 0
	counts := make(map[int]int)
	for _, o := range load.outcomes {
		counts[o.status]++
		state := c.recorder.requests[o.id]
		exchanges = append(exchanges, o.exchange(c, state))
		if o.kind != kindLookup && state != nil && state.starts > 1 {
			t.Errorf("request %s was started %d times", o.id, state.starts)
		}
		if slices.Contains(rejectionStatuses, o.status) && state != nil && o.kind != kindLookup {
			t.Errorf("request %s ran although status %d says that it did not", o.id, o.status)
		}
		if o.endedAt.Sub(o.sentAt) > callerLimit {
			late++
		}
		c.checkRevoked(t, o, state)
		if o.sentAt.After(measureStart) && !o.runsNowhere() && c.revoked[o.key].IsZero() && !hasCrashPart(o.marks(), c.recorder.crashParts) {
			sent++
			if o.status == http.StatusOK && o.complete {
				served++
			}
		}
	}
	c.checkLost(t, exchanges)
	t.Logf("%d requests, by status %v, %d over the time limit of callers; after the faults %d of %d served",
		len(load.outcomes), counts, late, served, sent)
	if float64(served) < minServedShare*float64(sent) || sent == 0 {
		t.Errorf("%d of %d requests served from %v after the last fault on, want at least %.0f %%",
			served, sent, settleTime, 100*minServedShare)
	}
}

// checkRevoked fails the test if a request ran although it was sent more than revokeLimit after its key was revoked.
func (c *cluster) checkRevoked(t *testing.T, o outcome, state *requestState) {
	revokedAt := c.revoked[o.key]
	if state != nil && !revokedAt.IsZero() && o.sentAt.Sub(revokedAt) > revokeLimit {
		t.Errorf("request %s was sent %v after its key was revoked, and ran", o.id, o.sentAt.Sub(revokedAt))
	}
}
