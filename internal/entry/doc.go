// Package entry assembles one entry instance from its settings and runs it from start to shutdown.
//
// An instance owns one HTTP listener for callers and one peer address, with TCP for drpc and UDP for membership. It
// goes through these phases:
//
//   - starting: no manifest is confirmed yet; callers are refused.
//   - ready: the instance serves and is listed in the entries that callers look up.
//   - leaving: other instances no longer list it; it still accepts work, because callers may use earlier answers.
//   - draining: new work is refused with "run: no"; streams and calls in progress end.
//   - stopped: everything in progress has ended.
//
// # Usage
//
//	instance, err := entry.New(&settings, logger)
//	if err != nil {
//		return err
//	}
//	go instance.Shutdown() // on SIGTERM; a second call moves streams to other instances at once
//	return instance.Run(ctx)
package entry
