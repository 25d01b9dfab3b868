package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
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
	orderSeedsFlag  = flag.String("soak.orderSeeds", "1-2", "seeds of TestOrder as `FIRST-LAST`")
	orderLengthFlag = flag.Duration("soak.orderLength", 5*time.Second, "duration of the faults in each run of TestOrder")
	orderModesFlag  = flag.String("soak.orderModes", "all", "`LIST` of what engines, networks and instances may do in TestOrder, \"all\" or \"none\"; a name with a minus takes one out")
)

// orderMode is one thing that may happen in a run of TestOrder.
type orderMode int

const (
	orderModeUnframed    orderMode = iota // half of the streams have neither a length nor chunks
	orderModeDeadline                     // engines end half of the streams in order at their deadline, the others by a reset
	orderModeExit                         // half of the engines close streams in order when their process ends, the others by a reset
	orderModeStopReset                    // a third of the streams that are stopped for a move are reset
	orderModeLate                         // answers to orders are late
	orderModeLost                         // answers to orders are lost after they were carried out
	orderModeNoRoom                       // there is no room for a copy
	orderModeNoResume                     // requests to go on from a copy are refused
	orderModeResetResume                  // requests to go on from a copy are reset
	orderModeHome                         // the homes of pools, or others, are stopped, killed and frozen
	orderModeCrash                        // engines end without leaving first
	orderModeCut                          // instances are cut off from engines, so that others carry their requests
	orderModeShort                        // some callers give a deadline before the end of the answer
	orderModeReuse                        // new engines take the addresses of engines that are gone
	orderModePosition                     // a run that goes on from a copy begins after the events that the copy holds; not in "all"
	orderModes
)

var orderModeNames = []string{
	"unframed", "deadline", "exit", "stopReset", "late", "lost", "noRoom", "noResume", "resetResume", "home", "crash", "cut", "short", "reuse", "position",
}

type orderModeSet [orderModes]bool

func (s orderModeSet) has(m orderMode) bool { return s[m] }

// parseOrderModes reads the flag -soak.orderModes.
func parseOrderModes(list string) (set orderModeSet, err error) {
	for _, name := range strings.Split(list, ",") {
		name, without := strings.CutPrefix(strings.TrimSpace(name), "-")
		switch index := slices.Index(orderModeNames, name); {
		case name == "none":
		case name == "all":
			for m := range orderModePosition {
				set[m] = true
			}
		case index >= 0:
			set[index] = !without
		default:
			return set, fmt.Errorf("unknown mode %q; there are all, none, %s", name, strings.Join(orderModeNames, ", "))
		}
	}
	return set, nil
}

const (
	orderInstances  = 7
	orderEngines    = 14
	orderLeaveTime  = 2 * time.Second // from the notice, or the removal of the entry, to the end of the process
	orderReuseTime  = 2 * time.Second // from the end of an engine until another one may take its address
	orderSettleTime = time.Second     // in which the instances get to know each other
	orderWarmTime   = 1500 * time.Millisecond
	orderTailTime   = 3 * time.Second // after the faults; streams that are open then are left by their callers
	orderLongEvery  = 60 * time.Millisecond
	timeOfDay       = "15:04:05.000"
	orderShortEvery = 200 * time.Millisecond
)

// orderSite is a deployment of three data centres in two regions whose engines are those of TestOrder.
var orderSite = site{
	dataCentres:   []dataCentre{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}},
	plainTimeouts: []time.Duration{5 * time.Second},
}

// orderPlay is one run of TestOrder.
type orderPlay struct {
	t       *testing.T
	cluster *cluster
	modes   orderModeSet
	seed    uint64
	client  *http.Client

	mu         sync.Mutex
	engines    []*orderEngine // that have not begun to leave
	byAddress  map[string]*orderEngine
	lastEngine int
	lastRun    int
	stories    map[string]*orderStory
	used       map[string]bool // handles that were used
	freed      []freedAddress
	answers    []orderResult
}

