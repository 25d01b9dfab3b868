// Package feed replicates the records that the platform publishes: values under keys, each with a revision.
//
// In each region one instance reads the platform's store. The others pull from it along a tree. Every instance answers
// pulls, so that any of them can replace another one as a source. An instance whose source fails or is stale tries the
// next source. It waits for one that only lacks changes which it has itself: with many changes a second somebody is always
// ahead, and the store is ahead of all. This keeps the number of calls to the store independent of the number of instances, and the number of
// followers of each instance constant.
//
// A replica also states when it was last known to be current. Keys of client accounts are only accepted while that is
// recent. The times are those of a clock that counts suspended time. The age that a source states is counted from the
// moment at which the request was sent, so that a delayed response never looks recent.
//
// The store may come back from an older copy. Numbered records, which the publisher numbers itself, never go back then: an instance keeps the
// greatest number it has met, and one that starts asks others before it takes the store's; see CompleteAtStart.
//
// # Usage
//
//	f := feed.New(feed.Options{
//		Upstreams: upstreams, Clock: clock.Now, Log: log,
//		OnChange: func(records []feed.Record) { inventory.Apply(records) },
//	})
//	go f.Run(ctx)
//	if now.Sub(f.ConfirmedAt()) > limit {
//		// The replica may be out of date.
//	}
package feed
