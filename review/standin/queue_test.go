package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The scenario "queue": an instance gets SIGTERM while generations wait there for an engine with room.
func init() {
	replica := func(id, zone string) engineConfig {
		return engineConfig{id: id, zone: zone, pace: 40 * time.Millisecond, firstEvent: 500 * time.Millisecond}
	}
	scenarios["queue"] = struct {
		config deploymentConfig
		play   scenario
	}{
		deploymentConfig{
			instanceZones: []string{"split-a", "rijeka-b", "osijek-a"},
			engines:       []engineConfig{replica("i-a", "split-a"), replica("i-b", "rijeka-b")},
		},
		playQueue,
	}
}

const (
	// The first requests fill the memory of the replicas, 34,307 tokens each, for 12 s; the others wait.
	fillingRequests = 12
	waitingRequests = 6
	queuePrompt     = 6000
	queueEvents     = 300
)

func playQueue(d *deployment, trouble bool) (violations []string, err error) {
	var group sync.WaitGroup
	outcomes := make([]outcome, fillingRequests+waitingRequests)
	send := func(n int, i *instance) {
		group.Go(func() {
			outcomes[n] = d.generate(fmt.Sprintf("letter-%d", n), i.front(), queuePrompt, queueEvents*eventTokens, 39*time.Second)
		})
		time.Sleep(50 * time.Millisecond)
	}
	for n := range fillingRequests {
		send(n, d.instances[1])
	}
	time.Sleep(time.Second)
	stopped := d.instances[0]
	for n := range waitingRequests {
		send(fillingRequests+n, stopped)
	}
	time.Sleep(500 * time.Millisecond)
	signaledAt := time.Now()
	if trouble {
		d.record.add("%s gets SIGTERM", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	group.Wait()
	for _, o := range outcomes[fillingRequests:] {
		if o.status == 0 && !o.gaveUp && o.endAt.Sub(o.sentAt) > lossSlack && o.endAt.Sub(signaledAt) < grace+time.Second {
			violations = append(violations, fmt.Sprintf("LOST: the connection of %s was closed without an answer %d ms after the SIGTERM, %d ms after it was "+
				"sent (%v)", o.id, o.endAt.Sub(signaledAt).Milliseconds(), o.endAt.Sub(o.sentAt).Milliseconds(), o.err))
		}
	}
	return violations, nil
}