// freedAddress is the address of an engine that is gone.
type freedAddress struct {
	address string
	at      time.Time
}

// orderResult is one answer, as its caller got it.
type orderResult struct {
	story *orderStory
	seen  orderAnswerSeen
}

// TestOrder guards against streams in which an event is missing or comes twice, that join two runs, or that end as complete before their last event,
// while engines leave, runs are moved and the instances that decide about the moves end or stand still.
func TestOrder(t *testing.T) {
	t.Parallel()
	modes, err := parseOrderModes(*orderModesFlag)
	if err != nil {
		t.Fatalf("-soak.orderModes: %v", err)
	}
	first, last, ok := strings.Cut(*orderSeedsFlag, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	to := from
	if ok && err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil {
		t.Fatalf("-soak.orderSeeds: %v", err)
	}
	programs := buildReleases(t)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runOrder(t, programs, modes, seed) })
	}
}

func runOrder(t *testing.T, programs releases, modes orderModeSet, seed uint64) {
	p := &orderPlay{
		t: t, modes: modes, seed: seed, byAddress: make(map[string]*orderEngine), stories: make(map[string]*orderStory), used: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DialContext: dialCaller}},
	}
	defer p.client.CloseIdleConnections()
	p.cluster = newSiteCluster(t, orderSite, programs, seed, orderInstances)
	random := rand.New(rand.NewPCG(seed, 1))
	for n := range orderEngines {
		p.startEngine(orderSite.dataCentre(n).name)
	}
	t.Cleanup(func() {
		for _, e := range p.engineList() {
			e.exit()
		}
	})
	if !p.cluster.waitReady(10 * time.Second) {
		t.Fatal("not every instance is ready within 10 s")
	}
	time.Sleep(orderSettleTime)
	sending, stopSending := context.WithCancel(context.Background())
	reading, stopReading := context.WithCancel(context.Background())
	defer stopReading()
	defer stopSending()
	var load, faults sync.WaitGroup
	longs, shorts := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	load.Go(func() { p.sendEvery(sending, reading, orderLongEvery, func() orderDraw { return p.drawLong(longs) }) })
	load.Go(func() {
		p.sendEvery(sending, reading, orderShortEvery, func() orderDraw { return p.drawShort(shorts) })
	})
	time.Sleep(orderWarmTime)
	p.disrupt(&faults, random, time.Now().Add(*orderLengthFlag))
	stopSending()
	time.AfterFunc(orderTailTime, stopReading)
	load.Wait()
	faults.Wait()
	p.report()
}

// startEngine starts an engine in a data centre.
func (p *orderPlay) startEngine(dataCentre string) {
	p.mu.Lock()
	p.lastEngine++
	number, address := p.lastEngine, "127.0.0.1:0"
	if len(p.freed) > 0 && time.Since(p.freed[0].at) > orderReuseTime && p.modes.has(orderModeReuse) {
		address, p.freed = p.freed[0].address, p.freed[1:]
	}
	p.mu.Unlock()
	e, err := newOrderEngine(p, fmt.Sprintf("i-%04d", number), dataCentre, address, p.seed<<16+uint64(number))
	if err != nil {
		p.t.Error(err)
		return
	}
	p.mu.Lock()
	p.engines = append(p.engines, e)
	p.byAddress[e.address()] = e
	p.mu.Unlock()
	p.cluster.store.put("servers/"+e.id, e.storeEntry("ready"))
}

// engineList returns the engines that have not begun to leave.
func (p *orderPlay) engineList() []*orderEngine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

func (p *orderPlay) find(address string) *orderEngine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[address]
}

// removal is how an engine leaves.
type removal int

const (
	removalNotice removal = iota
	removalSilent         // its entry is removed, and it goes on for a while
	removalCrash
)

