package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// linkCommand runs a TCP link that can be cut.
type linkCommand struct {
	listener
	from string
	to   string
}

// Name implements subcommands.Command.
func (*linkCommand) Name() string { return "link" }

// Synopsis implements subcommands.Command.
func (*linkCommand) Synopsis() string { return "run a TCP link that can be cut" }

// Usage implements subcommands.Command.
func (*linkCommand) Usage() string {
	return "link -from IP:PORT -to IP:PORT [flags]: pass connections on; POST /faults on -address cuts the link\n"
}

// SetFlags implements subcommands.Command.
func (c *linkCommand) SetFlags(f *flag.FlagSet) {
	c.listener.SetFlags(f)
	f.StringVar(&c.from, "from", "127.0.0.1:0", "`IP:PORT` that accepts connections")
	f.StringVar(&c.to, "to", "", "`IP:PORT` that gets them")
}

// Execute implements subcommands.Command.
func (c *linkCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	link, err := fakes.NewLink(c.from, c.to)
	if err != nil {
		return fail(err)
	}
	defer link.Close()
	return c.serve(ctx, link)
}
