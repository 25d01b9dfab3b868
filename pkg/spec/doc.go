// Package spec defines the manifest: the one document with which operators configure the system.
//
// A manifest is JSON with camelCase names. It declares data centres, models, backend servers, plain services, client
// accounts and policy values. Values are immutable after decoding. Durations are strings such as "420ms"; amounts of
// engine memory are in tokens; rates are per second.
//
// # Usage
//
//	manifest, err := spec.Decode(body, revision)
//	if err != nil {
//		// err is a ValidationErrors value that lists every broken rule with its path.
//	}
//	if manifest.Version().After(current.Version()) {
//		// Replace the current manifest.
//	}
package spec
