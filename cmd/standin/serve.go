package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// listenFlags holds the flags that all stand-ins share.
type listenFlags struct {
	address string
}

func (l *listenFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.address, "address", "127.0.0.1:0", "`IP:PORT` to listen on; port 0 chooses a free one")
}

// serve prints the address and serves until ctx is done or the fault "die" is injected.
func (l *listenFlags) serve(ctx context.Context, handler http.Handler) subcommands.ExitStatus {
	server, err := fakes.Serve(l.address, handler)
	if err != nil {
		return fail(err)
	}
	defer server.Close()
	fmt.Println(server.Address())
	select {
	case <-ctx.Done():
	case <-server.Done():
	}
	return subcommands.ExitSuccess
}

// fail prints err and returns the exit status of a failed command.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
