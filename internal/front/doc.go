// Package front is the HTTP API for callers: routes, authentication, limits for each account, refusals as problem+json,
// and answers as server-sent events.
//
// POST /v1/completions and POST /v1/chat/completions accept the fields that are common for these paths (model, prompt
// or messages, max_tokens, stream) and also version, adapter and maxTokens. A streamed answer consists of chunks with
// the common choices field. The id of an event is the cursor from which the answer can be resumed, and the chunk of a
// token also holds its offset. The last event is named done, error or move. A request with Last-Event-ID resumes an
// answer.
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
