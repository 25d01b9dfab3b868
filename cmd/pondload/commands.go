package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/load"
)

type runCommand struct {
	options
	entries addressList
	slow    bool
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "send one run to a set of entry addresses" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run -entries IP:PORT,... [flags]: send the arrivals of one run to a set of entry addresses\n"
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.Var(&c.entries, "entries", "comma-separated `IP:PORT` of entry instances")
	f.BoolVar(&c.slow, "slow", false, "slow a share of the engines periodically, as set by the -slow-* flags")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var slowdown *load.Slowdown
	if c.slow {
		slowdown = c.slowdown
	}
	return c.run(ctx, func() []load.Target {
		return []load.Target{c.target("run", c.entries, slowdown)}
	})
}

type compareCommand struct {
	options
	naive   addressList
	current addressList
	slow    bool
}

// Name implements subcommands.Command.
func (*compareCommand) Name() string { return "compare" }

// Synopsis implements subcommands.Command.
func (*compareCommand) Synopsis() string {
	return "send the same arrivals to the naive version and the current one"
}

// Usage implements subcommands.Command.
func (*compareCommand) Usage() string {
	return "compare -naive IP:PORT,... -current IP:PORT,... [flags]: send the same arrivals to both, one after the other,\n" +
		"with the engines reset in between; the ratio is naive divided by current\n"
}

// SetFlags implements subcommands.Command.
func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.Var(&c.naive, "naive", "comma-separated `IP:PORT` of naive entry instances")
	f.Var(&c.current, "current", "comma-separated `IP:PORT` of current entry instances")
	f.BoolVar(&c.slow, "slow", false, "slow a share of the engines periodically, as set by the -slow-* flags")
}

// Execute implements subcommands.Command.
func (c *compareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var slowdown *load.Slowdown
	if c.slow {
		slowdown = c.slowdown
	}
	return c.run(ctx, func() []load.Target {
		return []load.Target{c.target("naive", c.naive, slowdown), c.target("current", c.current, slowdown)}
	})
}

type stragglersCommand struct {
	options
	entries addressList
}

// Name implements subcommands.Command.
func (*stragglersCommand) Name() string { return "stragglers" }

// Synopsis implements subcommands.Command.
func (*stragglersCommand) Synopsis() string {
	return "send the same arrivals with and without slowed engines"
}

// Usage implements subcommands.Command.
func (*stragglersCommand) Usage() string {
	return "stragglers -entries IP:PORT,... [flags]: send the same arrivals once with a share of the engines slowed\n" +
		"periodically and once with none slowed; the ratio is slowed divided by none slowed\n"
}

// SetFlags implements subcommands.Command.
func (c *stragglersCommand) SetFlags(f *flag.FlagSet) {
	c.options.SetFlags(f)
	f.Var(&c.entries, "entries", "comma-separated `IP:PORT` of entry instances")
}

// Execute implements subcommands.Command.
func (c *stragglersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func() []load.Target {
		return []load.Target{
			c.target("slowed", c.entries, c.slowdown),
			c.target("none slowed", c.entries, nil),
		}
	})
}
