// Package place assigns generations to engines through the home instance of each pool.
//
// A pool is the set of engines that serve one model in one region. Its home is the entry instance of the region that
// rendezvous hashing ranks first for the pool. Every entry instance sends its requests to the home over a drpc stream,
// and the home decides with one scheduler from package sched. While no home answers, an instance of the region decides
// locally with its own scheduler of the same kind, which knows only that instance's requests. Whichever of the two
// currently decides for an instance is called its coordinator. A request is resolved once for its caller: after it was
// offered to another coordinator, decisions of an earlier one are ignored.
//
// With Options.BalanceRegions, the homes of one model in different regions ask each other what they can take, and a home
// may decide that a request goes to another region (package spill). The instance offers it there, and again at home if it
// gets no engine there. Beside a home of a former release, which does not take part, a request is first offered to the home
// of its own region and then to that of another one with a load limit, above which a home refuses at once. Only then it
// waits, in its own region.
//
// # Usage
//
//	placer := place.New(place.Options{
//		Manifests: manifests,
//		Directory: members,
//		Backends:  backends,
//		Connect:   network.Conn,
//		Log:       log,
//	})
//	peerpb.DRPCRegisterScheduling(server.Mux(), placer)
//	go placer.Run(ctx)
//
//	placement, err := placer.Place(ctx, request)
//	defer placement.Done(end, time.Now())
package place
