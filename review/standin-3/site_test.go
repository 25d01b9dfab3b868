package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// site is a small deployment: machines and three replicas of one service in three zones, and a configuration with a route for requests that may
// not be repeated and one for those that may.
type site struct {
	system   *system
	replicas []*replica
}

// newSite starts the replicas and the machines and waits until the machines are ready.
func newSite(p *play, machines int) (*site, error) {
	s := new(site)
	for n, zone := range zones {
		r, err := newReplica(replicaOptions{
			id: fmt.Sprintf("i-%d", n), service: "portal", zone: zone, slots: 6, queue: 24, work: 60 * time.Millisecond,
			record: p.record, store: p.store,
		})
		if err != nil {
			return nil, err
		}
		s.replicas = append(s.replicas, r)
	}
	p.store.put("op/config", configuration(7, []map[string]any{
		route("/charge/", "non_idempotent", "portal", 1), route("/lookup/", "idempotent", "portal", 2),
	}, "portal"))
	var err error
	if s.system, err = newSystem(p.program, p.dir, p.store, p.record, machines); err != nil {
		return nil, err
	}
	if err := s.system.awaitReady(20 * time.Second); err != nil {
		s.system.stop()
		return nil, err
	}
	const steady = 2 * time.Second // The machines get to know each other.
	time.Sleep(steady)
	return s, nil
}

// send sends requests of both kinds until a time. The channel is closed after the last one has been sent.
func (s *site) send(c *clients, until time.Time, perSecond float64) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		c.run(until, perSecond, func() (method, path string) {
			const unsafePart = 0.7
			if rand.Float64() < unsafePart {
				return http.MethodPost, "/charge/2f"
			}
			return http.MethodGet, "/lookup/2f"
		})
	}()
	return done
}
