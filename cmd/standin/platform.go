package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// serviceCommand runs the stand-in for one replica of a plain service.
type serviceCommand struct {
	listenFlags
	name string
}

// Name implements subcommands.Command.
func (*serviceCommand) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*serviceCommand) Synopsis() string { return "run one replica of a plain service" }

// Usage implements subcommands.Command.
func (*serviceCommand) Usage() string {
	return "service [flags]: run one replica of a plain service\n"
}

// SetFlags implements subcommands.Command.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	f.StringVar(&c.name, "name", "service", "`NAME` of the service in responses")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, fakes.NewService(c.name))
}

// configCommand runs the stand-in for the configuration service.
type configCommand struct {
	listenFlags
	file string
}

// Name implements subcommands.Command.
func (*configCommand) Name() string { return "config" }

// Synopsis implements subcommands.Command.
func (*configCommand) Synopsis() string { return "run the configuration service" }

// Usage implements subcommands.Command.
func (*configCommand) Usage() string { return "config [flags]: run the configuration service\n" }

// SetFlags implements subcommands.Command.
func (c *configCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	f.StringVar(&c.file, "file", "", "manifest `FILE` published at the start")
}

// Execute implements subcommands.Command.
func (c *configCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	service := fakes.NewConfigService()
	if c.file != "" {
		body, err := os.ReadFile(c.file)
		if err != nil {
			return fail(errors.Wrap(err, "read the manifest"))
		}
		service.Publish(body)
	}
	return c.serve(ctx, service)
}

// listCommand runs the stand-in for the instance list.
type listCommand struct {
	listenFlags
	file string
	lag  time.Duration
}

// Name implements subcommands.Command.
func (*listCommand) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*listCommand) Synopsis() string { return "run the instance list" }

// Usage implements subcommands.Command.
func (*listCommand) Usage() string { return "list [flags]: run the instance list\n" }

// SetFlags implements subcommands.Command.
func (c *listCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	f.StringVar(&c.file, "file", "", "JSON `FILE` with the entries at the start")
	f.DurationVar(&c.lag, "lag", time.Second, "delay after which a change is visible")
}

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	list := fakes.NewInstanceList(c.lag)
	if c.file != "" {
		body, err := os.ReadFile(c.file)
		if err != nil {
			return fail(errors.Wrap(err, "read the instance list"))
		}
		var entries []fakes.ListEntry
		if err := json.Unmarshal(body, &entries); err != nil {
			return fail(errors.Wrapf(err, "decode the instance list from %s", c.file))
		}
		list.Set(entries)
	}
	return c.serve(ctx, list)
}

// weightsCommand runs the stand-in for the weight store.
type weightsCommand struct {
	listenFlags
	loadsPerMinute int
}

// Name implements subcommands.Command.
func (*weightsCommand) Name() string { return "weights" }

// Synopsis implements subcommands.Command.
func (*weightsCommand) Synopsis() string { return "run the weight store" }

// Usage implements subcommands.Command.
func (*weightsCommand) Usage() string { return "weights [flags]: run the weight store\n" }

// SetFlags implements subcommands.Command.
func (c *weightsCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	f.IntVar(&c.loadsPerMinute, "loads-per-minute", 12, "maximum number of loads per minute")
}

// Execute implements subcommands.Command.
func (c *weightsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, fakes.NewWeightStore(c.loadsPerMinute))
}
