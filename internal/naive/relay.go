package naive

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Relay forwards the events of an engine unchecked. It validates no offsets, resumes no broken streams and never moves a
// generation to another engine.
type Relay struct {
	placer pond.Placer
	runner engine.Runner
	nextID func() string
}

// NewRelay returns a relay that takes generation IDs from nextID.
func NewRelay(placer pond.Placer, runner engine.Runner, nextID func() string) *Relay {
	return &Relay{placer: placer, runner: runner, nextID: nextID}
}

// Generate places a generation and streams its events to sink.
func (r *Relay) Generate(ctx context.Context, req stream.Request, sink stream.Sink) error {
	generation := r.nextID()
	placement, err := r.placer.Place(ctx, pond.PlaceRequest{Generation: generation, Account: req.Account, Model: req.Model})
	if err != nil {
		return err
	}
	_, address := placement.Backend()
	events, err := r.runner.Start(ctx, address, engine.Generation{Generation: generation, Model: req.Model, Prompt: req.Prompt})
	if err != nil {
		placement.Done(pond.PlacementEnd{BackendFailed: true}, time.Now())
		return pond.NewRefusal(pond.ReasonBackendFailed, pond.RunUnknown, time.Time{}, err.Error())
	}
	defer events.Close()
	tokens, err := relayEvents(generation, events, sink)
	placement.Done(pond.PlacementEnd{Tokens: tokens, Complete: err == nil, BackendFailed: err != nil}, time.Now())
	return nil
}

func relayEvents(generation string, events engine.Events, sink stream.Sink) (tokens int, err error) {
	for {
		event, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			_ = sink.Deliver(stream.Item{Kind: stream.ItemError, Generation: generation, Tokens: tokens, Reason: pond.ReasonBackendFailed})
			return tokens, err
		}
		if event.Kind == engine.EventDone {
			return tokens, sink.Deliver(stream.Item{Kind: stream.ItemDone, Generation: generation, Tokens: tokens})
		}
		tokens++
		item := stream.Item{Kind: stream.ItemToken, Generation: generation, Offset: event.Offset, Text: event.Text, Tokens: tokens}
		if err := sink.Deliver(item); err != nil {
			return tokens, err
		}
	}
}
