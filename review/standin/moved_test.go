package standin

import (
	"fmt"
	"sync"
	"time"
)

// The scenario "moved": a replica leaves, so its runs are to go on at others, which name a limit.
func init() {
	replica := func(id, zone string) engineConfig {
		return engineConfig{id: id, zone: zone, pace: 40 * time.Millisecond, firstEvent: 200 * time.Millisecond, unframed: true}
	}
	scenarios["moved"] = struct {
		config deploymentConfig
		play   scenario
	}{
		deploymentConfig{
			instanceZones: []string{"split-a", "rijeka-b", "split-a"},
			engines:       []engineConfig{replica("i-a", "split-a"), replica("i-b", "split-a"), replica("i-c", "rijeka-b")},
		},
		playMoved,
	}
}

const (
	movedStreams = 12
	movedEvents  = 250
	// calmStreams is the number of streams that begin before the replicas name a limit.
	calmStreams = 8
	// neededLimit is the limit that replicas in need name, in requests a second.
	neededLimit = "0.5"
	// maxNamingRequests bounds the short requests by whose answers the limit becomes known.
	maxNamingRequests = 15
)

func playMoved(d *deployment, trouble bool) (violations []string, err error) {
	outcomes := make([]outcome, movedStreams)
	var group sync.WaitGroup
	for n := range outcomes {
		if n == calmStreams && trouble {
			for _, e := range d.engines[1:] {
				e.setLimit(neededLimit)
			}
		}
		group.Go(func() {
			outcomes[n] = d.generate(fmt.Sprintf("long-%d", n), d.instances[n%len(d.instances)].front(), 300, movedEvents*eventTokens, 39*time.Second)
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	leaving, others := d.engines[0], d.engines[1:]
	for n := 0; n < maxNamingRequests && trouble && !allNamed(others); n++ {
		d.generate(fmt.Sprintf("short-%d", n), d.instances[n%len(d.instances)].front(), 300, eventTokens, 6*time.Second)
	}
	if trouble && !allNamed(others) {
		return nil, fmt.Errorf("%w: no request reached one of the replicas that name a limit", errNotRun)
	}
	d.record.add("replica %s leaves", leaving.id)
	leaving.setState("draining")
	d.publish(leaving)
	group.Wait()
	for _, o := range outcomes {
		violations = append(violations, orderViolations(o, movedEvents)...)
	}
	return violations, nil
}

func allNamed(replicas []*engine) bool {
	for _, e := range replicas {
		if !e.hasNamed() {
			return false
		}
	}
	return true
}

// orderViolations checks the rule ORDER: in a stream no piece is missing or comes twice, and it does not end as complete before its last
// piece.
func orderViolations(o outcome, total int) (violations []string) {
	for n, number := range o.events {
		if number != n+1 {
			return []string{fmt.Sprintf("ORDER: event %d of %s has the number %d", n+1, o.id, number)}
		}
	}
	if o.status == 200 && o.whole && len(o.events) < total {
		violations = append(violations, fmt.Sprintf("ORDER: the stream of %s ends as complete after event %d of %d", o.id, len(o.events), total))
	}
	return violations
}
