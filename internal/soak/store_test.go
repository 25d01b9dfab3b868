package soak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	status   int // HTTP status of every response while the store fails; 0 while it works
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a value, or deletes the key if the value is nil.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := item{Key: key, Revision: s.revision, Deleted: value == nil}
	if value != nil {
		entry.Value, _ = json.Marshal(value) // The values in this package can always be encoded.
		s.items[key] = entry
	} else {
		delete(s.items, key)
	}
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setStatus makes the store respond with an error status, or work normally if the status is 0.
func (s *store) setStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	status := s.status
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	response := map[string]any{}
	switch r.URL.Path {
	case "/kv-range":
		response["items"], response["currentRev"] = s.list(query.Get("prefix"))
		response["truncated"] = false
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		response["events"], response["currentRev"] = s.watch(r, after, time.Duration(wait)*time.Millisecond)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *store) list(prefix string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, entry)
		}
	}
	return items, s.revision
}

func (s *store) watch(r *http.Request, after uint64, wait time.Duration) ([]item, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		index := slices.IndexFunc(s.history, func(entry item) bool { return entry.Revision > after })
		revision, changed := s.revision, s.changed
		events := []item{}
		if index >= 0 {
			events = append(events, s.history[index:]...)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, revision
		case <-r.Context().Done():
			return events, revision
		}
	}
}
