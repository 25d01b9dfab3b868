package soak

import (
	"net/http"
	"testing"
	"time"
)

// sayLeaving makes the backend server say in all answers that it leaves, from now on.
func (b *backend) sayLeaving() {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	b.saysLeaving = true
}

// TestServerThatSaidItLeavesGetsMoreRequests guards against instances that go on sending to a server which says that it
// leaves only in its answers, because the store does not know it.
func TestServerThatSaidItLeavesGetsMoreRequests(t *testing.T) {
	c, load, stop := startLoad(t, buildReleases(t), *countFlag)
	leaving := make(map[bool]bool) // by whether it is an engine
	for _, b := range c.allBackends() {
		if !leaving[b.isEngine] {
			leaving[b.isEngine] = true
			b.sayLeaving()
		}
	}
	time.Sleep(drainLimit + 4*time.Second)
	stop()
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
	for _, o := range load.outcomes {
		if o.status != http.StatusOK || !o.complete {
			t.Errorf("request %s of kind %d: status %d, complete %v", o.id, o.kind, o.status, o.complete)
		}
	}
}
