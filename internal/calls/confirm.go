package calls

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// endWatchTime exceeds the time in which the kernel closes what a process that ends has open.
const endWatchTime = 50 * time.Millisecond

// isCloseDelimited reports whether the body of a response ends with its connection.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// isRefusedOrReset reports whether the kernel of the replica refused a connection, or closed it before the dial had returned.
func isRefusedOrReset(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// confirmEnd returns an error if a replica that has ended a connection in order has ended too: the kernel refuses the next connection, or closes it with
// the process. Other failures prove nothing, but at the end of ctx the answer is not known to be whole.
func confirmEnd(ctx context.Context, dial engine.DialFunc, address string) error {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			_ = conn.Close() // Nothing was sent on it.
		}
		return errors.Wrap(ctx.Err(), "ask whether the replica still runs")
	case isRefusedOrReset(err):
		return errors.Wrap(err, "the replica has ended within its answer")
	case err != nil:
		return nil
	}
	defer conn.Close()
	watch, cancel := context.WithTimeout(ctx, endWatchTime)
	defer cancel()
	stop := context.AfterFunc(watch, func() { _ = conn.Close() })
	defer stop()
	_, err = conn.Read(make([]byte, 1))
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "ask whether the replica still runs")
	}
	if err != nil && watch.Err() == nil {
		return errors.Wrap(err, "the replica has ended within its answer")
	}
	return nil
}
