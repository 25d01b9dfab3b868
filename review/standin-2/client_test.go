package driver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	err     error
}

func (r result) served() bool { return r.status == http.StatusOK && r.seal != "" }

var attempts atomic.Uint64

func newAttemptID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// send sends one client attempt to an instance on a new connection.
func send(front, method, path, key string, deadline time.Duration) result {
	r := result{attempt: newAttemptID(), sentAt: time.Now()}
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
	return r
}
