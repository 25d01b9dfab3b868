package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestRecordCuts guards against requests that the end of a shutdown cuts off and no line of the log names, or names without how far they had
// come.
func TestRecordCuts(t *testing.T) {
	oneEvent := func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, 1)
		_ = http.NewResponseController(w).Flush()
		respondNever(w, r)
	}
	tests := []struct {
		name        string
		respond     http.HandlerFunc
		full        bool
		wantStage   Stage
		wantBackend string
	}{
		{"waits for an engine", respondNever, true, StageWaiting, ""},
		{"sent", respondNever, false, StageSent, "b0"},
		{"streams", oneEvent, false, StageResponding, "b0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, newFakeBackend(t, test.respond))
			bed.placer.full = test.full
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			log.SetFormatter(&logrus.JSONFormatter{})
			bed.relay.options.Log = log
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				if resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", "").WithContext(ctx)); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body) // The request is canceled below.
					_ = resp.Body.Close()
				}
			}()
			bed.awaitStage(t, test.wantStage)
			bed.relay.RecordCuts()
			cancel()
			<-done
			bed.front.Close()
			line := cutLine(t, out.String())
			if line[logs.Stage] != test.wantStage.String() || line[logs.Request] != "call-1" {
				t.Errorf("got the line %v, want request call-1 at stage %v", line, test.wantStage)
			}
			if got, _ := line[logs.Backend].(string); got != test.wantBackend {
				t.Errorf("the line names backend server %q, want %q", got, test.wantBackend)
			}
		})
	}
}

// awaitStage waits until the only open request has reached a stage.
func (b *testBed) awaitStage(t *testing.T, stage Stage) {
	t.Helper()
	for deadline := time.Now().Add(callDeadline); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, x := range b.relay.open.list() {
			x.progress.mu.Lock()
			reached := x.progress.stage == stage
			x.progress.mu.Unlock()
			if reached {
				return
			}
		}
	}
	t.Fatalf("no request reaches stage %v", stage)
}

// cutLine returns the line of the log that reports a cut request.
func cutLine(t *testing.T, text string) map[string]any {
	t.Helper()
	for part := range strings.Lines(text) {
		var line map[string]any
		if err := json.Unmarshal([]byte(part), &line); err != nil {
			t.Fatal(err)
		}
		if line[logs.Event] == "requestCut" {
			return line
		}
	}
	t.Fatalf("no line reports the cut:\n%s", text)
	return nil
}
