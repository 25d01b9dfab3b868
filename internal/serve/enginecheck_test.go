package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// listDecoder decodes a record as a ready backend server with the record's key as ID and address.
type listDecoder struct{}

func (listDecoder) Catalogue(feed.Record) (*route.Catalogue, error) { return nil, nil }

func (listDecoder) Evacuation(record feed.Record) (string, bool) {
	return strings.CutPrefix(record.Key, "evacuate/")
}

func (listDecoder) Backend(record feed.Record) (route.Backend, bool, error) {
	if strings.HasPrefix(record.Key, "evacuate/") {
		return route.Backend{}, false, nil
	}
	return route.Backend{ID: record.Key, Service: "llm", Address: record.Key, DataCentre: "north-a"}, true, nil
}

// scriptedEngines answers questions: err for an engine that does not answer, leaving for one that leaves.
type scriptedEngines struct {
	mu      sync.Mutex
	err     error
	leaving bool
	asked   int
	// startedAt is the start that all engines state.
	startedAt int64
}

func (e *scriptedEngines) Leaving(context.Context, route.Backend) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return e.leaving, e.err
}

func (e *scriptedEngines) StartedAt(context.Context, route.Backend) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return e.startedAt, e.err
}

func (e *scriptedEngines) askedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func (e *scriptedEngines) answer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err = nil
}

// TestSlotsBeforeConfiguration guards against a process that ends because another instance tells it about a server before it has a
// configuration.
func TestSlotsBeforeConfiguration(t *testing.T) {
	i := &Instance{fleet: fleet.New(fleet.Options{Clock: clock.Now})}
	if got := i.slots("r1"); got != 0 {
		t.Errorf("%d slots of a server that is not known", got)
	}
}

func newCheckedInstance(engines *scriptedEngines, confirmedAt time.Time) *Instance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	records := []feed.Record{{Key: "e1", Revision: 1}, {Key: "e2", Revision: 2}}
	i := &Instance{engines: engines, log: logs.New(io.Discard)}
	i.fleet = fleet.New(fleet.Options{
		Decoder: listDecoder{}, Regions: map[string][]string{"north": {"north-a"}}, Clock: clock.Now, Log: log,
	})
	i.fleet.Apply(records, feed.Knowledge{})
	i.limits = quota.NewGate(quota.Options{
		Self: "self", Homes: func(string) []pond.Instance { return nil }, Known: i.knowsBackend, Slots: func(string) int { return 0 }, Service: func(string) string { return "" }, Clock: clock.Now, Log: log,
		Cold: i.coldLimit, RecordCold: i.fleet.RecordCold, Seen: i.seenShare,
	})
	i.dialer = reach.NewDialer(reach.Options{
		Helpers: func(string) []reach.Helper { return nil }, Clock: clock.Now, Results: metric.NewConnections(metric.New()), Log: log,
	})
	served := false
	store := feed.SourceFunc(func(ctx context.Context, _ feed.Cursor) (feed.Batch, error) {
		if served {
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		}
		served = true
		return feed.Batch{Snapshot: true, Position: feed.Position{Revision: 2}, Records: records, ConfirmedAt: confirmedAt}, nil
	})
	i.feed = feed.New(feed.Options{
		Upstreams: func() []feed.Upstream { return []feed.Upstream{{Name: "peer", Source: store}} },
		Clock:     clock.Now, Log: log, OnChange: func([]feed.Record) {},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = i.feed.Run(ctx)
	return i
}

// start runs the checker and returns a function that stops it.
func (c *engineChecker) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = c.run(ctx)
	}()
	return func() {
		cancel()
		<-stopped
	}
}

// TestEngineCheckOutage guards against engines that are asked while the store is current, which costs a call each, and
// against notices that are missed because nobody asks while the store is not.
func TestEngineCheckOutage(t *testing.T) {
	tests := []struct {
		name          string
		age           time.Duration
		wantAsked     int
		wantAccepting bool
		wantInterval  time.Duration
	}{
		{"store current", 0, 0, true, calmCheckInterval},
		{"store outage", outageCheckAge, 1, false, outageCheckInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := &scriptedEngines{leaving: true}
			i := newCheckedInstance(engines, clock.Now().Add(-test.age))
			defer i.log.Close()
			checker := newEngineChecker(i)
			if _, err := checker.Load(t.Context(), "e1"); !errors.Is(err, errNoLoadReport) {
				t.Errorf("error %v, want none but the missing report", err)
			}
			if engines.askedCount() != test.wantAsked || i.fleet.Accepting("e1") != test.wantAccepting {
				t.Errorf("asked %d times, accepting %t; want %d and %t",
					engines.askedCount(), i.fleet.Accepting("e1"), test.wantAsked, test.wantAccepting)
			}
			if checker.interval() != test.wantInterval {
				t.Errorf("interval %v, want %v", checker.interval(), test.wantInterval)
			}
		})
	}
}

