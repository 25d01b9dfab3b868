// Package stream relays generations from engines to callers.
//
// A Relay places a generation, starts it on the engine, and delivers its events to a Sink. It accepts only events of
// its own generation, and only the token with the next offset. A broken connection is resumed on the same engine from
// that offset. If an engine fails before the first token was delivered, a new generation is started elsewhere; after the
// first token only the same generation may continue, so that no caller sees tokens of two generations.
//
// Each delivered token carries a cursor. A caller that lost its connection presents the cursor to any instance, which
// asks the relay named in it to release the generation. The first one to ask gets it.
//
// # Usage
//
//	relay := stream.NewRelay(stream.Options{
//		Ref:     ref,
//		Placer:  placer,
//		Runner:  client,
//		Cancel:  client,
//		MACKey:  network.MACKey(),
//		Address: addressOf,
//	})
//	err := relay.Generate(ctx, request, stream.SinkFunc(func(item stream.Item) error { ... }))
//	if refusal, ok := errors.AsType[*pond.Refusal](err); ok {
//		// Nothing was delivered to the sink.
//	}
package stream
