package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestDetourDeclined guards against a run that is lost because the target of its detour declines it, although its source keeps it and the helper that leads
// there has time for another detour.
func TestDetourDeclined(t *testing.T) {
	const sent = 3
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4})
	h := newFakeHelper(bed)
	stops := []chan struct{}{make(chan struct{}), make(chan struct{})}
	var runs, copies atomic.Int32
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		run := int(runs.Add(1))
		if run > len(stops) {
			t.Errorf("%d runs at the source", run)
			return
		}
		if run > 1 {
			writeEvent(w, sent+1)
		} else {
			for id := range sent {
				writeEvent(w, id+1)
			}
			h.setEnd(time.Now().Add(5 * time.Second))
		}
		select {
		case <-stops[run-1]:
			resetConnection(w, r)
		case <-r.Context().Done():
		}
	})
	bed.relay.transport = engine.NewUnpooledTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == source.address() {
			return h.dial(ctx, network, address)
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	})
	bed.addBackends(source, newFakeBackend(t, respondNotRun), newFakeBackend(t, continueStream))
	bed.placer.spread, bed.maxOutput, bed.callerWait = true, 1000, callerPatience
	bed.setRouteTimeout(t, callerPatience)
	bed.copier.onLast = func() { close(stops[copies.Add(1)-1]) }
	status, body := bed.post(t, "key")
	if status != http.StatusOK || body != eventsFrom(1) || runs.Load() != 2 {
		t.Errorf("status %d, %q, %d requests at the source; want a whole answer, from the second target after a second run there", status, body, runs.Load())
	}
	bed.placer.mu.Lock()
	defer bed.placer.mu.Unlock()
	if placed := bed.placer.placed; len(bed.placer.ended) != placed {
		t.Errorf("%d of %d placements have ended", len(bed.placer.ended), placed)
	}
	if len(bed.placer.reported) > 0 {
		t.Errorf("moves %v are reported to a placer that has not ordered any", bed.placer.reported)
	}
}
