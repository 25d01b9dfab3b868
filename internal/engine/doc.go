// Package engine is the HTTP client of the engine protocol and the transport to backend servers.
//
// The error of a failed request has an outcome. It is pond.OutcomeNotSent if dialing failed, as with a refused
// connection, and the request never got a connection. After it got one, the outcome is pond.OutcomeMaybeSent until the
// backend server has responded. The error of net/http alone does not show the difference: net/http may write a request
// to a pooled connection, lose that connection, and return the error of a second dial. The transport therefore uses
// httptrace to record whether the request ever got a connection.
//
// # Usage
//
//	client := engine.NewClient(nil)
//	events, err := client.Start(ctx, "127.0.0.1:7201", engine.Generation{Generation: id, Model: "letters", Prompt: text})
//	if err != nil {
//		var failure *engine.Error
//		if errors.As(err, &failure) && failure.Outcome() == pond.OutcomeNotSent {
//			// The engine has not received the generation.
//		}
//	}
//	defer events.Close()
//	event, err := events.Next()
package engine
