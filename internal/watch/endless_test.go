package watch

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// TestEndlessAnswers guards against an answer of the configuration service or the instance list without an end of which an instance keeps
// more than its limit, or which it takes for a whole one.
func TestEndlessAnswers(t *testing.T) {
	readManifest := func(ctx context.Context, client *platformClient) error {
		result := client.readManifest(ctx, Read{})
		if result.Err == nil {
			return result.Invalid
		}
		return result.Err
	}
	readList := func(ctx context.Context, client *platformClient) error {
		_, err := client.readList(ctx)
		return err
	}
	tests := []struct {
		name   string
		read   func(context.Context, *platformClient) error
		isHead bool
		forms  []fakes.EndlessForm
	}{
		{"manifest, head", readManifest, true, fakes.EndlessHeads()},
		{"list, head", readList, true, fakes.EndlessHeads()},
		{"manifest, body", readManifest, false, fakes.EndlessBodies()},
		{"list, body", readList, false, fakes.EndlessBodies()},
	}
	for _, test := range tests {
		for _, form := range test.forms {
			for _, burst := range []int{0, 8 << 20} {
				t.Run(test.name+"/"+form.Name, func(t *testing.T) {
					t.Parallel()
					server := httptest.NewServer(fakes.NewEndless(form, burst))
					defer server.Close()
					log := logrus.New()
					log.SetOutput(io.Discard)
					client := newPlatformClient(Options{ServiceURL: server.URL, ListURL: server.URL, Client: newHTTPClient(), Logger: log})
					begun := time.Now()
					err := test.read(t.Context(), client)
					if err == nil {
						t.Error("an answer without an end is taken for a whole one")
					}
					if elapsed := time.Since(begun); test.isHead && elapsed >= platformTimeout {
						t.Errorf("the head is read until the deadline: %v", err)
					}
				})
			}
		}
	}
}
