// Command dragonflypond runs and inspects entry instances.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// exitUsage is the exit status after an invalid flag or argument.
const exitUsage = subcommands.ExitUsageError

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(new(demoCommand), "getting started")
	subcommands.Register(new(checkCommand), "operators")
	subcommands.Register(new(serveCommand), "operators")
	subcommands.Register(new(instanceCommand), "operators")
	subcommands.Register(new(explainCommand), "operators")
	subcommands.Register(new(statusCommand), "operators")
	subcommands.Register(new(whereCommand), "operators")
	subcommands.Register(new(versionCommand), "operators")
	subcommands.Register(new(lookupCommand), "callers")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
