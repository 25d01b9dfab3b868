package fleet

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// Signal is what a response of a backend server says about the requests to come from this instance. The zero value says
// nothing.
type Signal struct {
	// Leaving is true if the backend server takes no new requests any more.
	Leaving bool
	// Backoff is the time for which the backend server wants no requests.
	Backoff time.Duration
	// Cold is the time for which the backend server is cold.
	Cold time.Duration
}

// leavingRetention is the time for which it is remembered that a backend server said that it leaves, after its entry was removed.
const leavingRetention = 10 * time.Minute

// entryDelay is the time within which a backend server that has started is listed, if the store takes its entry: one heartbeat.
const entryDelay = 1200 * time.Millisecond

// unlistedStart stands for the start of a backend server that was not listed when it said that it leaves.
const unlistedStart int64 = -1

// backoff is the time for which a backend server wants no requests from this instance.
type backoff struct {
	until   time.Time
	heardAt time.Time // the last time
}

// leavingStart is a start of a backend server that said in a response that it leaves.
type leavingStart struct {
	startedAtMillis int64
	heardAt         time.Time // the last time
}

//go:generate go tool enumer -type=Source -trimprefix=Source -transform=title-lower -output=source_enumer.go

// Source tells where a signal was received.
type Source int

// Sources.
const (
	// SourceRequest is a response to a request of a caller.
	SourceRequest Source = iota
	// SourceControl is a response to a control call.
	SourceControl
	// SourcePeer is a response that this instance carried for another one.
	SourcePeer
)

// ApplySignal records what a backend server says. A signal holds until the server starts anew, also if its entry is missing
// for a while; a back-off is lengthened by later signals and not shortened. ApplySignal reports whether the back-off is
// later than the one known.
func (f *Fleet) ApplySignal(id string, s Signal, source Source) (newBackoff bool) {
	if f.options.IgnoreBackoffs {
		s.Backoff = 0
	}
	if s == (Signal{}) {
		return false
	}
	if s.Cold > 0 && f.RecordCold(id, f.options.Clock().Add(s.Cold)) && f.options.OnCold != nil {
		f.options.OnCold(id)
	}
	f.mu.Lock()
	now := f.options.Clock()
	_, known := f.backends[id]
	newLeaving := s.Leaving && f.recordLeaving(id, now)
	until := now.Add(s.Backoff)
	if known && s.Backoff > 0 {
		former := f.backoffs[id].until
		newBackoff = until.After(former)
		if !newBackoff {
			until = former
		}
		f.backoffs[id] = backoff{until: until, heardAt: now}
	}
	start := f.signaledLeaving[id].startedAtMillis
	f.mu.Unlock()
	log := f.options.Log.WithFields(logrus.Fields{logs.Backend: id, logs.Source: source.String()})
	if newBackoff {
		log.WithFields(logrus.Fields{logs.Event: "backoffRequested", "backoffMillis": s.Backoff.Milliseconds()}).
			Info("a backend server wants no requests from this instance for a while")
	}
	if newLeaving {
		log.WithFields(logrus.Fields{logs.Event: "backendSignaledLeaving", logs.StartedAtMillis: start}).
			Info("a backend server says that it leaves and gets no new requests")
		f.notify()
	}
	return newBackoff
}

// recordLeaving records that a backend server said now that it leaves, and reports whether that is new of the start that is listed. The lock
// must be held.
func (f *Fleet) recordLeaving(id string, now time.Time) bool {
	said, before := f.signaledLeaving[id]
	start := unlistedStart
	if tracked, known := f.backends[id]; known {
		start = tracked.backend.StartedAtMillis
	} else if before {
		start = said.startedAtMillis
	}
	f.signaledLeaving[id] = leavingStart{start, now}
	return !before || said.startedAtMillis != start
}

// SaysLeaving reports whether a backend server says that it leaves, in its entry or in a response.
func (f *Fleet) SaysLeaving(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	tracked, ok := f.backends[id]
	return ok && (tracked.backend.Leaving || f.saysLeaving(id, tracked))
}

// saysLeaving reports whether this start of a backend server said in a response that it leaves. The lock must be held.
func (f *Fleet) saysLeaving(id string, tracked *trackedBackend) bool {
	said, ok := f.signaledLeaving[id]
	return ok && said.startedAtMillis == tracked.backend.StartedAtMillis
}

