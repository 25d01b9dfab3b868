// Package metric defines the Prometheus metrics of one entry instance.
//
// Label cardinality is bounded: generations are labelled with the account's priority level and the work class, not with
// the account's name, so that 10,000 client accounts add no series. Only account_seconds is labelled with names, at
// most 64 of them. Durations are in seconds.
//
// # Usage
//
//	metrics := metric.New()
//	work := metrics.ForClass(account.Priority(), pond.ClassShort)
//	work.FirstToken.Observe(elapsed.Seconds())
//	metrics.CountRefusal(pond.ReasonOverloaded)
//	http.Handle("/metrics", metrics.Handler())
package metric
