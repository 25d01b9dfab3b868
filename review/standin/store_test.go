package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	server   *http.Server
	address  string
	// silentBefore is the time before which connections were opened that have gone silent, and watchedAt when a watch began last.
	silentBefore, watchedAt time.Time
	// begins makes the head of the answer to a watch come at once.
	begins bool
}

type openedKey struct{}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, items: make(map[string]item), changed: make(chan struct{}), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, time.Now())
	}}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value, or deletes the key if the value is nil.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := item{Key: key, Revision: s.revision, Deleted: value == nil}
	if value == nil {
		delete(s.items, key)
	} else {
		entry.Value, _ = json.Marshal(value) // The values in this package can always be encoded.
		entry.Created = s.revision
		if former, ok := s.items[key]; ok {
			entry.Created = former.Created
		}
		s.items[key] = entry
	}
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes all connections that are open go silent for good. New ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = time.Now()
}

// lastWatch returns the time at which a watch began last.
func (s *store) lastWatch() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchedAt
}

// awaitSilence does not return before the end of a request on a connection that has gone silent.
func (s *store) awaitSilence(r *http.Request) {
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	s.mu.Lock()
	silent := opened.Before(s.silentBefore)
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.awaitSilence(r)
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		_ = json.NewEncoder(w).Encode(s.list(query.Get("prefix"), query.Get("after")))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.mu.Lock()
		s.watchedAt = time.Now()
		begins := s.begins
		s.mu.Unlock()
		if begins {
			_ = http.NewResponseController(w).Flush()
		}
		answer := s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		s.awaitSilence(r)
		_ = json.NewEncoder(w).Encode(answer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, entry)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return map[string]any{"items": items, "truncated": false, "currentRev": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) map[string]any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, changed, revision := []item{}, s.changed, s.revision
		for _, entry := range s.history {
			if entry.Revision > after && strings.HasPrefix(entry.Key, prefix) {
				events = append(events, entry)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "currentRev": revision}
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}
