// Package feed keeps a copy of what the platform publishes: records under keys, each with a revision.
//
// In each region one instance reads the platform's store; the others follow it in a tree, and each follower serves the
// same requests, so that any instance can take over. An instance that hears nothing new from its source for some time
// tries the next one. This keeps the number of calls to the store independent of the size of the fleet, and the number of
// copies that an instance sends to others constant.
//
// A copy also states when it was last known to be current. Keys of client accounts are only accepted while that is
// recent. The times are those of a clock that counts suspended time, and a source's statement is counted from the
// moment at which it was asked, so that a late answer never looks recent.
//
// # Usage
//
//	f := feed.New(feed.Options{Store: store, Peers: peers, Clock: clock.Now, Log: log})
//	f.OnChange(func(records []feed.Record) { inventory.Apply(records) })
//	go f.Run(ctx)
//	if now.Sub(f.ConfirmedAt()) > limit {
//		// The copy may be out of date.
//	}
package feed
