package fakes

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is the response to GET /v1/load. It shows the load as of EngineConfig.ReportLag ago.
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
	// Unread lists the unfinished generations that have no reader.
	Unread []string `json:"unread"`
}

type timedReport struct {
	recordedAt time.Time
	report     LoadReport
}

// recordReport adds the current report and removes those that serveLoad no longer returns.
func (e *Engine) recordReport(now time.Time) {
	cutoff := now.Add(-e.config.ReportLag)
	keepFrom := 0
	for keepFrom+1 < len(e.reports) && !e.reports[keepFrom+1].recordedAt.After(cutoff) {
		keepFrom++
	}
	e.reports = append(slices.Delete(e.reports, 0, keepFrom), timedReport{recordedAt: now, report: e.report(now)})
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

// Report returns the current load without lag, for tests and measurements.
func (e *Engine) Report() LoadReport {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.report(time.Now())
}

// serveLoad returns the newest report that is at least ReportLag old. The query "lag=0" requests the current load; only
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
	cutoff := now.Add(-e.config.ReportLag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].recordedAt.After(cutoff) {
			return e.reports[i].report
		}
	}
	return e.reports[0].report
}

// maxCacheEvents is the maximum number of cache events that an engine keeps for readers.
const maxCacheEvents = 10_000

// eventLog holds cache events and, under the same index, the time from which each is readable.
type eventLog struct {
	sequence   uint64
	events     []CacheEvent
	readableAt []time.Time
}

// recordEvents adds the new cache events to the log. It skips some of them at random, as EngineConfig.EventGap says,
// but counts their sequence numbers.
func (e *Engine) recordEvents(now time.Time) {
	for _, event := range e.batch.cache.takeEvents() {
		e.events.sequence++
		if e.random.Float64() < e.config.EventGap {
			continue
		}
		event.Sequence = e.events.sequence
		e.events.events = append(e.events.events, event)
		e.events.readableAt = append(e.events.readableAt, now.Add(e.config.EventDelay))
	}
	if excess := len(e.events.events) - maxCacheEvents; excess > 0 {
		e.events.events = slices.Delete(e.events.events, 0, excess)
		e.events.readableAt = slices.Delete(e.events.readableAt, 0, excess)
	}
}

// serveEvents returns the readable cache events after a sequence number. A gap in the sequence means lost events.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	now := time.Now()
	e.lock.Lock()
	events := []CacheEvent{}
	for i, event := range e.events.events {
		if event.Sequence > after && !e.events.readableAt[i].After(now) {
			events = append(events, event)
		}
	}
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, events)
}
