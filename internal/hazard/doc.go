// Package hazard keeps requests that crash backend servers from ending one server after the other.
//
// A part of a prompt may crash each engine that begins to answer it. Such requests come at any instance, no two alike, and
// share their caller and their other parts with sound ones. So the evidence is kept by part, and by all instances together:
//
//   - An engine that ends without a notice leaves a crash with the parts of the requests that it had just begun to answer.
//     Instances merge their reports of one crash.
//   - An answer that has begun clears the parts of its prompt on that version of the weights, in past crashes and in later
//     ones. So a part that sound requests have is cleared soon, however often it was seen beside the cause.
//   - A request is refused if its parts include all that are left of minCrashes crashes: one of them is the cause.
//   - A request with a part that is left of so many crashes beside others is an experiment. It may show that the part is
//     sound, so one at a time runs, by a permit of the part's home. So may one request, long after the last crash.
//
// A whole request may do the same: it comes again with the same method, path, caller and body. Another guard holds its identity in the
// place of parts. Identities differ in what their company tells: requests that ran beside the cause may never come again, so that no
// answer clears them. Table.CheckRequest counts the crashes of an identity since it was last answered instead: from minCrashes on it
// is refused, and is an experiment while another one was there each time. Nothing is remembered of requests that are in no crash.
//
// Crashes only grow by merging: parts are added and cleared, never taken back. Any order of messages gives the same table.
// An instance that starts asks others for their tables, and one that shuts down waits until another one keeps its table. Tables are
// bounded: the oldest crashes and clearings yield.
//
// Table decides and does no I/O. Guard shares it with other instances.
//
// # Usage
//
//	admission := guard.Admit(ctx, parts)
//	if !admission.Admitted() {
//		return refuse(admission.RetryAt())
//	}
//	// After the first events of the answer:
//	guard.Begun(parts, version)
//	// If the engine breaks off before:
//	guard.Broke(hazard.NewReport(backend, startedAtMillis, version, writing, parts))
package hazard
