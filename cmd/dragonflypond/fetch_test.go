package main

import (
	"context"
	"errors"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// TestEndlessDocument guards against an answer of an instance without an end that a command keeps until its time or its memory is used up.
func TestEndlessDocument(t *testing.T) {
	for _, form := range append(fakes.EndlessHeads(), fakes.EndlessBodies()...) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, fakes.NewEndless(form, 2*maxDocumentBytes))
			var document any
			if err := fetchJSON(t.Context(), address, "/", &document); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want one about the size of the answer", err)
			}
		})
	}
}
