package main

import (
	"context"
	"errors"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// TestEndlessManifest guards against an answer of the configuration service without an end that the load tool keeps until its time or its
// memory is used up.
func TestEndlessManifest(t *testing.T) {
	for _, form := range append(fakes.EndlessHeads(), fakes.EndlessBodies()...) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			server, err := fakes.Serve("127.0.0.1:0", fakes.NewEndless(form, 4<<20))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			o := options{configAddress: server.Address()}
			if err := o.readManifest(t.Context()); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want one about the size of the answer", err)
			}
		})
	}
}
