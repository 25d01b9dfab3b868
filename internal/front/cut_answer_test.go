package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// failingWriter is a response whose caller does not read its body.
type failingWriter struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("the caller does not read") }

// TestUnreadAnswerIsAborted guards against an answer of which a part was written and that ends in order, so that a caller without chunks takes the part
// for the whole answer.
func TestUnreadAnswerIsAborted(t *testing.T) {
	options := testOptions(t, 1)
	released := false
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
		return pond.Answer{Status: 200, Body: []byte("done")}.OnRelease(func() { released = true }), nil
	})
	f := New(options)
	in := httptest.NewRequest(http.MethodPost, "/services/portal/confirm", http.NoBody)
	in.Header.Set("Authorization", "Bearer "+testAPIKey)
	in.Header.Set("Idempotency-Key", "p:1")
	defer func() {
		if r := recover(); r != http.ErrAbortHandler {
			t.Errorf("the handler ends with %v, want %v", r, http.ErrAbortHandler)
		}
		if !released || f.InProgress() != 0 {
			t.Errorf("released %t, %d in progress, want true and 0", released, f.InProgress())
		}
	}()
	f.ServeHTTP(failingWriter{httptest.NewRecorder()}, in)
}