// remove removes an engine and returns when its process has ended.
func (p *orderPlay) remove(e *orderEngine, how removal, saysLeaving bool) {
	p.mu.Lock()
	p.engines = slices.DeleteFunc(p.engines, func(other *orderEngine) bool { return other == e })
	p.mu.Unlock()
	switch how {
	case removalNotice:
		p.cluster.store.put("servers/"+e.id, e.storeEntry("draining"))
	case removalSilent:
		p.cluster.store.put("servers/"+e.id, nil)
	}
	if how != removalCrash {
		e.mu.Lock()
		e.draining = saysLeaving
		e.mu.Unlock()
		time.Sleep(orderLeaveTime)
	}
	e.exit()
	p.cluster.store.put("servers/"+e.id, nil)
	p.mu.Lock()
	p.freed = append(p.freed, freedAddress{e.address(), time.Now()})
	p.mu.Unlock()
}

// disrupt has engines leave and come, and instances fail, until a time.
func (p *orderPlay) disrupt(group *sync.WaitGroup, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		region := []string{"north", "north", "south"}[random.IntN(3)]
		leaving := p.chooseEngines(random, region, 1+random.IntN(4))
		how := []removal{removalNotice, removalNotice, removalNotice, removalSilent, removalCrash}[random.IntN(5)]
		if how == removalCrash {
			leaving = leaving[:min(1, len(leaving))]
			if !p.modes.has(orderModeCrash) {
				how = removalNotice
			}
		}
		p.t.Logf("%s: %d engines leave in the %s, removal %d", time.Now().UTC().Format(timeOfDay), len(leaving), region, how)
		saysLeaving, replaceAfter := random.IntN(2) == 0, time.Duration(random.IntN(600))*time.Millisecond
		for _, e := range leaving {
			group.Go(func() { p.remove(e, how, saysLeaving) })
		}
		group.Go(func() {
			time.Sleep(replaceAfter)
			for _, e := range leaving {
				p.startEngine(e.dataCentre)
			}
		})
		strike, faultRandom := random.Float64(), rand.New(rand.NewPCG(random.Uint64(), 0))
		if p.modes.has(orderModeHome) && strike < 0.6 {
			group.Go(func() { p.strikeHome(faultRandom, region) })
		}
		if p.modes.has(orderModeCut) && strike > 0.8 {
			group.Go(func() { p.cut(faultRandom) })
		}
		time.Sleep(time.Duration(400+random.IntN(1400)) * time.Millisecond)
	}
}