// TestEngineCheckSuspect guards against requests and moves that go on to a crashed engine for as long as its entry is
// listed, and against avoiding an engine that answers. Found on ucz-hr: three engines that died during a store outage
// got new runs for four seconds.
func TestEngineCheckSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{err: errors.New("refused")}
		i := newCheckedInstance(engines, clock.Now())
		defer i.log.Close()
		checker := newEngineChecker(i)
		defer checker.start(t)()
		for range 3 {
			checker.suspect("e1") // Several requests fail at the same time.
		}
		synctest.Wait()
		if i.fleet.Accepting("e1") || !i.fleet.Accepting("e2") || engines.askedCount() != 1 {
			t.Errorf("accepting: e1 %t, e2 %t, asked %d times; want only e2, once",
				i.fleet.Accepting("e1"), i.fleet.Accepting("e2"), engines.askedCount())
		}
		time.Sleep(suspectCheckInterval + time.Millisecond)
		synctest.Wait()
		engines.answer()
		time.Sleep(suspectCheckInterval)
		synctest.Wait()
		if !i.fleet.Accepting("e1") || engines.askedCount() != 3 {
			t.Errorf("accepting %t after %d questions, want true after the third", i.fleet.Accepting("e1"), engines.askedCount())
		}
	})
}

// TestEngineCheckUnreadable guards against suspending an engine that answers, but not with its state. Found by the soak,
// whose engines have no status: 124 of 1,686 requests were refused instead of 48.
func TestEngineCheckUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{err: errors.Wrap(relay.ErrUnreadableStatus, "status 404")}
		i := newCheckedInstance(engines, clock.Now())
		defer i.log.Close()
		checker := newEngineChecker(i)
		defer checker.start(t)()
		checker.suspect("e1")
		synctest.Wait()
		if !i.fleet.Accepting("e1") || engines.askedCount() != 1 {
			t.Errorf("accepting %t, asked %d times; want accepting after one answer", i.fleet.Accepting("e1"), engines.askedCount())
		}
	})
}

// TestEngineCheckBreaksOff guards against an engine that is taken for ended or for running because its state breaks off, which decides neither.
func TestEngineCheckBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{err: engine.NewError(pond.OutcomeAnswered, http.StatusOK, false, io.ErrUnexpectedEOF)}
		i := newCheckedInstance(engines, clock.Now())
		defer i.log.Close()
		checker := newEngineChecker(i)
		defer checker.start(t)()
		checker.suspect("e1")
		synctest.Wait()
		if !i.fleet.Accepting("e1") || checker.ended(t.Context(), "e1") {
			t.Error("an engine whose state breaks off is taken for ended")
		}
		if !i.fleet.Suspend("e2", clock.Now().Add(time.Minute)) {
			t.Fatal("not suspended")
		}
		checker.suspect("e2")
		time.Sleep(2 * suspectCheckInterval)
		synctest.Wait()
		if i.fleet.Accepting("e2") {
			t.Error("an engine whose state breaks off is taken for running")
		}
	})
}

// TestEngineCheckOfInstanceCutOff guards against a home that takes its own broken way for broken engines, so that all instances
// refuse what they could serve.
func TestEngineCheckOfInstanceCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{err: errors.New("refused")}
		i := newCheckedInstance(engines, clock.Now().Add(-outageCheckAge))
		defer i.log.Close()
		checker := newEngineChecker(i)
		checker.blames = func(address string) bool { return address == "e2" }
		defer checker.start(t)()
		checker.suspect("e1")
		if _, err := checker.Load(t.Context(), "e1"); !errors.Is(err, errNoLoadReport) {
			t.Errorf("error %v, want none but the missing report", err)
		}
		time.Sleep(2 * suspectCheckInterval)
		synctest.Wait()
		if !i.fleet.Accepting("e1") || checker.ended(t.Context(), "e1") || !checker.ended(t.Context(), "e2") {
			t.Errorf("accepting %t, ended: e1 %t, e2 %t; want an engine that is blamed to have ended and no other",
				i.fleet.Accepting("e1"), checker.ended(t.Context(), "e1"), checker.ended(t.Context(), "e2"))
		}
	})
}

