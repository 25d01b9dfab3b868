package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The scenario "silent": the open connections to the store go silent, new ones work, and the operator adds a route.
func init() {
	replica := func(id, zone string) engineConfig {
		return engineConfig{id: id, zone: zone, pace: 10 * time.Millisecond, firstEvent: 50 * time.Millisecond}
	}
	scenarios["silent"] = struct {
		config deploymentConfig
		play   scenario
	}{
		deploymentConfig{
			instanceZones: []string{"split-a", "rijeka-b", "osijek-a"},
			engines:       []engineConfig{replica("i-a", "split-a"), replica("i-b", "rijeka-b")},
		},
		playSilent,
	}
}

const (
	addedPrefix = "/added/"
	// contact and applyTime are contactMs and configApplyMs of the deployment.
	contact   = 4 * time.Second
	applyTime = 3 * time.Second
	// phase is the time after the beginning of a watch at which the connections go silent.
	phase = 20 * time.Millisecond
)

func playSilent(d *deployment, trouble bool) (violations []string, err error) {
	d.store.mu.Lock()
	d.store.begins = true
	d.store.mu.Unlock()
	time.Sleep(2 * time.Second)
	for last := d.store.lastWatch(); d.store.lastWatch().Equal(last); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(phase)
	silentAt := time.Now()
	if trouble {
		d.record.add("the open connections to the store go silent")
		d.store.silence()
	}
	time.Sleep(500 * time.Millisecond)
	d.store.put("op/config", operatorConfig(2, longPrefix, addedPrefix))
	acknowledgedAt := time.Now()
	d.record.add("the store has acknowledged version 2 with the route %s", addedPrefix)
	time.Sleep(time.Until(silentAt.Add(contact + 150*time.Millisecond)))
	d.prefix = addedPrefix
	outcomes := make([]outcome, len(d.instances))
	var group sync.WaitGroup
	for n, i := range d.instances {
		group.Go(func() {
			outcomes[n] = d.generate(fmt.Sprintf("added-%s", i.name), i.front(), 300, 2*eventTokens, 6*time.Second)
		})
	}
	group.Wait()
	for n, o := range outcomes {
		if o.status == http.StatusNotFound && o.sentAt.Sub(acknowledgedAt) > applyTime && o.sentAt.Sub(silentAt) > contact {
			violations = append(violations, fmt.Sprintf("CONFIG: %s answers 404 on the route %s, %d ms after the acknowledgement and %d ms after the "+
				"connections went silent", d.instances[n].name, addedPrefix, o.sentAt.Sub(acknowledgedAt).Milliseconds(), o.sentAt.Sub(silentAt).Milliseconds()))
		}
	}
	return violations, nil
}
