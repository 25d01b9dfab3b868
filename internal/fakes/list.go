package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ListEntry is one line of the instance list.
type ListEntry struct {
	Name string `json:"name"`
	// Kind is "instance", "engine" or "service".
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress,omitempty"`
	DataCentre  string `json:"dataCentre"`
	// State is "live" or "leaving"; what is gone is not listed.
	State string `json:"state"`
}

type listView struct {
	at      time.Time
	entries []ListEntry
}

// InstanceList is the stand-in of the platform's list of instances and backend servers.
type InstanceList struct {
	faultSet
	mux *http.ServeMux
	lag time.Duration

	lock  sync.Mutex
	views []listView
}

// NewInstanceList returns an empty list that shows changes after lag.
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

// Set replaces all entries. The first call shows at once, later ones after the lag.
func (l *InstanceList) Set(entries []ListEntry) { l.setAt(entries, time.Now()) }

func (l *InstanceList) setAt(entries []ListEntry, now time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.views = append(l.views, listView{at: now, entries: slices.Clone(entries)})
}

// entries returns what a reader sees at now.
func (l *InstanceList) entries(now time.Time) []ListEntry {
	lag := l.lag
	if fault, ok := l.get(FaultLag, now); ok {
		lag = duration(fault.Delay)
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	for i := len(l.views) - 1; i >= 0; i-- {
		if i == 0 || !l.views[i].at.After(now.Add(-lag)) {
			return l.views[i].entries
		}
	}
	return []ListEntry{}
}

func (l *InstanceList) serveRead(w http.ResponseWriter, _ *http.Request) {
	if l.has(FaultDown, time.Now()) {
		abort()
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

// serveReset clears faults; the entries stay.
func (l *InstanceList) serveReset(w http.ResponseWriter, _ *http.Request) {
	l.set(Fault{Kind: FaultNone}, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
