package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/logs"
)

// evacuation is the request of the operator to send nothing to the backend servers of a data centre.
type evacuation struct {
	since time.Time // when it became known here
	// endsAt is the end of an evacuation whose record an older copy of the store lacks; zero while the record is listed.
	endsAt time.Time
}

func (e evacuation) inEffect(now time.Time) bool { return e.endsAt.IsZero() || now.Before(e.endsAt) }

// applyEvacuation applies the record of an evacuated data centre. The lock must be held.
func (f *Fleet) applyEvacuation(record feed.Record, now time.Time) {
	dataCentre, ok := f.options.Decoder.Evacuation(record)
	if !ok || f.options.IgnoreEvacuations {
		return
	}
	known, evacuated := f.evacuations[dataCentre]
	evacuated = evacuated && known.inEffect(now)
	log := f.options.Log.WithFields(logrus.Fields{logs.DataCentre: dataCentre, logs.Revision: record.Revision})
	switch {
	case !record.Deleted && evacuated:
		f.evacuations[dataCentre] = evacuation{since: known.since}
	case !record.Deleted:
		f.evacuations[dataCentre] = evacuation{since: now}
		log.WithField(logs.Event, "dataCentreEvacuated").Info("a data centre is evacuated, its backend servers get no new requests")
	case evacuated && record.Restored:
		if known.endsAt.IsZero() {
			known.endsAt = now.Add(restoredHold)
			f.evacuations[dataCentre] = known
			log.WithField(logs.Event, "evacuationHeld").Info("an older copy of the store lacks the record of an evacuated data centre")
			time.AfterFunc(restoredHold, func() { f.Apply(nil, feed.Knowledge{}) })
		}
	case evacuated:
		f.endEvacuation(dataCentre, now, log)
	}
}

// endEvacuations ends the evacuations that were held without a record for long enough. The lock must be held.
func (f *Fleet) endEvacuations(now time.Time) {
	for dataCentre, e := range f.evacuations {
		if !e.inEffect(now) {
			f.endEvacuation(dataCentre, now, f.options.Log.WithField(logs.DataCentre, dataCentre))
		}
	}
}

// endEvacuation ends the evacuation of a data centre. The lock must be held.
func (f *Fleet) endEvacuation(dataCentre string, now time.Time, log logrus.FieldLogger) {
	since := f.evacuations[dataCentre].since
	delete(f.evacuations, dataCentre)
	f.warmUpDataCentre(dataCentre, now)
	log.WithFields(logrus.Fields{logs.Event: "evacuationEnded", logs.ElapsedMillis: now.Sub(since).Milliseconds()}).
		Info("a data centre is not evacuated any more")
}

// evacuated reports whether a data centre is evacuated. The lock must be held.
func (f *Fleet) evacuated(dataCentre string, now time.Time) bool {
	e, ok := f.evacuations[dataCentre]
	return ok && e.inEffect(now)
}

// Evacuated reports whether nothing is to be sent to the backend servers of a data centre.
func (f *Fleet) Evacuated(dataCentre string) bool {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.evacuated(dataCentre, now)
}

// Evacuations returns the evacuated data centres, with the times at which their evacuation became known.
func (f *Fleet) Evacuations() map[string]time.Time {
	now := f.options.Clock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	since := make(map[string]time.Time)
	for dataCentre, e := range f.evacuations {
		if e.inEffect(now) {
			since[dataCentre] = e.since
		}
	}
	return since
}
