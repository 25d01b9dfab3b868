package relay

import (
	"io"
	"net/http"
	"slices"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestMoveDeclined guards against a run that is lost because the target of its move declines it although the source keeps it, and against a placer that takes a
// run which went on at its source for one at the target.
func TestMoveDeclined(t *testing.T) {
	declineAll := func(w http.ResponseWriter, r *http.Request) { respondNotRun(w, r) }
	breakOff := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		resetConnection(w, r)
	}
	type moves struct {
		orders, reported []string // targets, and targets with the success of the move
	}
	tests := []struct {
		name      string
		targets   []http.HandlerFunc // nil for an engine that has gone
		source    http.HandlerFunc   // for the rest of the run
		copyErr   error              // of the last copy
		leaves    bool               // the source
		wantWhole bool
		want      moves
	}{
		{"by the target", []http.HandlerFunc{declineAll}, continueStream, nil, false, true, moves{[]string{"b1"}, []string{"b1false"}}},
		{"target has gone", []http.HandlerFunc{nil}, continueStream, nil, false, true, moves{[]string{"b1"}, []string{"b1false"}}},
		{"source leaves", []http.HandlerFunc{declineAll}, continueStream, nil, true, true, moves{[]string{"b1"}, []string{"b1false"}}},
		{"not copied to the end", []http.HandlerFunc{continueStream}, continueStream, &CopyError{Handle: "rest"}, false, true, moves{[]string{"b1"}, []string{"b1false"}}},
		{"by all", []http.HandlerFunc{declineAll}, declineAll, nil, false, false, moves{[]string{"b1"}, []string{"b1false"}}},
		{"target may have run it", []http.HandlerFunc{breakOff}, continueStream, nil, false, false, moves{[]string{"b1"}, []string{"b1false"}}},
		{"by the first of two targets", []http.HandlerFunc{declineAll, continueStream}, nil, nil, true, true, moves{[]string{"b1", "b2"}, []string{"b1false", "b2true"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, stopped := make(chan int, 2), make([]chan struct{}, len(test.want.orders))
			for i := range stopped {
				stopped[i] = make(chan struct{})
			}
			var runs, copies int
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Handle") != "" && runs >= len(stopped) {
					test.source(w, r)
					return
				}
				run := runs
				runs++
				writeEvent(w, run+1)
				begun <- run
				<-stopped[run]
				resetConnection(w, r)
			})
			backends := []*fakeBackend{source}
			for _, handler := range test.targets {
				target := newFakeBackend(t, handler)
				if handler == nil {
					target.server.Close()
				}
				backends = append(backends, target)
			}
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, backends...)
			bed.copier.err = test.copyErr
			bed.copier.onLast = func() {
				close(stopped[copies])
				copies++
			}
			go func() {
				for _, target := range test.want.orders {
					<-begun
					if test.leaves {
						bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
						bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, feed.Knowledge{})
					}
					bed.placer.moves <- pond.Move{From: "b0", Backend: target}
				}
			}()
			status, body := bed.post(t, "key")
			if whole := status == http.StatusOK; whole != test.wantWhole || whole && body != eventsFrom(1) {
				t.Errorf("status %d, body %q, whole answer wanted: %t", status, body, test.wantWhole)
			}
			if reported := bed.placer.reportedMoves(); !slices.Equal(reported, test.want.reported) {
				t.Errorf("reported moves %v, want %v", reported, test.want.reported)
			}
		})
	}
}
