package main

import (
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"time"
)

// playDrain has one replica drain. Later than drainMs after that has been acknowledged, another writer puts an entry with fields missing under the
// key of the replica, which holds until the replica's next heartbeat.
func playDrain(p *play) (broken bool, err error) {
	const (
		machines  = 9
		perSecond = 40
		calm      = 3 * time.Second
		drainMs   = 3 * time.Second
		foreignAt = drainMs + 1100*time.Millisecond // after the acknowledgement
		exitAt    = drainMs + 1450*time.Millisecond
		length    = calm + exitAt + 5*time.Second
	)
	var replicas []*replica
	for n, zone := range zones {
		r, err := newReplica(replicaOptions{
			id: fmt.Sprintf("i-%d", n), service: "portal", zone: zone, slots: 6, queue: 24, work: 60 * time.Millisecond,
			record: p.record, store: p.store,
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	p.store.put("op/config", configuration(7, []map[string]any{
		route("/charge/", "non_idempotent", "portal", 1), route("/lookup/", "idempotent", "portal", 2),
	}, "portal"))
	s, err := newSystem(p.program, p.dir, p.store, p.record, machines)
	if err != nil {
		return false, err
	}
	defer s.stop()
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(s)
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(began.Add(length), func(time.Time) float64 { return perSecond }, func() (method, path string) {
			if mathrand.Float64() < 0.7 {
				return http.MethodPost, "/charge/2f"
			}
			return http.MethodGet, "/lookup/2f"
		})
	}()
	time.Sleep(time.Until(began.Add(calm)))
	leaving := replicas[0]
	acknowledgedAt := leaving.drain()
	p.record.say("%.3f s: the store has acknowledged that %s is draining", p.record.at(acknowledgedAt), leaving.id)
	time.Sleep(time.Until(acknowledgedAt.Add(foreignAt)))
	if p.trouble {
		entry := map[string]any{"service": leaving.service, "address": leaving.address, "zone": leaving.zone, "state": "ready"}
		p.record.say("%.3f s: another writer puts %v under servers/%s", p.record.at(time.Now()), entry, leaving.id)
		p.store.put("servers/"+leaving.id, entry)
	}
	time.Sleep(time.Until(acknowledgedAt.Add(exitAt)))
	p.record.say("%.3f s: %s exits with %d requests in progress", p.record.at(time.Now()), leaving.id, leaving.exit())
	<-done
	c.wait()
	attempts := make(map[string]*attempt)
	for _, a := range c.sentIn(began, time.Now()) {
		attempts[a.id] = a
	}
	late := 0
	for _, run := range leaving.requests() {
		if a := attempts[run.id]; a != nil && a.sent.After(acknowledgedAt.Add(drainMs)) {
			late++
			p.record.log("late: %s, sent %.3f s and at %s %.3f s after the acknowledgement, answered with %d", a.id, a.sent.Sub(acknowledgedAt).Seconds(),
				leaving.id, run.arrived.Sub(acknowledgedAt).Seconds(), a.status)
		}
	}
	served, part := share(c.sentIn(began, time.Now()))
	p.record.say("%d of %d requests were served (%.3f)", served, len(attempts), part)
	p.record.say("%d requests that were sent later than drainMs after the acknowledgement have run at %s", late, leaving.id)
	return late > 0, nil
}
