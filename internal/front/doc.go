// Package front is the HTTP interface towards callers: routes, authentication, limits, refusals as problem+json, and
// answers as server-sent events.
//
// POST /v1/completions and POST /v1/chat/completions accept the fields that are usual for these paths (model, prompt
// or messages, max_tokens, stream) and version, adapter and maxTokens. Streamed answers are chunks with the usual
// choices; each event has an id that is the cursor of the answer, and the offset of its token. The last event is named
// done, error or move. A request with Last-Event-ID continues an answer.
//
// # Usage
//
//	handler := front.New(front.Options{
//		Source:    source,
//		Placer:    placer,
//		Executor:  executor,
//		Directory: directory,
//		Log:       log,
//		MACKey:    network.MACKey(),
//		Conn:      network.Conn,
//	})
//	err := peerpb.DRPCRegisterStreams(server.Mux(), handler.Streams())
//	httpServer := front.NewServer(handler)
//	go httpServer.Serve(listener)
//	...
//	err = handler.Drain(ctx)
package front
