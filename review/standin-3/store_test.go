package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems    = 500
	historySpan  = 20 * time.Second
	longestWatch = 30 * time.Second
)

// store is the platform's store as far as the system reads it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	dropped  uint64 // the latest revision that the history does not hold
	changed  chan struct{}
}

type storeItem struct {
	Key       string    `json:"key"`
	Value     []byte    `json:"value,omitempty"`
	Revision  uint64    `json:"revision"`
	Created   uint64    `json:"created,omitempty"`
	Lease     uint64    `json:"lease"`
	Deleted   bool      `json:"deleted,omitempty"`
	writtenAt time.Time // for the span of the history
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(storeItem{Key: key, Value: encoded})
}

// register writes the entry of a replica and returns the time of the acknowledgement. It changes nothing if the entry that is there differs in its
// sequence only.
func (s *store) register(id string, entry map[string]any) time.Time {
	s.mu.Lock()
	var stored map[string]any
	known := json.Unmarshal(s.items["servers/"+id].Value, &stored) == nil
	s.mu.Unlock()
	if known && withoutSequence(stored) == withoutSequence(entry) {
		return time.Now()
	}
	return s.put("servers/"+id, entry)
}

func withoutSequence(entry map[string]any) string {
	rest := maps.Clone(entry)
	delete(rest, "sequence")
	encoded, err := json.Marshal(rest)
	if err != nil {
		panic(err)
	}
	var decoded map[string]any // Numbers are compared as they are read.
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	return fmt.Sprint(decoded)
}

// remove deletes a key.
func (s *store) remove(key string) time.Time { return s.write(storeItem{Key: key, Deleted: true}) }

func (s *store) write(item storeItem) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision, item.writtenAt = s.revision, time.Now()
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		item.Created = item.Revision
		if former, ok := s.items[item.Key]; ok {
			item.Created = former.Created
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	for len(s.history) > 0 && time.Since(s.history[0].writtenAt) > historySpan {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(w, r, query.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, longestWatch))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	current := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		storeItem
		CurrentRev uint64 `json:"currentRev"`
	}{item, current})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	current := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "currentRev": current})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := after < s.dropped || after > s.revision
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}
