package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/config"
	"github.com/dragonflypond/dragonflypond/internal/entry"
)

// serveCommand runs one entry instance.
type serveCommand struct{ settings config.Settings }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry instance" }
func (*serveCommand) Usage() string {
	return "serve [flags]\n  Each flag can be given as an environment variable " + config.EnvPrefix + "_NAME.\n"
}
func (c *serveCommand) SetFlags(flags *flag.FlagSet) { c.settings.Register(flags) }

func (c *serveCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.settings.Parse(flags, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := c.run(ctx); err != nil {
		printError("serve", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *serveCommand) run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	log, err := c.settings.NewLogger()
	if err != nil {
		return err
	}
	instance, err := entry.New(&c.settings, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		for range signals {
			instance.Shutdown()
		}
	}()
	return instance.Run(ctx)
}
