package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playOrder drains engines and stops, at the same time, the machine that decides where their runs go.
func playOrder(p *play) (broken bool, err error) {
	const (
		machines   = 9
		perZone    = 4 // engines
		perSecond  = 4
		calm       = 10 * time.Second
		rounds     = 3
		interval   = 9 * time.Second
		drained    = 3 // of 12 engines, 0.25 of them
		exitsAfter = 5 * time.Second
		service    = "letters"
	)
	set := &engineSet{byAddress: make(map[string]*engine)}
	var engines []*engine
	started := 0
	start := func(zone string) error {
		e, err := newEngine(fmt.Sprintf("i-%d", started), service, zone, p.record, p.store, set)
		if err != nil {
			return err
		}
		started++
		engines = append(engines, e)
		return nil
	}
	for range perZone {
		for _, zone := range zones {
			if err := start(zone); err != nil {
				return false, err
			}
		}
	}
	p.store.put("op/config", engineConfiguration(service))
	s, err := newSystem(p.program, p.dir, p.store, p.record, machines)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := &streamClients{clients: newClients(s)}
	began := time.Now()
	length := calm + rounds*interval
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(began.Add(length), perSecond)
	}()
	time.Sleep(time.Until(began.Add(calm)))
	for round := 0; round < rounds && p.trouble; round++ {
		region := zones[0][:strings.IndexByte(zones[0], '-')]
		home := s.home("pool/" + service + "/" + region)
		if home == nil {
			return false, fmt.Errorf("no machine decides for %s", region)
		}
		p.record.say("%.3f s: %d engines drain, and %s is stopped", p.record.at(time.Now()), drained, home.name)
		var leaving []*engine
		for n := 0; len(leaving) < drained; n++ {
			if e := engines[n]; strings.HasPrefix(e.zone, region) {
				leaving = append(leaving, e)
			}
		}
		for _, e := range leaving {
			e.drain()
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		home.signal(syscall.SIGTERM)
		for _, e := range leaving {
			if err := start(e.zone); err != nil {
				return false, err
			}
		}
		time.AfterFunc(exitsAfter, func() {
			for _, e := range leaving {
				e.exit()
			}
		})
		engines = without(engines, leaving)
		time.Sleep(time.Until(began.Add(calm + time.Duration(round+1)*interval)))
	}
	<-done
	c.group.Wait()
	return c.judge(p.record), nil
}

func without(engines, removed []*engine) (rest []*engine) {
	for _, e := range engines {
		gone := false
		for _, r := range removed {
			gone = gone || r == e
		}
		if !gone {
			rest = append(rest, e)
		}
	}
	return rest
}

func engineConfiguration(service string) map[string]any {
	letters := route("/letter/", "streaming", service, 1)
	letters["timeoutMs"], letters["targetLatencyMs"], letters["gapTargetMs"], letters["sticky"] = 39000, 1800, 180, true
	config := configuration(7, []map[string]any{letters})
	config["services"] = []map[string]any{{
		"name": service, "healthPath": "/health", "maxConnections": 252, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kvCapacity": engineTokens, "kvTokenBytes": tokenBytes, "linkMbps": float64(linkMbps), "moves": true, "backups": false,
			"stride": tokensPerEvent, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": handleTime.Seconds(),
			"models": []map[string]any{{"name": "m"}},
		},
	}}
	return config
}

// home returns the machine that decides for a pool, as the logs of the machines say.
func (s *system) home(pool string) *machine {
	latest, name := "", ""
	for _, m := range s.machines {
		content, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			var entry struct{ Event, Pool, Home, Time string }
			if !strings.Contains(line, "homeChanged") || json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			if entry.Event == "homeChanged" && entry.Pool == pool && entry.Time > latest {
				latest, name = entry.Time, entry.Home
			}
		}
	}
	for _, m := range s.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// streamClients read streams.
type streamClients struct {
	*clients
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []*streamAnswer
}

// streamAnswer is what a client has got of one stream.
type streamAnswer struct {
	id     string
	status int
	events int
	gap    bool // an event is missing or comes twice
	whole  bool // the answer has ended in order
}

func (c *streamClients) run(until time.Time, perSecond float64) {
	for next := time.Now(); time.Now().Before(until); time.Sleep(time.Until(next)) {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		c.resolve()
		c.group.Go(c.read)
	}
}

func (c *streamClients) read() {
	const longest, shortPrompt, spread, mostOut = 39 * time.Second, 3000, 3000, 960
	a := &streamAnswer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	address := c.address(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/letter/2f", strings.NewReader(strings.Repeat("x", 2600)))
	if err != nil {
		panic(err)
	}
	req.GetBody, req.Host = nil, host
	tokens := shortPrompt + rand.IntN(spread)
	for name, value := range map[string]string{
		"X-Attempt-Id": a.id, "X-Deadline-Ms": strconv.FormatInt(longest.Milliseconds(), 10), "X-Credential": key, "X-Model": "m",
		"X-Token-Count":   fmt.Sprintf("%d,%d", tokens, mostOut),
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%s:%d", a.id, tokens-79),
	} {
		req.Header.Set(name, value)
	}
	c.record.log("client sends %s to %s", a.id, address)
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
		c.record.log("client has got %d with %d of %d events for %s, whole %v, gap %v", a.status, a.events, eventsOf(a.id), a.id, a.whole, a.gap)
	}()
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.events++
			number, _ := strconv.Atoi(strings.TrimSpace(id))
			a.gap = a.gap || number != a.events
		}
		if err != nil {
			a.whole = err == io.EOF
			return
		}
	}
}

// judge reports whether a stream has ended as complete before its last piece, or has a gap.
func (c *streamClients) judge(record *record) (broken bool) {
	short, gaps, cut, refused, whole := 0, 0, 0, 0, 0
	for _, a := range c.answers {
		switch {
		case a.gap:
			gaps++
			record.say("%s: a piece is missing or comes twice", a.id)
		case a.status != http.StatusOK:
			refused++
		case !a.whole:
			cut++
		case a.events < eventsOf(a.id):
			short++
			record.say("%s ends as complete after %d of %d pieces", a.id, a.events, eventsOf(a.id))
		default:
			whole++
		}
	}
	record.say("%d streams: %d whole, %d without a success, %d cut off, %d complete before their last piece, %d with gaps",
		len(c.answers), whole, refused, cut, short, gaps)
	return short+gaps > 0
}
