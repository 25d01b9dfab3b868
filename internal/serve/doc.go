// Package serve assembles an entry instance that passes requests on unchanged, on a platform that publishes routes,
// client accounts and backend servers and that is reached through Ports.
//
// An instance joins the other instances (package member), follows the published records (package feed), keeps its view
// of the configuration and the backend servers (package fleet), places generations (package grant) and serves callers
// (package relay). It answers callers' questions for addresses and serves metrics on a listener of its own.
//
// # Usage
//
//	instance, err := serve.New(settings, tuning, ports, log)
//	if err != nil {
//		return err
//	}
//	err = instance.Run(ctx) // until Shutdown has completed
package serve
