package logs

import (
	"os"
	"strings"
	"testing"
)

// TestOperationsPage guards against an operations page that quotes log lines the programs no longer write.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	events := map[string]bool{}
	for text := range strings.Lines(string(page)) {
		text = strings.TrimSpace(text)
		if !strings.HasPrefix(text, "{") {
			continue
		}
		line, err := ParseLine([]byte(text))
		if err != nil {
			t.Errorf("line %q: %v", text, err)
			continue
		}
		events[line.Field(Event)] = true
	}
	for _, want := range []string{"requestPlaced", "streamBroken", "requestEnded", "runMoved", "moveFailed", "attemptFailed", "sourceFailed"} {
		if !events[want] {
			t.Errorf("the page quotes no log line of event %s", want)
		}
	}
}

// TestRequestTimeline guards against lines of other requests, a wrong order, and malformed lines that hide other lines.
func TestRequestTimeline(t *testing.T) {
	const log = `prefix {"event":"requestEnded","request":"r1","time":"2026-07-26T10:00:02Z","outcome":"failed"}
{"event":"requestPlaced","request":"r1","time":"2026-07-26T10:00:01Z","backend":"i-1"}
{"event":"requestPlaced","request":"r12","time":"2026-07-26T10:00:01Z"}
{"event":"requestPlaced","request":"r1"
`
	timeline := NewTimeline("r1")
	if err := timeline.Read(strings.NewReader(log), "a.log"); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "backend=i-1") || !strings.Contains(lines[1], "1.000 s") || timeline.Malformed() != 1 {
		t.Errorf("timeline %q with %d malformed lines, want two lines in order and one malformed", out.String(), timeline.Malformed())
	}
	if err := NewTimeline("r9").Write(&out); err == nil {
		t.Error("no error for a request without lines")
	}
}
