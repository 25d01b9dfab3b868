// Package order brings engines to the state that the manifest declares.
//
// The desired state of an engine is a pure function of the manifest. One instance, the home of the engine by rendezvous
// hashing over the live instances, reads the engine's state in each reconcile interval and sends an order if it differs
// from the desired state. An order is idempotent and carries the manifest number as fencing token. Two instances that
// both act as home send the same order if they hold the same manifest; if not, an engine that checks the token keeps
// the newer one. An engine that ignores the token may obey an old order that was delayed after the checks of its
// sender; its home corrects it within one reconcile interval.
//
// An order that makes an engine load weights needs a load slot for each of them. One instance of each region grants the
// slots, spaced over time. The share of each region is a pure function of the manifest, so the sum over all regions
// does not exceed the rate of the weight store, even if the regions cannot reach each other. Loads in a region without
// the weight store also count against the byte limits of the link between regions.
//
// # Usage
//
//	orders := order.New(order.Options{
//		Source:    manifests,
//		Directory: members,
//		Ranking:   order.RankingFunc(home),
//		Backends:  backends,
//		Engines:   order.NewHTTPEngineClient(nil),
//		Conn:      network.Conn,
//	})
//	peerpb.DRPCRegisterOrders(server.Mux(), orders)
//	err := orders.Run(ctx)
package order
