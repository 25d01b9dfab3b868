package soak

import (
	"net/http"
	"testing"
	"time"
)

// The users' bounds for a backend server that asks an instance for a back-off: from backoffGrace after the request that it
// rejected until the end of the back-off, at most backoffSlack requests of that instance reach it.
const (
	backoffGrace = 500 * time.Millisecond
	backoffSlack = 2
)

// backoffPhase is a time in which a backend server rejects all requests and asks for a back-off.
type backoffPhase struct {
	backend  string
	length   time.Duration // of the back-off that is asked for
	backoffs map[string][]*backoff
}

// backoff is a back-off that a backend server has asked of one instance.
type backoff struct {
	from     time.Time
	arrivals int // within its bounds
}

// requestBackoff makes the backend server reject all requests until the returned function is called.
func (b *backend) requestBackoff(length time.Duration) (end func()) {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	phase := &backoffPhase{backend: b.id, length: length, backoffs: make(map[string][]*backoff)}
	b.backoff = phase
	b.recorder.backoffs = append(b.recorder.backoffs, phase)
	return func() {
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		if b.backoff == phase {
			b.backoff = nil
		}
	}
}

// recordBackoff records a request of an instance under the back-offs that it has been asked for, and returns the back-off
// to ask for now, zero for none. The lock of the recorder must be held.
func (b *backend) recordBackoff(ip string) time.Duration {
	now := time.Now()
	for _, phase := range b.recorder.backoffs {
		if phase.backend != b.id {
			continue
		}
		for _, r := range phase.backoffs[ip] {
			if now.After(r.from.Add(backoffGrace)) && now.Before(r.from.Add(phase.length)) {
				r.arrivals++
			}
		}
	}
	if b.backoff == nil {
		return 0
	}
	b.backoff.backoffs[ip] = append(b.backoff.backoffs[ip], &backoff{from: now})
	return b.backoff.length
}

// checkBackoffs fails the test if an instance sent a backend server requests during a back-off. Instances with a fault of
// their own do not count.
func checkBackoffs(t *testing.T, c *cluster) {
	for _, phase := range c.recorder.backoffs {
		asked, most := 0, 0
		for ip, backoffs := range phase.backoffs {
			for _, r := range backoffs {
				asked++
				if !c.disturbed(ip+frontPort, r.from) && !c.disturbed(ip+frontPort, r.from.Add(phase.length)) {
					most = max(most, r.arrivals)
				}
			}
		}
		t.Logf("%s asked %d times for a back-off of %v and got at most %d requests in one", phase.backend, asked, phase.length, most)
		if most > backoffSlack {
			t.Errorf("%s asked an instance for a back-off of %v and got %d requests in it, want at most %d", phase.backend, phase.length,
				most, backoffSlack)
		}
	}
}

// TestServerThatRequestedBackoffGetsMoreRequests guards against instances that go on sending to a server which has asked
// them for back-off, that fail what the others could serve, and that make the callers of a service whose replicas all ask
// for one wait or return all at once.
func TestServerThatRequestedBackoffGetsMoreRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		backingOff func(isEngine bool, index int) bool
		serves     bool // whether all requests can be served
	}{
		{"one replica and one engine", func(_ bool, index int) bool { return index == 0 }, true},
		{"all replicas", func(isEngine bool, _ int) bool { return !isEngine }, false},
	}
	programs := buildReleases(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, load, stop := startLoad(t, programs, *countFlag)
			index := make(map[bool]int)
			began := time.Now()
			for _, b := range c.allBackends() {
				if test.backingOff(b.isEngine, index[b.isEngine]) {
					defer b.requestBackoff(3 * time.Second)()
				}
				index[b.isEngine]++
			}
			time.Sleep(8 * time.Second)
			stop()
			c.recorder.mu.Lock()
			checkBackoffs(t, c)
			for _, text := range c.recorder.violations {
				t.Error(text)
			}
			served, refused, slow := 0, 0, 0
			for _, o := range load.outcomes {
				switch {
				case o.sentAt.Before(began):
				case o.status == http.StatusOK && o.complete:
					served++
				case o.status == http.StatusServiceUnavailable && c.recorder.requests[o.id] == nil:
					refused++
					if o.endedAt.Sub(o.sentAt) > time.Second {
						slow++
					}
				default:
					t.Errorf("request %s of kind %d: status %d, complete %v", o.id, o.kind, o.status, o.complete)
				}
			}
			c.recorder.mu.Unlock()
			t.Logf("%d served, %d refused, %d of them after more than a second", served, refused, slow)
			if test.serves && refused > 0 || slow > 0 {
				t.Errorf("%d requests refused, %d after more than a second", refused, slow)
			}
		})
	}
}
