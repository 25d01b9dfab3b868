package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// TestSummary guards against a summary that blames the wrong cause, misses requests whose instance was lost, or counts a
// request twice because two instances or two attempts name it.
func TestSummary(t *testing.T) {
	tests := []struct {
		name  string
		lines []string // fields besides the time and the request
		want  Cause
	}{
		{"on time", []string{`"event":"requestPlaced","elapsedMillis":1`, `"event":"requestEnded","outcome":"answered"`}, CauseNone},
		{"no end", []string{`"event":"requestPlaced","elapsedMillis":1`}, CauseInstanceGone},
		{"engine gone", []string{`"event":"streamBroken"`, `"event":"requestEnded","outcome":"brokenOff","reason":"generationLost"`}, CauseEngineGone},
		{"move failed", []string{
			`"event":"moveFailed"`, `"event":"streamBroken"`, `"event":"requestEnded","outcome":"brokenOff","reason":"generationLost"`,
		}, CauseMoveFailed},
		{"shutdown", []string{`"event":"requestEnded","outcome":"brokenOff","reason":"leaving"`}, CauseShutdown},
		{"caller left", []string{`"event":"requestEnded","outcome":"brokenOff","reason":"canceled"`}, CauseCallerLeft},
		{"deadline", []string{`"event":"requestEnded","outcome":"failed","reason":"deadline"`}, CauseDeadline},
		{"failed", []string{`"event":"requestEnded","outcome":"failed","reason":"backendFailed"`}, CauseBackendFailed},
		{"error of a backend server", []string{`"event":"requestEnded","outcome":"answered","status":500`}, CauseBackendFailed},
		{"refused", []string{`"event":"requestEnded","outcome":"refused","reason":"overloaded"`}, CauseRefused},
		{"rejected", []string{`"event":"requestEnded","outcome":"rejected","reason":"notFound"`}, CauseRejected},
		{"waited at the home", []string{
			`"event":"requestPlaced","elapsedMillis":3000`,
			`"event":"requestEnded","outcome":"answered","late":"firstEvent","firstEventMillis":4200`,
		}, CauseLateHome},
		{"waited in the engine", []string{
			`"event":"requestPlaced","elapsedMillis":3`,
			`"event":"requestEnded","outcome":"answered","late":"firstEvent","firstEventMillis":4200`,
		}, CauseLateEngine},
		{"late answer", []string{`"event":"requestEnded","outcome":"answered","late":"answer","elapsedMillis":900`}, CauseLateEngine},
		{"gap", []string{`"event":"requestEnded","outcome":"answered","late":"gap"`}, CauseLateGap},
		{"gap of a move", []string{`"event":"runMoved"`, `"event":"requestEnded","outcome":"answered","late":"gap"`}, CauseLateMove},
	}
	all := NewSummary()
	for i, test := range tests {
		var log strings.Builder
		for j, fields := range test.lines {
			fmt.Fprintf(&log, `{"time":"2026-09-23T13:04:%02dZ","request":"r%d",%s}`+"\n", 2*j, i, fields)
		}
		summary := NewSummary()
		for _, s := range []*Summary{summary, all} {
			if err := s.Read(strings.NewReader(log.String()), "log"); err != nil {
				t.Fatal(err)
			}
		}
		if len(summary.requests) != 1 {
			t.Errorf("%s: %d requests, want 1", test.name, len(summary.requests))
		}
		for _, r := range summary.requests {
			if r.cause() != test.want {
				t.Errorf("%s: cause %v, want %v", test.name, r.cause(), test.want)
			}
		}
	}
	if err := all.Read(strings.NewReader("no JSON\n{\"time\":\"2026-09-23T13:04:00Z\",\"event\":\"peerChanged\"}\n"), "log"); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := all.Write(&out); err != nil {
		t.Fatal(err)
	}
	if all.Malformed() != 1 || !strings.HasPrefix(out.String(), fmt.Sprintf("%d requests\n      2  backendFailed  \n      2  lateEngine", len(tests))) {
		t.Errorf("%d malformed lines, summary\n%s", all.Malformed(), out.String())
	}
}