// TestEngineEndsAmongOthers guards against a crash that is forgotten because several engines end at once, so that the instance
// doubts its own way for a moment.
func TestEngineEndsAmongOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newCheckedInstance(&scriptedEngines{err: errors.New("refused")}, clock.Now())
		defer i.log.Close()
		checker := newEngineChecker(i)
		doubtUntil := time.Now().Add(endedRetryDelay + time.Millisecond)
		checker.blames = func(string) bool { return time.Now().After(doubtUntil) }
		if !checker.ended(t.Context(), "e1") {
			t.Error("the engine is taken for alive")
		}
	})
}

// TestEngineCheckBackingOff guards against questions to an engine that has asked for a back-off, and against taking it for
// ended.
func TestEngineCheckBackingOff(t *testing.T) {
	engines := &scriptedEngines{err: errors.New("refused")}
	i := newCheckedInstance(engines, clock.Now().Add(-outageCheckAge))
	defer i.log.Close()
	i.fleet.ApplySignal("e1", fleet.Signal{Backoff: time.Minute}, fleet.SourceRequest)
	checker := newEngineChecker(i)
	if _, err := checker.Load(t.Context(), "e1"); !errors.Is(err, errNoLoadReport) {
		t.Errorf("error %v, want none but the missing report", err)
	}
	if checker.ended(t.Context(), "e1") || engines.askedCount() != 0 || !i.fleet.Accepting("e1") {
		t.Errorf("asked %d times, accepting %t", engines.askedCount(), i.fleet.Accepting("e1"))
	}
}

// TestEngineCheckWithinLimit guards against questions beyond the limit that an engine names, and against an engine that is
// suspended, or used again, because it could not be asked.
func TestEngineCheckWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{err: errors.New("refused")}
		i := newCheckedInstance(engines, clock.Now())
		defer i.log.Close()
		i.limits.Observe("e1", quota.LimitOf(0), clock.Now())
		checker := newEngineChecker(i)
		defer checker.start(t)()
		checker.suspect("e1")
		time.Sleep(2 * suspectCheckInterval)
		synctest.Wait()
		if engines.askedCount() != 0 || !i.fleet.Accepting("e1") {
			t.Errorf("asked %d times, accepting %t; want never and true", engines.askedCount(), i.fleet.Accepting("e1"))
		}
	})
}

// TestEngineCheckEvacuated guards against questions to an engine in an evacuated data centre, and against taking it for ended.
func TestEngineCheckEvacuated(t *testing.T) {
	engines := &scriptedEngines{err: errors.New("refused")}
	i := newCheckedInstance(engines, clock.Now().Add(-outageCheckAge))
	defer i.log.Close()
	i.fleet.Apply([]feed.Record{{Key: "evacuate/north-a", Revision: 3}}, feed.Knowledge{})
	checker := newEngineChecker(i)
	if _, err := checker.Load(t.Context(), "e1"); !errors.Is(err, errNoLoadReport) {
		t.Errorf("error %v, want none but the missing report", err)
	}
	backend, _ := i.fleet.Backend("e1")
	if err := checker.connect(t.Context(), backend); !errors.Is(err, errUnknown) {
		t.Errorf("a replica there: %v, want errUnknown", err)
	}
	if checker.ended(t.Context(), "e1") || engines.askedCount() != 0 {
		t.Errorf("taken for ended, or asked %d times", engines.askedCount())
	}
}

// TestReplicaEnded guards against a replica that is taken for ended because it broke a request off, and against one that has ended and is
// taken for alive because it cannot be asked for its state.
func TestReplicaEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	checker := newEngineChecker(newCheckedInstance(&scriptedEngines{}, clock.Now()))
	replica := route.Backend{ID: "r1", Address: listener.Addr().String()}
	if err := checker.connect(t.Context(), replica); err != nil {
		t.Errorf("a replica that accepts connections has ended: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := checker.connect(t.Context(), replica); err == nil || errors.Is(err, errUnknown) {
		t.Errorf("a replica that refuses connections: %v, want another error than errUnknown", err)
	}
}
