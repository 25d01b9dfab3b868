package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host       = "ficu95.example"
	key        = "xd9dnn2ctnfzs989anu6"
	deadline   = 6 * time.Second
	maxRetries = 3
	retryPause = 500 * time.Millisecond
)

// attempt is one request: a client attempt with its own ID.
type attempt struct {
	id, path string
	// request is the ID of the first attempt of the same request; method is its method.
	request, method string
	sent            time.Time
	answered        time.Time
	status          int // 0 without an answer
	sealed          bool
	whole           bool
	body            string
}

func (a *attempt) served() bool { return a.status == http.StatusOK && a.sealed && a.whole }

// clients send requests at a rate, through connections that they keep.
type clients struct {
	system *system
	record *record
	client *http.Client
	fresh  *http.Client // uses a new connection for each request
	group  sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	attempts  []*attempt
}

func newClients(s *system) *clients {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := func(fresh bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: fresh, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
		}}
	}
	c := &clients{system: s, record: s.record, client: transport(false), fresh: transport(true)}
	c.resolve()
	return c
}

// resolve asks up to three machines for addresses.
func (c *clients) resolve() {
	asker := http.Client{Timeout: time.Second}
	for range 3 {
		m := c.system.machines[mathrand.IntN(len(c.system.machines))]
		resp, err := asker.Get("http://" + m.address(directoryOffset) + "/resolve?name=" + host + "&region=attiki&zone=attiki-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			c.mu.Lock()
			c.addresses = answer.Addresses
			c.mu.Unlock()
			return
		}
	}
}

// address returns one of the addresses at random, other than those that failed if there is one.
func (c *clients) address(failed []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []string
	for _, address := range c.addresses {
		if !strings.Contains(strings.Join(failed, " "), address) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		candidates = c.addresses
	}
	if len(candidates) == 0 {
		return c.system.machines[0].address(frontOffset)
	}
	return candidates[mathrand.IntN(len(candidates))]
}

// run sends requests at a rate until a time.
func (c *clients) run(until time.Time, perSecond float64, paths func() (method, path string)) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	c.group.Go(func() {
		for ctx.Err() == nil {
			c.resolve()
			time.Sleep(time.Second)
		}
	})
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(mathrand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		method, path := paths()
		c.group.Go(func() { c.request(method, path) })
	}
}

// request sends one request with its retries.
func (c *clients) request(method, path string) {
	until := time.Now().Add(deadline)
	var failed []string
	first := ""
	for try := range maxRetries + 1 {
		address := c.address(failed)
		client := c.client
		if try > 0 {
			client = c.fresh // Each retry uses a new connection.
		}
		a, retry, after := c.try(client, address, method, path, time.Until(until))
		if first == "" {
			first = a.id
		}
		a.request = first
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if !retry || time.Until(until) < after+retryPause {
			return
		}
		if a.status == 0 {
			failed = append(failed, address)
		}
		time.Sleep(after)
	}
}

// try sends one attempt. It reports whether the client may retry, and after which time.
func (c *clients) try(client *http.Client, address, method, path string, left time.Duration) (a *attempt, retry bool, after time.Duration) {
	a = &attempt{id: newID(), path: path, method: method, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(bytes.Repeat([]byte("x"), 600))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("X-Credential", key)
	c.record.log("client sends %s %s %s to %s", a.id, method, path, address)
	resp, err := client.Do(req)
	if err != nil {
		a.answered = time.Now()
		c.record.log("client has no answer to %s: %v", a.id, err)
		notSent := errors.Is(err, syscall.ECONNREFUSED)
		return a, notSent || method == http.MethodGet, retryPause
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	a.answered, a.status, a.sealed, a.whole, a.body = time.Now(), resp.StatusCode, resp.Header.Get("X-Replica-Seal") != "", err == nil, string(content)
	c.record.log("client gets %d for %s, sealed %v, whole %v", a.status, a.id, a.sealed, a.whole)
	after = retryPause
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = min(time.Duration(seconds*float64(time.Second)), (left-time.Since(a.sent))/3)
	}
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return a, true, after
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return a, method == http.MethodGet, after
	default:
		return a, false, 0
	}
}

// wait waits for the requests in progress.
func (c *clients) wait() { c.group.Wait() }

// sentIn returns the attempts that were sent in a span.
func (c *clients) sentIn(from, until time.Time) []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sent []*attempt
	for _, a := range c.attempts {
		if !a.sent.Before(from) && a.sent.Before(until) {
			sent = append(sent, a)
		}
	}
	return sent
}

// share returns how many of the attempts were served, and their share.
func share(attempts []*attempt) (served int, part float64) {
	for _, a := range attempts {
		if a.served() {
			served++
		}
	}
	return served, float64(served) / float64(max(len(attempts), 1))
}

func newID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // It never fails.
	return hex.EncodeToString(id)
}
