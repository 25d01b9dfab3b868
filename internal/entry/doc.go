// Package entry assembles one entry instance from its settings and runs it from start to shutdown.
//
// An instance owns one HTTP listener for callers and one peer address, TCP for drpc and UDP for membership. Its state
// goes from starting over ready and leaving to draining and stopped:
//
//   - starting: no manifest is confirmed yet; callers are refused.
//   - ready: the instance serves and is named in lookups.
//   - leaving: other instances no longer name it; it still accepts work, because callers hold earlier lookup answers.
//   - draining: new work is refused with "run: no"; streams and calls in progress end.
//   - stopped: everything in progress has ended.
//
// # Usage
//
//	instance, err := entry.New(&settings, logger)
//	if err != nil {
//		return err
//	}
//	go instance.Shutdown() // on SIGTERM; a second call hands streams over at once
//	return instance.Run(ctx)
package entry
