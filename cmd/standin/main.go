// Command standin runs one stand-in for a system outside dragonflypond, or prints the manifest of a local run.
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
	subcommands.Register(newEngineCommand(), "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&configCommand{}, "")
	subcommands.Register(&listCommand{}, "")
	subcommands.Register(&weightsCommand{}, "")
	subcommands.Register(&manifestCommand{}, "")
	subcommands.Register(&linkCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
