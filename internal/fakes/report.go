package fakes

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is the answer of GET /v1/load. It is as old as EngineConfig.ReportLag.
type LoadReport struct {
	Name             string `json:"name"`
	State            string `json:"state"`
	Running          int    `json:"running"`
	Waiting          int    `json:"waiting"`
	MemoryTokens     int    `json:"memoryTokens"`
	UsedTokens       int    `json:"usedTokens"`
	Preemptions      int64  `json:"preemptions"`
	StallMillis      int64  `json:"stallMillis"`
	RecomputedTokens int64  `json:"recomputedTokens"`
	Tokens           int64  `json:"tokens"`
	// Unread lists the generations that have no reader.
	Unread []string `json:"unread"`
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

// recordReport keeps the present report and drops the ones that no reader can see any more.
func (e *Engine) recordReport(now time.Time) {
	visible := now.Add(-e.config.ReportLag)
	first := 0
	for first+1 < len(e.reports) && !e.reports[first+1].at.After(visible) {
		first++
	}
	e.reports = append(slices.Delete(e.reports, 0, first), timedReport{at: now, report: e.report(now)})
}

func (e *Engine) report(now time.Time) LoadReport {
	counters := e.batch.Counters()
	report := LoadReport{
		Name:             e.config.Name,
		State:            e.stateName(now),
		Running:          e.batch.Running(),
		Waiting:          e.batch.Waiting(),
		MemoryTokens:     e.config.Batch.MemoryTokens,
		UsedTokens:       e.batch.UsedTokens(),
		Preemptions:      counters.Preemptions,
		StallMillis:      counters.Stall.Milliseconds(),
		RecomputedTokens: counters.RecomputedTokens,
		Tokens:           counters.Tokens,
		Unread:           []string{},
	}
	for id, g := range e.generations {
		if g.reader == nil && !g.done {
			report.Unread = append(report.Unread, id)
		}
	}
	slices.Sort(report.Unread)
	return report
}

func (e *Engine) stateName(now time.Time) string {
	if e.has(FaultLeave, now) {
		return "leaving"
	}
	if now.Before(e.orders.readyAt) {
		return "loading"
	}
	return "ready"
}

// Report returns the present load without lag, for tests and measurements.
func (e *Engine) Report() LoadReport {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.report(time.Now())
}

// serveLoad answers with the newest report that is old enough. The query "lag=0" asks for the present one; only
// measurements use it.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("lag") == "0" {
		writeJSON(w, http.StatusOK, e.Report())
		return
	}
	e.lock.Lock()
	report := e.laggingReport(time.Now())
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) laggingReport(now time.Time) LoadReport {
	e.recordReport(now)
	visible := now.Add(-e.config.ReportLag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(visible) {
			return e.reports[i].report
		}
	}
	return e.reports[0].report
}

// maxEvents bounds the cache events that an engine keeps for readers.
const maxEvents = 10_000

// eventLog holds cache events with the time from which they are readable.
type eventLog struct {
	sequence uint64
	events   []CacheEvent
	readable []time.Time
}

func (e *Engine) recordEvents(now time.Time) {
	for _, event := range e.batch.cache.takeEvents() {
		e.events.sequence++
		if e.random.Float64() < e.config.EventGap {
			continue
		}
		event.Sequence = e.events.sequence
		e.events.events = append(e.events.events, event)
		e.events.readable = append(e.events.readable, now.Add(e.config.EventDelay))
	}
	if extra := len(e.events.events) - maxEvents; extra > 0 {
		e.events.events = slices.Delete(e.events.events, 0, extra)
		e.events.readable = slices.Delete(e.events.readable, 0, extra)
	}
}

// serveEvents answers with the readable cache events after a sequence number. A jump in the numbers is a gap.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	now := time.Now()
	e.lock.Lock()
	events := []CacheEvent{}
	for i, event := range e.events.events {
		if event.Sequence > after && !e.events.readable[i].After(now) {
			events = append(events, event)
		}
	}
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, events)
}
