package reach

import (
	"context"
	"net"
	"time"
)

// connectFunc is one way to connect.
type connectFunc func(ctx context.Context) (net.Conn, error)

// race tries ways to connect in order. next returns nil if there is no further one. It is asked when one fails, or after a delay
// without a result. The first connection is used and the others are closed. race gives up when all ways or ctx have ended, or when
// giveUp, which is called with each error and the index of its way, returns true.
func race(ctx context.Context, next func() connectFunc, delay time.Duration, giveUp func(index int, err error) bool) net.Conn {
	type result struct {
		conn  net.Conn
		err   error
		index int
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	begun, open := 0, 0
	begin := func() {
		way, index := next(), begun
		if way == nil {
			return
		}
		begun++
		open++
		go func() {
			conn, err := way(ctx)
			results <- result{conn, err, index}
		}()
	}
	closeOthers := func() {
		for range open {
			if r := <-results; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}
	defer func() { go closeOthers() }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for begin(); open > 0; {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			begin()
			timer.Reset(delay)
		case r := <-results:
			open--
			if r.err == nil {
				return r.conn
			}
			if giveUp(r.index, r.err) {
				return nil
			}
			begin()
			timer.Reset(delay)
		}
	}
	return nil
}
