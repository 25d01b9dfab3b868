// Command dragonflypond runs and inspects entry instances.
package main

import (
	"context"
	"flag"
	"os"
	_ "runtime/cgo" // Links the C library as usual, whatever else the program imports.

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