// chooseEngines returns some engines of a region.
func (p *orderPlay) chooseEngines(random *rand.Rand, region string, count int) (chosen []*orderEngine) {
	engines := p.engineList()
	for _, index := range random.Perm(len(engines)) {
		if e := engines[index]; len(chosen) < count && orderSite.regionOf(e.dataCentre) == region {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// strikeHome stops, kills or freezes the home of a region's pool, or another instance, shortly after engines have begun to leave.
func (p *orderPlay) strikeHome(random *rand.Rand, region string) {
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	i := p.home(region)
	if i == nil || random.IntN(5) == 0 {
		i = p.cluster.anyInstance(random)
	}
	switch random.IntN(3) {
	case 0:
		p.t.Logf("%s: %s stops", time.Now().UTC().Format(timeOfDay), i.name)
		i.stop()
	case 1:
		p.t.Logf("%s: %s is killed", time.Now().UTC().Format(timeOfDay), i.name)
		i.signal(syscall.SIGKILL)
	default:
		frozen := time.Duration(300+random.IntN(2700)) * time.Millisecond
		p.t.Logf("%s: %s is frozen for %v", time.Now().UTC().Format(timeOfDay), i.name, frozen)
		i.signal(syscall.SIGSTOP)
		time.Sleep(frozen)
		i.signal(syscall.SIGCONT)
	}
}

// home returns the instance that decides for a region's pool, as the logs of the instances say; nil if they do not.
func (p *orderPlay) home(region string) *instance {
	latest, name := "", ""
	for _, i := range p.cluster.instances {
		content, err := os.ReadFile(i.log.Name())
		if err != nil {
			p.t.Logf("read the log of %s: %v", i.name, err)
			continue
		}
		for line := range bytes.Lines(content) {
			var entry struct{ Event, Pool, Home, Time string }
			if !bytes.Contains(line, []byte("homeChanged")) || json.Unmarshal(line, &entry) != nil {
				continue
			}
			if strings.HasSuffix(entry.Pool, "/"+region) && entry.Time > latest {
				latest, name = entry.Time, entry.Home
			}
		}
	}
	for _, i := range p.cluster.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// cut cuts instances off from all engines for a while.
func (p *orderPlay) cut(random *rand.Rand) {
	c := p.cluster
	p.t.Logf("%s: instances are cut off from engines", time.Now().UTC().Format(timeOfDay))
	kind := cutKind(1 + random.IntN(cutKinds))
	end := c.partition(kind, 1+random.IntN(2), random)
	defer end()
	if kind == cutResets {
		for _, e := range p.engineList() {
			for _, i := range c.instances {
				if c.partitionOf(i.ip) == cutResets {
					e.proxy.resetFrom(i.ip)
				}
			}
		}
	}
	time.Sleep(time.Duration(1000+random.IntN(3000)) * time.Millisecond)
}

// orderDraw is one request to send.
type orderDraw struct {
	path     string
	events   int
	pace     time.Duration
	deadline time.Duration
	unframed bool
	first    int // the number of the instance to try first
}

func (p *orderPlay) drawLong(random *rand.Rand) orderDraw {
	d := orderDraw{
		path: guidePrefix, events: 100 + random.IntN(151), pace: time.Duration(20+random.IntN(21)) * time.Millisecond,
		deadline: 30 * time.Second, first: random.IntN(orderInstances),
	}
	unframed, short, part := random.IntN(2) == 0, random.IntN(8) == 0, 0.2+0.7*random.Float64()
	d.unframed = unframed && p.modes.has(orderModeUnframed)
	if short && p.modes.has(orderModeShort) {
		d.deadline = time.Duration(part * float64(d.events) * float64(d.pace))
	}
	return d
}

func (p *orderPlay) drawShort(random *rand.Rand) orderDraw {
	d := p.drawLong(random)
	d.path, d.events, d.deadline = "/letter/", 1+random.IntN(10), callerLimit
	return d
}

// sendEvery sends one request per interval until sending ends, and waits for the answers until reading ends.
func (p *orderPlay) sendEvery(sending, reading context.Context, interval time.Duration, draw func() orderDraw) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		d := draw()
		group.Go(func() { p.send(reading, d) })
	}
}

// send sends a request to the first instance that takes a connection, and records the answer.
func (p *orderPlay) send(ctx context.Context, d orderDraw) {
	ctx, cancel := context.WithTimeout(ctx, d.deadline+2*time.Second)
	defer cancel()
	for try := range p.cluster.instances {
		address := p.cluster.instances[(d.first+try)%orderInstances].ip + frontPort
		p.mu.Lock()
		s := &orderStory{
			id: fmt.Sprintf("%x-%05d", p.seed, len(p.stories)+1), address: address, total: d.events, unframed: d.unframed, pace: d.pace, sentAt: time.Now(),
		}
		p.stories[s.id] = s
		p.mu.Unlock()
		seen := p.exchange(ctx, s, d)
		p.mu.Lock()
		s.note("the caller at %s ends: status %d, %d events, in order %v", address, seen.status, len(seen.pieces), seen.inOrder)
		p.answers = append(p.answers, orderResult{s, seen})
		p.mu.Unlock()
		if seen.status != 0 || ctx.Err() != nil {
			return
		}
	}
}

func (p *orderPlay) exchange(ctx context.Context, s *orderStory, d orderDraw) (seen orderAnswerSeen) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+d.path+"x", strings.NewReader("body of "+s.id))
	if err != nil {
		p.t.Error(err)
		return seen
	}
	req.GetBody = nil // Prevents the HTTP client from repeating a request on its own.
	req.Host = "soak.example"
	req.Header.Set("X-Attempt-Id", s.id)
	req.Header.Set("X-Credential", p.cluster.keys[0])
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(d.deadline.Milliseconds()))
	req.Header.Set("X-Token-Count", fmt.Sprintf("500,%d", s.total))
	req.Header.Set("X-Prompt-Prefix", firstPart+","+s.id+":21")
	resp, err := p.client.Do(req)
	if err != nil {
		return seen
	}
	defer resp.Body.Close()
	seen.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // A refusal that is cut off is a refusal.
		return seen
	}
	seen.pieces, seen.inOrder = readPieces(resp.Body)
	return seen
}

