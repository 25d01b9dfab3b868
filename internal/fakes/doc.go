// Package fakes provides small stand-ins for the systems outside dragonflypond: model engines, plain services, the
// configuration service, the instance list and the weight store.
//
// Each stand-in is a type with an http.Handler, so that tests and the demo command run them in one process and
// cmd/standin runs each as a process of its own. POST /faults injects faults. POST /reset, which all stand-ins but Link
// serve, clears faults and counters; an Engine also returns to its initial state.
//
// # Usage
//
//	engine := fakes.NewEngine(fakes.DefaultEngineConfig("draft-1"))
//	defer engine.Close()
//	server, err := fakes.Serve("127.0.0.1:0", engine)
//	if err != nil {
//		return err
//	}
//	defer server.Close()
//	// Requests go to http://SERVER.Address()/v1/generations.
package fakes