// mayBeOfLater reports whether a start of a backend server that was listed later may have said what was heard at a time: the list was not known to
// be complete then.
func mayBeOfLater(heardAt, completeAt time.Time) bool {
	return !heardAt.Before(completeAt.Add(-entryDelay))
}

// carryBackoff keeps a back-off for a start of a backend server that is listed now if that may have asked for it, and drops it otherwise. The
// lock must be held.
func (f *Fleet) carryBackoff(listed route.Backend, completeAt time.Time) {
	asked, ok := f.backoffs[listed.ID]
	if !ok {
		return
	}
	if !mayBeOfLater(asked.heardAt, completeAt) {
		delete(f.backoffs, listed.ID)
		return
	}
	now := f.options.Clock()
	f.options.Log.WithFields(logrus.Fields{
		logs.Event: "backoffCarried", logs.Backend: listed.ID, logs.StartedAtMillis: listed.StartedAtMillis,
		"backoffMillis": asked.until.Sub(now).Milliseconds(), logs.AgeMillis: now.Sub(asked.heardAt).Milliseconds(),
	}).Info("a start of a backend server that is new in the list may have asked for the back-off")
}

// carryLeaving puts down to a start of a backend server that is listed now what was heard while an earlier one was listed, if the later one
// may have said it: the list was not known to be complete then. The lock must be held.
func (f *Fleet) carryLeaving(listed route.Backend, completeAt time.Time) {
	said, ok := f.signaledLeaving[listed.ID]
	if !ok || said.startedAtMillis >= listed.StartedAtMillis {
		return
	}
	if said.startedAtMillis != unlistedStart && !mayBeOfLater(said.heardAt, completeAt) {
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		logs.Event: "leavingCarried", logs.Backend: listed.ID, logs.StartedAtMillis: listed.StartedAtMillis, logs.Former: said.startedAtMillis,
		logs.AgeMillis: f.options.Clock().Sub(said.heardAt).Milliseconds(),
	}).Info("a start of a backend server that is new in the list may have said that it leaves and gets no new requests")
	said.startedAtMillis = listed.StartedAtMillis
	f.signaledLeaving[listed.ID] = said
}

// evictSignals forgets what backend servers have said that are not listed any more. An entry may come back, so it is kept for longer than
// the entry. The lock must be held.
func (f *Fleet) evictSignals(now time.Time) {
	for id, asked := range f.backoffs {
		if f.backends[id] == nil && !now.Before(asked.until) {
			delete(f.backoffs, id)
		}
	}
	for id, said := range f.signaledLeaving {
		if f.backends[id] == nil && now.Sub(said.heardAt) > leavingRetention {
			delete(f.signaledLeaving, id)
		}
	}
}

// BackoffUntil returns the time until which a backend server wants no requests from this instance, and false if it takes them.
func (f *Fleet) BackoffUntil(id string) (until time.Time, backingOff bool) {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	until = f.backoffs[id].until
	return until, now.Before(until)
}

// BackingOff returns the backend servers of a service that want no requests from this instance at present, and the earliest
// end of their back-offs.
func (f *Fleet) BackingOff(service string) (ids []string, firstEnd time.Time) {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for id, asked := range f.backoffs {
		tracked := f.backends[id]
		if !now.Before(asked.until) || tracked == nil || tracked.backend.Service != service || !f.accepts(id, tracked, now) {
			continue
		}
		ids = append(ids, id)
		if firstEnd.IsZero() || asked.until.Before(firstEnd) {
			firstEnd = asked.until
		}
	}
	slices.Sort(ids)
	return ids, firstEnd
}

// Unwilling returns the backend servers of a service that want no requests from this instance, at present or because they leave, and are listed as
// ready, so that others may not know that.
func (f *Fleet) Unwilling(service string) []string {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ids []string
	for id, tracked := range f.backends {
		if tracked.backend.Service != service || tracked.backend.Leaving || !tracked.goneAt.IsZero() {
			continue
		}
		if f.saysLeaving(id, tracked) || now.Before(f.backoffs[id].until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
