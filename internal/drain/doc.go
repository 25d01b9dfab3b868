// Package drain decides which requests an instance that shuts down still accepts.
//
// The end of an instance is a deadline of every request in it. A request that has not been sent to a backend server can be refused
// truthfully, and its caller can go elsewhere while there is time; one that has been sent and is cut off at the end is lost. So each request
// is held to the same question wherever it waits: is it expected to end before the instance does, judged by how long the latest requests to
// the same service took and how long those without an answer have been open, with a margin for a backend server that falls silent for a moment?
//
// A move of a run to another engine is held to the same question, before its first copy and again before the run is stopped.
//
// History keeps how long requests took, by service. Plan holds the times of one shutdown. Neither performs I/O.
//
// # Usage
//
//	history := drain.NewHistory()
//	sent := history.BeginGeneration("letters", time.Now())
//	sent.Answered(time.Now()) // The first event has come.
//	history.RecordPace("letters", timePerToken)
//
//	plan := drain.NewPlan(exitAt)
//	if now.After(plan.LatestStart(history.Generation("letters", maxOutput, now))) {
//		// Refuse the request; it has not run.
//	}
package drain
