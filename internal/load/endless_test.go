package load

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// TestEndlessAnswers guards against an answer without an end that the load tool keeps until its time or its memory is used up.
func TestEndlessAnswers(t *testing.T) {
	for _, form := range append(fakes.EndlessHeads(), fakes.EndlessBodies()...) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(fakes.NewEndless(form, 4<<20))
			defer server.Close()
			client := &http.Client{Transport: newTransport()}
			cache := newEntryCache(client, 0, nil)
			if _, err := cache.fetch(t.Context(), server.Listener.Addr().String()); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("entries: error %v, want one about the size of the answer", err)
			}
		})
	}
}

// repeatedReader reads a text again and again.
type repeatedReader string

func (r repeatedReader) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat(string(r), 1+len(p)/len(r))), nil
}

// TestEndlessEvents guards against an event without an end that the load tool keeps until its memory is used up.
func TestEndlessEvents(t *testing.T) {
	for _, repeated := range []string{"x", "data: x\n", "data: x"} {
		t.Run(repeated, func(t *testing.T) {
			ended := make(chan error, 1)
			body, stop := io.Pipe()
			go func() { _, _ = io.Copy(stop, io.LimitReader(repeatedReader(repeated), 64<<20)) }()
			go func() {
				events := eventReader{reader: bufio.NewReader(body)}
				_, err := events.next()
				ended <- err
			}()
			select {
			case err := <-ended:
				if !errors.Is(err, errEventTooLarge) {
					t.Errorf("error %v, want %v", err, errEventTooLarge)
				}
			case <-time.After(10 * time.Second):
				t.Error("the event is read without a limit")
			}
			_ = body.Close()
		})
	}
}
