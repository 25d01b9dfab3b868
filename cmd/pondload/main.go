// Command pondload sends a seeded open-loop load to running entry instances and reports what their callers got.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	_ "runtime/cgo" // Links the C library as usual, whatever else the program imports.
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&compareCommand{}, "")
	subcommands.Register(&stragglersCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
