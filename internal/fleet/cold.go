package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// coldTolerance is the time by which a server has to be cold for longer than is known for that to be news: an entry and a response state the
// rest of the time, which grows by their time on the way.
const coldTolerance = 200 * time.Millisecond

// coldStart is a start of a backend server that is cold for longer than its entry says.
type coldStart struct {
	startedAtMillis int64
	until           time.Time
}

// Cold returns the end of the time for which a backend server is cold, and the most requests of all instances that it may get in any second until
// then. It returns zeros if the server is not cold or bears any rate.
func (f *Fleet) Cold(id string) (until time.Time, mostPerSecond float64) {
	if !f.limitsCold() {
		return time.Time{}, 0
	}
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	tracked, ok := f.backends[id]
	if !ok {
		return time.Time{}, 0
	}
	until, most := f.coldUntil(id, tracked), f.coldLimit(tracked.backend.Service)
	if !now.Before(until) || most <= 0 {
		return time.Time{}, 0
	}
	return until, most
}

// ColdBackends returns the backend servers of a service that are cold and have a limit for that time.
func (f *Fleet) ColdBackends(service string) []string {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.limitsCold() || f.coldLimit(service) <= 0 {
		return nil
	}
	var ids []string
	for id, tracked := range f.backends {
		if tracked.backend.Service == service && now.Before(f.coldUntil(id, tracked)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RecordCold records that a backend server is cold until a time, and reports whether it is so for longer than was known.
func (f *Fleet) RecordCold(id string, until time.Time) bool {
	now := f.options.Clock()
	f.mu.Lock()
	news := f.recordCold(id, until, now)
	f.mu.Unlock()
	if !news {
		return false
	}
	f.options.Log.WithFields(logrus.Fields{logs.Event: "backendCold", logs.Backend: id, "coldMillis": until.Sub(now).Milliseconds()}).
		Info("a backend server is cold and gets few requests")
	f.notify()
	return true
}

// recordCold records that a backend server is cold. The lock must be held.
func (f *Fleet) recordCold(id string, until, now time.Time) (news bool) {
	tracked, ok := f.backends[id]
	if !ok || !f.limitsCold() || !until.After(now) {
		return false
	}
	known := f.coldUntil(id, tracked)
	if !until.After(known.Add(coldTolerance)) {
		return false
	}
	f.coldStarts[id] = coldStart{startedAtMillis: tracked.backend.StartedAtMillis, until: until}
	return true
}

// warmUpDataCentre takes the backend servers of a data centre that is not evacuated any more for cold: they have had no requests. The lock must be
// held.
func (f *Fleet) warmUpDataCentre(dataCentre string, now time.Time) {
	if f.catalogue == nil {
		return
	}
	for id, tracked := range f.backends {
		if tracked.backend.DataCentre != dataCentre {
			continue
		}
		if service, ok := f.catalogue.Service(tracked.backend.Service); ok {
			f.recordCold(id, now.Add(service.ColdStart), now)
		}
	}
}

// coldUntil returns the end of the time for which a backend server is cold. The lock must be held.
func (f *Fleet) coldUntil(id string, tracked *trackedBackend) time.Time {
	until := tracked.backend.ColdUntil
	if said, ok := f.coldStarts[id]; ok && said.startedAtMillis == tracked.backend.StartedAtMillis && said.until.After(until) {
		return said.until
	}
	return until
}

// coldLimit returns the most requests that a cold backend server of a service may get in any second; 0 for any number. The lock must be held.
func (f *Fleet) coldLimit(service string) float64 {
	if f.catalogue == nil {
		return 0
	}
	s, ok := f.catalogue.Service(service)
	if !ok || s.ColdPerSecond <= 0 {
		return 0
	}
	return s.ColdPerSecond*f.options.ColdOvershoot + f.options.ColdSlack
}

// limitsCold reports whether cold backend servers have a limit.
func (f *Fleet) limitsCold() bool { return f.options.ColdOvershoot > 0 || f.options.ColdSlack > 0 }

// evictCold drops what is over. The lock must be held.
func (f *Fleet) evictCold(now time.Time) {
	maps.DeleteFunc(f.coldStarts, func(_ string, c coldStart) bool { return !now.Before(c.until) })
}

// coldFields adds to the fields of a log line until when a backend server is cold.
func coldFields(fields logrus.Fields, backend route.Backend, now time.Time) logrus.Fields {
	if left := backend.ColdUntil.Sub(now); left > 0 {
		fields["coldMillis"] = left.Milliseconds()
	}
	return fields
}
