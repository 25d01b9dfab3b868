package relay

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// limitCold gives cold servers of the test bed a limit of two requests in any second: one from each home.
func (b *testBed) limitCold(cold ...string) {
	b.decoder.catalogue = route.New(route.Content{
		Version: 3,
		Routes: []route.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: route.KindStream, MaxAttempts: 2, Timeout: 5 * time.Second,
			Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s", Engine: &route.EngineSpec{EventTokens: 4}, ColdStart: time.Minute, ColdPerSecond: 1}},
		Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
	})
	records := []feed.Record{{Key: "catalogue", Revision: 70}}
	for id, backend := range b.decoder.backends {
		if slices.Contains(cold, id) {
			backend.ColdUntil = time.Now().Add(time.Minute)
		}
		b.decoder.backends[id] = backend
		records = append(records, feed.Record{Key: id, Revision: 71})
	}
	b.fleet.Apply(records, feed.Knowledge{})
}

// TestColdEngines guards against generations beyond the limit of a cold engine, and against one that is refused, or costs a question to each cold
// engine, although a warm one has room.
func TestColdEngines(t *testing.T) {
	engines := make([]*fakeBackend, 4)
	for i := range engines {
		engines[i] = newFakeBackend(t, continueStream)
	}
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, engines...)
	bed.limitCold("b0", "b1", "b2")
	var excluded [][]string
	bed.relay.options.Placer = pond.PlacerFunc(func(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
		excluded = append(excluded, req.Exclude)
		bed.placer.next = 0
		for slices.Contains(req.Exclude, "b"+string(rune('0'+bed.placer.next))) {
			bed.placer.next++
		}
		return bed.placer.Place(ctx, req)
	})
	for range 3 {
		if status, _ := bed.post(t, "key"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if cold, warm := engines[0].requestCount(), engines[3].requestCount(); cold != 1 || warm != 2 {
		t.Errorf("%d requests at the cold engine, %d at the warm one, want 1 and 2", cold, warm)
	}
	if len(excluded) != 5 || len(excluded[2]) != 3 {
		t.Errorf("the placements exclude %v, want all cold engines after a denial", excluded)
	}
}

// TestAllEnginesCold guards against a generation for which all engines are excluded because all are cold.
func TestAllEnginesCold(t *testing.T) {
	engines := []*fakeBackend{newFakeBackend(t, continueStream), newFakeBackend(t, continueStream)}
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, engines...)
	bed.limitCold("b0", "b1")
	bed.relay.options.Placer = pond.PlacerFunc(func(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
		bed.placer.next = len(req.Exclude)
		return bed.placer.Place(ctx, req)
	})
	for range 2 {
		if status, _ := bed.post(t, "key"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if first, second := engines[0].requestCount(), engines[1].requestCount(); first != 1 || second != 1 {
		t.Errorf("%d and %d requests, want one each", first, second)
	}
}
