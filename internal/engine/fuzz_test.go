package engine

import (
	"bytes"
	"io"
	"testing"
)

// FuzzEvents guards against streams of engines that end the process, and against tokens that such a stream does not hold.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"generation\":\"g\",\"offset\":0,\"text\":\"a\"}\n\nevent: done\ndata: {\"generation\":\"g\",\"tokens\":1}\n\n"))
	f.Add([]byte("event: done\r\ndata:{\"tokens\":1e30}\r\n\r\n:\n\ndata: [[[[\n\n"))
	f.Add([]byte("data: {\"offset\":-9223372036854775808}\n\nevent\n\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		reader := newEventReader(io.NopCloser(bytes.NewReader(sent)))
		for events := 0; ; events++ {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if events > bytes.Count(sent, []byte("\n")) {
				t.Fatalf("more events than lines; the last is %+v", event)
			}
			if !event.Kind.IsAEventKind() {
				t.Errorf("event %+v", event)
			}
		}
	})
}
