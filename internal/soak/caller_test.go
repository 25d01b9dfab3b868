package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is what a caller asks for.
type kind int

const (
	kindLetter kind = iota
	kindCharge
	kindLookup
)

// outcome is what a caller saw of one request.
type outcome struct {
	id      string
	kind    kind
	key     string
	sentAt  time.Time
	status  int // 0 for a connection that broke
	whole   bool
	entry   string // the instance that took the request
	endedAt time.Time
}

// callers send requests and check the answers.
type callers struct {
	cluster *cluster
	client  *http.Client

	mu       sync.Mutex
	outcomes []outcome
	serial   int
}

func newCallers(c *cluster) *callers {
	return &callers{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// run sends requests at a rate until ctx ends, then waits for the last answers.
func (c *callers) run(ctx context.Context, random *rand.Rand, interval time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		what, key := kind(random.IntN(3)), c.cluster.keys[random.IntN(len(c.cluster.keys))]
		events, at := 20+random.IntN(250), random.IntN(len(c.cluster.instances))
		group.Go(func() { c.ask(what, key, events, at) })
	}
}

// lookup asks an instance for addresses, and the next one if it does not answer.
func (c *callers) lookup(first int) (string, bool) {
	for i := range c.cluster.instances {
		instance := c.cluster.instances[(first+i)%len(c.cluster.instances)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		address, ok := c.lookupAt(ctx, instance.ip)
		cancel()
		if ok {
			return address, true
		}
	}
	return "", false
}

func (c *callers) lookupAt(ctx context.Context, ip string) (string, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ip+lookupPort+"/resolve?region=north&zone=north-a", nil)
	if err != nil {
		return "", false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var answer struct{ Addresses []string }
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return "", false
	}
	return answer.Addresses[0], true
}

func (c *callers) ask(what kind, key string, events, at int) {
	c.mu.Lock()
	c.serial++
	o := outcome{id: fmt.Sprintf("%x-%06d", c.cluster.seed, c.serial), kind: what, key: key}
	c.mu.Unlock()
	entry, ok := c.lookup(at)
	if !ok {
		return
	}
	o.entry, o.sentAt = entry, time.Now()
	c.send(&o, entry, events)
	o.endedAt = time.Now()
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
}

func (c *callers) send(o *outcome, entry string, events int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	paths := []string{"/letter/x", "/charge/x", "/lookup/x"}
	method := http.MethodPost
	if o.kind == kindLookup {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+paths[o.kind], strings.NewReader("body of "+o.id))
	if err != nil {
		return
	}
	req.GetBody = nil // The client must not send a request again by itself.
	req.Host = "soak.example"
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Credential", o.key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerLimit.Milliseconds()))
	if o.kind == kindLetter {
		req.Header.Set("X-Token-Count", fmt.Sprintf("500,%d", events))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if o.kind == kindLetter {
		o.whole = c.readLetter(o, resp.Body, events)
		return
	}
	body, err := io.ReadAll(resp.Body)
	o.whole = err == nil
	if o.whole && string(body) != "answer to "+o.id {
		c.cluster.ledger.fault("request %s got the answer %q", o.id, body)
	}
}

// readLetter checks that each event comes once and in order, and that an answer that looks complete is.
func (c *callers) readLetter(o *outcome, body io.Reader, events int) bool {
	scanner := bufio.NewScanner(body)
	next := 1
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		if want := fmt.Sprintf("data: %s-%d", o.id, next); line != want {
			c.cluster.ledger.fault("request %s got %q, want %q", o.id, line, want)
		}
		next++
	}
	if scanner.Err() != nil {
		return false
	}
	if next != events+1 {
		c.cluster.ledger.fault("request %s looks complete after %d of %d events", o.id, next-1, events)
	}
	return true
}
