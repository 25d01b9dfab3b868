package order

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// TestEndlessAnswers guards against an answer of an engine without an end of which an instance keeps more than its limit, or which it takes
// for a state.
func TestEndlessAnswers(t *testing.T) {
	const deadline = 3 * time.Second
	readState := func(ctx context.Context, client *HTTPEngineClient, engine spec.Backend) error {
		_, err := client.ReadState(ctx, engine)
		return err
	}
	sendOrder := func(ctx context.Context, client *HTTPEngineClient, engine spec.Backend) error {
		return client.SendOrder(ctx, engine, Order{}, func() error { return nil })
	}
	tests := []struct {
		name   string
		send   func(context.Context, *HTTPEngineClient, spec.Backend) error
		isHead bool
		forms  []fakes.EndlessForm
	}{
		{"state, head", readState, true, fakes.EndlessHeads()},
		{"order, head", sendOrder, true, fakes.EndlessHeads()},
		{"state, body", readState, false, fakes.EndlessBodies()}, // The body of the answer to an order is not read.
		{"state with more behind it", readState, false, []fakes.EndlessForm{
			{Name: "spaces", Prefix: "HTTP/1.1 200 OK\r\n\r\n{\"fence\":3,\"state\":\"ready\"}", Repeated: " "},
			{Name: "states", Prefix: "HTTP/1.1 200 OK\r\n\r\n{\"fence\":3}", Repeated: "{\"fence\":4}"},
		}},
	}
	for _, test := range tests {
		for _, form := range test.forms {
			for _, burst := range []int{0, 4 << 20} {
				t.Run(test.name+"/"+form.Name, func(t *testing.T) {
					t.Parallel()
					server := httptest.NewServer(fakes.NewEndless(form, burst))
					defer server.Close()
					config := engineConfig("e", "a1", "2", true)
					config["address"] = server.Listener.Addr().String()
					engine := manifestOf(t, 4, 1, config).Backends()[0]
					ctx, cancel := context.WithTimeout(t.Context(), deadline)
					defer cancel()
					err := test.send(ctx, NewHTTPEngineClient(nil), engine)
					if err == nil {
						t.Error("an answer without an end is taken for a whole one")
					}
					if test.isHead && ctx.Err() != nil {
						t.Errorf("the head is read until the deadline: %v", err)
					}
				})
			}
		}
	}
}
