// Package grant places generations on engines through the home instance of each pool.
//
// A pool is the set of engines that serve one model in one region. Every entry instance of the region sends its
// requests to the pool's home over one drpc stream, and the home decides with one scheduler from package sched. While
// no home answers, an instance decides locally with the same scheduler over what it knows. A request is resolved once
// for its caller: decisions of an earlier home are ignored after the request was offered to another.
//
// # Usage
//
//	placer := grant.New(grant.Options{
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
package grant
