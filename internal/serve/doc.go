// Package serve assembles an entry instance that forwards requests unchanged. It runs on a platform that publishes
// routes, client accounts and backend servers and that is reached through the Adapters.
//
// An instance joins the other instances (package member), replicates the published records (package feed), tracks the
// configuration and the backend servers (package fleet), places generations (package place) and serves callers (package
// relay). It answers address lookups by callers and serves metrics on separate listeners.
//
// # Usage
//
//	instance, err := serve.New(settings, flags, adapters, log)
//	if err != nil {
//		return err
//	}
//	err = instance.Run(ctx) // until Shutdown has completed
package serve
