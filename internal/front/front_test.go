package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const testAPIKey = "key of acme"

// fixedSource is a manifest source with one manifest.
type fixedSource struct {
	manifest    *spec.Manifest
	unconfirmed bool
}

func (s *fixedSource) Current() *spec.Manifest  { return s.manifest }
func (s *fixedSource) Confirmed(time.Time) bool { return !s.unconfirmed }

// staticDirectory is a directory of fixed instances; the first is the instance under test.
type staticDirectory []pond.Instance

func (d staticDirectory) Self() pond.Instance        { return d[0] }
func (d staticDirectory) Instances() []pond.Instance { return d }

// stubPlacement is a placement on the engine at the given address.
type stubPlacement string

func (p stubPlacement) Backend() (name, address string)   { return "engine-1", string(p) }
func (p stubPlacement) Progress(int, time.Time)           {}
func (p stubPlacement) Done(pond.PlacementEnd, time.Time) {}

// startStubEngine starts an engine whose generations all have the given number of tokens, and returns its address.
func startStubEngine(t testing.TB, tokens int) string {
	t.Helper()
	mux := http.NewServeMux()
	send := func(w http.ResponseWriter, generation string, offset int) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for ; offset < tokens; offset++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"generation\":%q,\"offset\":%d,\"text\":\"t%d \"}\n\n", offset, generation, offset, offset)
			_ = control.Flush()
		}
		_, _ = fmt.Fprintf(w, "event: done\ndata: {\"generation\":%q,\"tokens\":%d}\n\n", generation, tokens)
	}
	mux.HandleFunc("POST /v1/generations", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Generation string `json:"generation"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		send(w, body.Generation, 0)
	})
	mux.HandleFunc("GET /v1/generations/{id}", func(w http.ResponseWriter, r *http.Request) {
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		send(w, r.PathValue("id"), offset)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func testManifest(t testing.TB, engine string) *spec.Manifest {
	return limitedManifest(t, engine, 4, 2)
}

// unlimitedManifest returns a manifest in which the limits of the account are too high to be reached.
func unlimitedManifest(t testing.TB) *spec.Manifest {
	return limitedManifest(t, "127.0.0.1:1", 1e6, 1e6)
}

func limitedManifest(t testing.TB, engine string, requestsPerSecond, maxOpen int) *spec.Manifest {
	t.Helper()
	hash := sha256.Sum256([]byte(testAPIKey))
	body := fmt.Sprintf(`{
		"number": 1, "deployment": "test",
		"regions": [{"name": "attiki", "dataCentres": ["attiki-1"]}],
		"link": {"bytesPerSecond": 1000000, "bytesPerHour": 1000000000},
		"weightStore": {"address": "127.0.0.1:1", "dataCentre": "attiki-1", "loadsPerMinute": 1},
		"models": [{"name": "letters", "versions": ["v1"], "adapters": ["formal"], "contextTokens": 8192, "maxTokens": 4096}],
		"backendServers": [
			{"name": "engine-1", "address": %q, "dataCentre": "attiki-1", "kind": "engine", "memoryTokens": 100000,
				"maxRunning": 16, "placement": {"model": "letters", "version": "v1", "role": "serve"}},
			{"name": "portal-1", "address": "127.0.0.1:2", "dataCentre": "attiki-1", "kind": "service"}],
		"services": [{"name": "portal", "backendServers": ["portal-1"], "routes": [
			{"method": "POST", "path": "/confirm", "repeat": "atMostOnce"},
			{"method": "GET", "path": "/schedule/*", "repeat": "idempotent"}]}],
		"clientAccounts": [{"name": "acme", "keyHashes": [%q], "priority": 2, "weight": 1, "requestsPerSecond": %d, "maxOpen": %d}],
		"policy": {"maxBodyBytes": 4096}
	}`, engine, hex.EncodeToString(hash[:]), requestsPerSecond, maxOpen)
	manifest, err := spec.Decode([]byte(body), 1)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

func testOptions(t testing.TB, tokens int) Options {
	t.Helper()
	address := startStubEngine(t, tokens)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ref := pond.InstanceRef{ID: "entry-1", Incarnation: 1}
	return Options{
		Source: &fixedSource{manifest: testManifest(t, address)},
		Placer: pond.PlacerFunc(func(context.Context, pond.PlaceRequest) (pond.Placement, error) {
			return stubPlacement(address), nil
		}),
		Directory: staticDirectory{pond.NewInstance(ref, pond.InstanceLive, "127.0.0.1:80", "127.0.0.1:81", "attiki-1", "attiki")},
		MACKey:    []byte("0123456789abcdef0123456789abcdef"),
		Log:       log,
	}
}

func sendRequest(handler http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

// sseEvent is one decoded server-sent event.
type sseEvent struct{ id, event, data string }

func parseEvents(body string) []sseEvent {
	var events []sseEvent
	for block := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var e sseEvent
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				e.id = value
			case "event":
				e.event = value
			case "data":
				e.data = value
			}
		}
		events = append(events, e)
	}
	return events
}

// TestStreamedAnswer guards against lost or reordered tokens, token events without a cursor and a missing done event.
func TestStreamedAnswer(t *testing.T) {
	f := New(testOptions(t, 5))
	w := sendRequest(f, http.MethodPost, "/v1/completions", `{"model":"letters","prompt":"hello","stream":true}`)
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	events := parseEvents(w.Body.String())
	if len(events) != 7 {
		t.Fatalf("%d events, want 5 tokens, the final chunk and the done event: %s", len(events), w.Body)
	}
	for i, e := range events[:5] {
		if e.id == "" || !strings.Contains(e.data, fmt.Sprintf(`"text":"t%d "`, i)) {
			t.Errorf("event %d has id %q and data %s", i, e.id, e.data)
		}
	}
	if last := events[6]; last.event != "done" || last.data != "[DONE]" {
		t.Errorf("last event %+v, want done", last)
	}
}
