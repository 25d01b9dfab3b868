package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ListEntry is one entry of the instance list.
type ListEntry struct {
	Name string `json:"name"`
	// Kind is "instance", "engine" or "service".
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress,omitempty"`
	DataCentre  string `json:"dataCentre"`
	// State is "live" or "leaving". Terminated instances and backend servers are not listed.
	State string `json:"state"`
}

type listSnapshot struct {
	setAt   time.Time
	entries []ListEntry
}

// InstanceList is the stand-in for the platform's list of instances and backend servers.
type InstanceList struct {
	faultSet
	mux *http.ServeMux
	lag time.Duration

	lock      sync.Mutex
	snapshots []listSnapshot
}

// NewInstanceList returns an empty list whose changes become visible after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{mux: http.NewServeMux(), lag: lag}
	l.mux.HandleFunc("GET /v1/instances", l.serveRead)
	l.mux.HandleFunc("PUT /v1/instances", l.serveReplace)
	l.mux.HandleFunc("POST /faults", l.serveFaults)
	l.mux.HandleFunc("POST /reset", l.serveReset)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set replaces all entries. The first call takes effect immediately, later ones after the lag.
func (l *InstanceList) Set(entries []ListEntry) { l.setEntriesAt(entries, time.Now()) }

func (l *InstanceList) setEntriesAt(entries []ListEntry, now time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.snapshots = append(l.snapshots, listSnapshot{setAt: now, entries: slices.Clone(entries)})
}

// entries returns the entries that are visible at now.
func (l *InstanceList) entries(now time.Time) []ListEntry {
	lag := l.lag
	if fault, ok := l.get(FaultLag, now); ok {
		lag = parseDuration(fault.Delay)
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if i == 0 || !l.snapshots[i].setAt.After(now.Add(-lag)) {
			return l.snapshots[i].entries
		}
	}
	return []ListEntry{}
}

func (l *InstanceList) serveRead(w http.ResponseWriter, _ *http.Request) {
	if l.has(FaultDown, time.Now()) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, l.entries(time.Now()))
}

func (l *InstanceList) serveReplace(w http.ResponseWriter, r *http.Request) {
	var entries []ListEntry
	if err := json.NewDecoder(r.Body).Decode(&entries); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(entries)
	w.WriteHeader(http.StatusNoContent)
}

// serveReset clears faults and keeps the entries.
func (l *InstanceList) serveReset(w http.ResponseWriter, _ *http.Request) {
	l.set(Fault{Kind: FaultNone}, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