// readPieces reads events until the end and reports whether that is in order.
func readPieces(body io.Reader) (pieces []orderPiece, inOrder bool) {
	scanner := bufio.NewScanner(body)
	number := 0
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			request, runText, _ := strings.Cut(text, " ")
			run, _ := strconv.Atoi(runText)
			pieces = append(pieces, orderPiece{request, run, number})
		}
	}
	return pieces, scanner.Err() == nil
}

// story returns what is known of a request; one that no caller has sent is a violation.
func (p *orderPlay) story(id string) *orderStory {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stories[id]
	if s == nil {
		p.t.Errorf("an engine got the request %q, which no caller has sent", id)
		s = &orderStory{id: id, sentAt: time.Now(), pace: time.Millisecond}
		p.stories[id] = s
	}
	return s
}

// newRun records a run that begins after an event.
func (p *orderPlay) newRun(s *orderStory, e *orderEngine, client string, parent *orderRun, begin int) *orderRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRun++
	run := &orderRun{
		story: s, number: p.lastRun, engine: e.id, client: client, parent: parent, begin: begin, made: begin, unframed: s.unframed,
		deadline: time.Now().Add(time.Hour), stop: make(chan struct{}), quiet: make(chan struct{}),
	}
	s.runs = append(s.runs, run)
	origin := "from the beginning"
	if parent != nil {
		origin = fmt.Sprintf("from a copy of run %d", parent.number)
	}
	s.note("run %d at %s for %s, %s, after event %d of %d, unframed %v", run.number, e.id, client, origin, begin, s.total, run.unframed)
	return run
}

// make records the next event of a run.
func (p *orderPlay) make(run *orderRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.made++
}

func (p *orderPlay) endRun(run *orderRun, end orderEnd, inOrder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.end, run.inOrder = end, inOrder
	run.story.note("run %d at %s ends after event %d: %s, in order %v", run.number, run.engine, run.made, end, inOrder)
}

// handle returns a new handle for a copy of a run, how many events it holds, and whether the run was stopped for it.
func (p *orderPlay) handle(run *orderRun) (handle string, made int, stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.handles++
	return fmt.Sprintf("h%d-%d", run.number, run.handles), run.made, run.end == orderEndStopped
}

// use marks a handle as used. It returns false if it was before.
func (p *orderPlay) use(from string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used[from]
	p.used[from] = true
	return !used
}

// resumed records a request that an engine got and how it is answered.
func (p *orderPlay) resumed(s *orderStory, e *orderEngine, client, from, position string, answer orderAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == "" {
		if answer != orderAnswerOK {
			s.note("request at %s from %s: %s", e.id, client, answer)
		}
		return
	}
	s.resumes = append(s.resumes, orderResume{e.id, position, answer, time.Now()})
	s.note("request to go on from %s after %q at %s from %s: %s", from, position, e.id, client, answer)
}

// ordered records an order.
func (p *orderPlay) ordered(s *orderStory, e *orderEngine, client string, target *orderEngine, run *orderRun, last bool) *orderOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := &orderOrder{story: s, number: len(s.orders) + 1, engine: e.id, client: client, run: run, last: last, at: time.Now(), target: "an unknown engine"}
	if target != nil {
		o.target = target.id
	}
	s.orders = append(s.orders, o)
	s.note("order %d at %s from %s: copy to %s, last %v", o.number, e.id, client, o.target, last)
	return o
}

