package standin

import (
	"net/http"
	"time"
)

// playRefused has one replica fail a share of the requests that it has run, with a status that says nothing of that.
func playRefused(p *play) (broken bool, err error) {
	const (
		machines  = 9
		perSecond = 40
		calm      = 3 * time.Second
		part      = 0.45
		lasts     = 6500 * time.Millisecond
		length    = calm + lasts + 3*time.Second
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
	if p.trouble {
		p.record.say("%.3f s: %s fails %.2f of the requests that it runs, for %v", p.record.at(time.Now()), site.replicas[0].id, part, lasts)
		site.replicas[0].fail(part)
	}
	time.Sleep(lasts)
	site.replicas[0].fail(0)
	<-done
	c.wait()
	ran := make(map[string]int)
	for _, r := range site.replicas {
		for _, run := range r.requests() {
			ran[run.id]++
		}
	}
	attempts := c.sentIn(began, time.Now())
	refused, runsOf := 0, make(map[string]int)
	for _, a := range attempts {
		if a.method != http.MethodPost {
			continue
		}
		runsOf[a.request] += ran[a.id]
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran[a.id] > 0 {
				refused++
				p.record.log("refused: %s was answered %d and has run", a.id, a.status)
			}
		}
	}
	twice := 0
	for request, runs := range runsOf {
		if runs > 1 {
			twice++
			p.record.log("twice: the request that began with %s has run %d times", request, runs)
		}
	}
	served, served01 := share(attempts)
	p.record.say("%d of %d attempts were served (%.3f)", served, len(attempts), served01)
	p.record.say("%d attempts that may not be repeated were answered 429, 503, 408 or 421 and have run", refused)
	p.record.say("%d requests have run more than once, because their clients sent them again after that", twice)
	return refused > 0, nil
}
