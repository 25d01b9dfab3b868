package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// result is what one client attempt got.
type result struct {
	attempt string
	sentAt  time.Time
	status  int // 0 if the connection failed or was closed
	seal    string
	body    string
	retryIn time.Duration
	err     error
}

func (r result) served() bool { return r.status == http.StatusOK && r.seal != "" }

var attempts atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// send sends one client attempt to an instance on a new connection.
func send(front, method, host, path, key string, deadline time.Duration) result {
	return sendAs(newAttemptID(), front, method, host, path, key, deadline)
}

// sendAs is send with the ID of the attempt.
func sendAs(id, front, method, host, path, key string, deadline time.Duration) result {
	r := result{attempt: id, sentAt: time.Now()}
	client := http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	in, err := http.NewRequest(method, "http://"+front+path, nil)
	if err != nil {
		r.err = err
		return r
	}
	in.Host = host
	in.Header.Set("X-Attempt-Id", r.attempt)
	in.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		in.Header.Set("X-Credential", key)
	}
	resp, err := client.Do(in)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal, r.body = resp.StatusCode, resp.Header.Get("X-Replica-Seal"), string(body)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryIn = time.Duration(seconds * float64(time.Second))
	}
	return r
}

// addressBook holds what the directories said last.
type addressBook struct {
	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// pick returns the address of an instance, asking the directories if the last answer is too old.
func (b *addressBook) pick(c *cluster, host string, avoid map[string]bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.until) {
		for _, at := range rand.Perm(len(c.instances))[:min(3, len(c.instances))] {
			i := c.instances[at]
			if addresses, ttl, ok := resolve(i, host); ok {
				b.addresses, b.until = addresses, time.Now().Add(ttl)
				break
			}
		}
	}
	var allowed []string
	for _, address := range b.addresses {
		if !avoid[address] {
			allowed = append(allowed, address)
		}
	}
	if len(allowed) == 0 {
		allowed = b.addresses
	}
	if len(allowed) == 0 {
		return ""
	}
	return allowed[rand.IntN(len(allowed))]
}

func resolve(i *instance, host string) (addresses []string, ttl time.Duration, ok bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {i.region}, "zone": {i.zone}}
	resp, err := client.Get("http://" + i.directory() + "/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, false
	}
	defer resp.Body.Close()
	var doc struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&doc) != nil || len(doc.Addresses) == 0 {
		return nil, 0, false
	}
	return doc.Addresses, time.Duration(min(doc.TTLS, 5) * float64(time.Second)), true
}
