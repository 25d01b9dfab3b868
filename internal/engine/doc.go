// Package engine is the HTTP client of the engine protocol and the transport to backend servers.
//
// Every failed request carries a typed outcome. A request whose connection was refused is pond.OutcomeNotSent. Once a
// connection was obtained, a failure is pond.OutcomeMaybeSent until the backend server has answered. The distinction is
// made with httptrace, because net/http may send a request on a pooled connection, lose it, and return the error of a
// second dial.
//
// # Usage
//
//	client := engine.NewClient(engine.NewTransport())
//	events, err := client.Start(ctx, "127.0.0.1:7201", engine.Generation{Generation: id, Model: "letters", Prompt: text})
//	if err != nil {
//		var failure *engine.Error
//		if errors.As(err, &failure) && failure.Outcome() == pond.OutcomeNotSent {
//			// The engine has not seen the generation.
//		}
//	}
//	defer events.Close()
//	event, err := events.Next()
package engine
