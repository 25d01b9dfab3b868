package standin

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The scenario "shutdown": an instance gets SIGTERM, and a client that keeps an answer to its look-up for three times its validity sends
// more requests.
func init() {
	replica := func(id, zone string) engineConfig {
		return engineConfig{id: id, zone: zone, pace: 52 * time.Millisecond, firstEvent: 500 * time.Millisecond}
	}
	scenarios["shutdown"] = struct {
		config deploymentConfig
		play   scenario
	}{
		deploymentConfig{
			instanceZones: []string{"split-a", "rijeka-b", "osijek-a"},
			engines:       []engineConfig{replica("i-a", "split-a"), replica("i-b", "rijeka-b")},
		},
		playShutdown,
	}
}

// outputTokens is the output of the requests. The replicas need 0.5 s and 75 times 52 ms for it.
const outputTokens = 300

// sendTimes are those of the requests after the signal.
var sendTimes = []time.Duration{3200 * time.Millisecond, 3300 * time.Millisecond, 3400 * time.Millisecond, 3500 * time.Millisecond}

func playShutdown(d *deployment, trouble bool) (violations []string, err error) {
	stopped := d.instances[0]
	addresses, ttl, err := d.resolve(d.instances[1], "split-a", "jadran")
	if err != nil || !slices.Contains(addresses, stopped.front()) {
		return nil, fmt.Errorf("%w: the look-up names %v: %v", errNotRun, addresses, err)
	}
	resolvedAt := time.Now()
	d.record.add("the client may use %v for %v, and does so for three times as long", addresses, ttl)
	signaledAt := time.Now()
	if trouble {
		d.record.add("%s gets SIGTERM", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	outcomes := make([]outcome, len(sendTimes))
	var group sync.WaitGroup
	for n, after := range sendTimes {
		time.Sleep(time.Until(signaledAt.Add(after)))
		if time.Since(resolvedAt) > 3*ttl {
			return nil, fmt.Errorf("%w: the answer to the look-up is too old", errNotRun)
		}
		group.Go(func() {
			outcomes[n] = d.generate(fmt.Sprintf("late-%d", n), stopped.front(), 1000, outputTokens, 39*time.Second)
		})
	}
	group.Wait()
	for _, o := range outcomes {
		d.fleet.mu.Lock()
		run := d.fleet.runs[o.id]
		d.fleet.mu.Unlock()
		refused := o.status == 503 || o.status == 429
		complete := o.status != 0 && o.whole && (o.status != 200 || len(o.events) == outputTokens/eventTokens)
		if run != nil && !refused && !complete && !o.gaveUp {
			violations = append(violations, fmt.Sprintf("LOST: %s was sent %d ms after the signal and passed on to a replica, and its connection ended after "+
				"%d of %d events, %d ms after the signal", o.id, o.sentAt.Sub(signaledAt).Milliseconds(), len(o.events), outputTokens/eventTokens,
				o.endAt.Sub(signaledAt).Milliseconds()))
		}
	}
	return violations, nil
}
