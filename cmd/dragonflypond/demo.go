package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/demo"
)

// demoCommand runs a system of entry instances and stand-ins in one process.
type demoCommand struct{}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system in one process with stand-ins" }
func (*demoCommand) Usage() string {
	return "demo\n  Serves a few seconds of mixed requests on loopback and prints their placements and a table of results.\n"
}
func (*demoCommand) SetFlags(*flag.FlagSet) {}

func (*demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := demo.Run(ctx, os.Stdout); err != nil {
		printError("demo", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
