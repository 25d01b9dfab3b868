package driver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond

	// historyTime is the time for which the store keeps changes.
	historyTime = 20 * time.Second

	// Limits of one page of a range.
	maxItems     = 500
	maxPageBytes = 1 << 20
	maxWait      = 30 * time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	record  *record
	address string

	mu       sync.Mutex
	items    map[string]item
	order    []string // keys, sorted
	history  []item
	lost     uint64 // the revision up to which the history is gone
	revision uint64
	changed  chan struct{}
	silent   map[net.Conn]bool // connections on which nothing is answered any more
	conns    map[net.Conn]bool

	slow      atomic.Int64 // times that an answer takes as long; 0 for 1
	largest   atomic.Int64 // bytes of the largest answer
	watches   atomic.Int64
	snapshots atomic.Int64
}

type connKey struct{}

func startStore(r *record, address string) (*store, error) {
	s := &store{
		record: r, address: address, items: make(map[string]item), revision: 100, changed: make(chan struct{}),
		silent: make(map[net.Conn]bool), conns: make(map[net.Conn]bool),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	server := &http.Server{Handler: mux, ConnContext: contextWithConn, ConnState: s.trackConn}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *store) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (s *store) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		s.silent[conn] = true
	}
	return len(s.conns)
}

// put writes a value. Its return is the acknowledgement.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	} else {
		at := 0
		for at < len(s.order) && s.order[at] < key {
			at++
		}
		s.order = append(s.order[:at], append([]string{key}, s.order[at:]...)...)
	}
	s.items[key] = it
	s.append(it)
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	for at, known := range s.order {
		if known == key {
			s.order = append(s.order[:at], s.order[at+1:]...)
			break
		}
	}
	s.append(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *store) append(it item) {
	s.history = append(s.history, it)
	s.forget()
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is too old. The lock must be held.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.lost = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) answer(w http.ResponseWriter, in *http.Request, status int, body any) {
	time.Sleep(answerTime * time.Duration(max(s.slow.Load(), 1)))
	if s.isSilent(in) {
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if n := int64(len(text)); n > s.largest.Load() {
		s.largest.Store(n)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) isSilent(in *http.Request) bool {
	conn, _ := in.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[conn]
}

func (s *store) serveKey(w http.ResponseWriter, in *http.Request) {
	s.mu.Lock()
	it, ok := s.items[in.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		s.answer(w, in, http.StatusNotFound, map[string]any{"currentRev": revision})
		return
	}
	s.answer(w, in, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{it, revision})
}

func (s *store) serveRange(w http.ResponseWriter, in *http.Request) {
	s.snapshots.Add(1)
	prefix, after := in.URL.Query().Get("prefix"), in.URL.Query().Get("after")
	s.mu.Lock()
	items, truncated, size := []item{}, false, 0
	for _, key := range s.order {
		if !strings.HasPrefix(key, prefix) || key <= after && after != "" {
			continue
		}
		it := s.items[key]
		if len(items) == maxItems || size > 0 && size+len(it.Value) > maxPageBytes {
			truncated = true
			break
		}
		items, size = append(items, it), size+len(it.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	s.answer(w, in, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, in *http.Request) {
	s.watches.Add(1)
	query := in.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.forget()
		gone, changed, revision := after < s.lost, s.changed, s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if gone {
			s.answer(w, in, http.StatusGone, map[string]any{"currentRev": revision})
			return
		}
		if len(events) > 0 {
			s.answer(w, in, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-in.Context().Done():
			return
		case <-timer.C:
			s.answer(w, in, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
