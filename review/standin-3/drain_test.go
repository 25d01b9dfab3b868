package standin

import "time"

// playDrain has one replica drain. Later than drainMs after that has been acknowledged, another writer puts an entry with fields missing under the
// key of the replica, which holds until the replica's next heartbeat.
func playDrain(p *play) (broken bool, err error) {
	const (
		machines  = 9
		perSecond = 40
		calm      = 3 * time.Second
		drainTime = 3 * time.Second
		foreignAt = drainTime + 1100*time.Millisecond // after the acknowledgement
		exitAt    = drainTime + 1450*time.Millisecond
		length    = calm + exitAt + 5*time.Second
	)
	site, err := newSite(p, machines)
	if err != nil {
		return false, err
	}
	defer site.system.stop()
	c := newClients(site.system)
	began := time.Now()
	done := site.send(c, began.Add(length), perSecond)
	time.Sleep(time.Until(began.Add(calm)))
	leaving := site.replicas[0]
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
		if a := attempts[run.id]; a != nil && a.sent.After(acknowledgedAt.Add(drainTime)) {
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