func (p *orderPlay) answered(o *orderOrder, answer orderAnswer, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.answer, o.lost, o.answeredAt = answer, lost, time.Now()
	o.story.note("order %d is answered %s, lost %v", o.number, answer, lost)
}

// readLogs adds to the stories what the instances have logged about moves. The lock must be held.
func (p *orderPlay) readLogs() {
	events := []string{"moveFailed", "moveIncomplete", "runMoved", "detourFailed", "requestEnded"}
	for _, i := range p.cluster.instances {
		content, err := os.ReadFile(i.log.Name())
		if err != nil {
			p.t.Logf("read the log of %s: %v", i.name, err)
			continue
		}
		for line := range bytes.Lines(content) {
			var entry orderLogLine
			if json.Unmarshal(line, &entry) != nil || !slices.Contains(events, entry.Event) {
				continue
			}
			if s := p.stories[entry.Request]; s != nil {
				s.logged = append(s.logged, entry)
				s.timeline = append(s.timeline, fmt.Sprintf("%8.3f     %s logs %s: %s %s (%s to %s)", entry.Time.Sub(s.sentAt).Seconds(), i.name, entry.Event, entry.Msg,
					entry.Error, entry.Source, entry.Target))
			}
		}
	}
	for _, s := range p.stories {
		slices.SortStableFunc(s.timeline, func(a, b string) int { return strings.Compare(a[:timelineWidth], b[:timelineWidth]) })
	}
}

// writeStories writes what is known of all requests beside the logs of the instances. The lock must be held.
func (p *orderPlay) writeStories() {
	var text strings.Builder
	for _, result := range p.answers {
		s := result.story
		verdicts := s.judge(result.seen)
		fmt.Fprintf(&text, "%s at %s, sent %s: %v | %s\n\t%s\n", s.id, s.address, s.sentAt.UTC().Format(time.RFC3339Nano), verdicts, s.cause(),
			strings.Join(s.timeline, "\n\t"))
	}
	path := filepath.Join(filepath.Dir(p.cluster.instances[0].log.Name()), "stories.txt")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		p.t.Logf("write the stories: %v", err)
	}
}

// report prints each violation with what the engines know of it, and how often each occurs.
func (p *orderPlay) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readLogs()
	p.writeStories()
	counts, cuts, moved, carried := make([]int, orderVerdicts), make(map[string]int), 0, 0
	for _, result := range p.answers {
		s := result.story
		verdicts := s.judge(result.seen)
		if len(s.runs) > s.freshRuns() {
			moved++
		}
		if slices.ContainsFunc(s.runs, func(r *orderRun) bool { return r.client != hostOf(s.address) }) {
			carried++
		}
		for _, v := range verdicts {
			counts[v]++
			cause := s.cause()
			switch {
			case v.broken():
				p.t.Errorf("ORDER seed %d | %s | %s | request %s got %d of %d events\n\t%s", p.seed, v, cause, s.id, len(result.seen.pieces), s.total,
					strings.Join(s.timeline, "\n\t"))
			case v == orderCut:
				cuts[cause]++
			}
		}
	}
	var text []string
	for v, count := range counts {
		text = append(text, fmt.Sprintf("%d %s", count, orderVerdict(v)))
	}
	p.t.Logf("seed %d: %d requests: %s; %d moved, %d through another instance", p.seed, len(p.answers), strings.Join(text, ", "), moved, carried)
	for cause, count := range cuts {
		p.t.Logf("seed %d: cut off: %d | %s", p.seed, count, cause)
	}
	if counts[orderWhole] == 0 || moved == 0 {
		p.t.Errorf("%d streams are whole and %d were moved, so that the run shows nothing", counts[orderWhole], moved)
	}
}
