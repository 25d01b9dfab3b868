// Package route holds the published routing configuration: which service answers a request, which client account a key
// belongs to, and the limits for callers.
//
// A Catalogue is one published configuration. It is immutable, so a request keeps the catalogue under which it was
// accepted. Catalogues are ordered by the publisher's version number, which increases but may skip values.
//
// # Usage
//
//	catalogue := route.New(route.Content{Version: 7, Routes: routes, Services: services})
//	matched, ok := catalogue.Match(host, path)
//	account, ok := catalogue.Account(key)
package route
