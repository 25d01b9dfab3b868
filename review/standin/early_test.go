package standin

import (
	"fmt"
	"time"
)

// The scenario "early": a replica answers before it has read a long body, keeps the connection and reads on.
func init() {
	replica := func(id, zone string) engineConfig {
		return engineConfig{id: id, zone: zone, pace: 40 * time.Millisecond, firstEvent: 50 * time.Millisecond}
	}
	scenarios["early"] = struct {
		config deploymentConfig
		play   scenario
	}{
		deploymentConfig{
			instanceZones: []string{"split-a", "rijeka-b", "osijek-a"},
			engines:       []engineConfig{replica("i-a", "split-a"), replica("i-b", "rijeka-b")},
		},
		playEarly,
	}
}

const (
	earlyRequests = 6
	earlyEvents   = 50
	// longBodyBytes is below the limit that the operator publishes.
	longBodyBytes = 200_000
)

func playEarly(d *deployment, trouble bool) (violations []string, err error) {
	for _, e := range d.engines {
		e.early = trouble
	}
	for n := range earlyRequests {
		id := fmt.Sprintf("long-body-%d", n)
		body := &pacedBody{atOnce: 100_000, length: longBodyBytes, step: 2000, pause: 10 * time.Millisecond}
		d.generateWith(id, d.instances[n%len(d.instances)].front(), 1200, earlyEvents*eventTokens, 39*time.Second, body, longBodyBytes)
		d.fleet.mu.Lock()
		received := d.fleet.bodies[id]
		d.fleet.mu.Unlock()
		if received == nil {
			return nil, fmt.Errorf("%w: %s did not reach a replica", errNotRun, id)
		}
		if other := received.otherBytes(); other != "" {
			violations = append(violations, fmt.Sprintf("UNASKED: the replica that answered %s read on, and %s", id, other))
		}
	}
	return violations, nil
}
