package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// linkCommand runs a TCP link that faults can interrupt.
type linkCommand struct {
	listenFlags
	listenAddress string
	targetAddress string
}

// Name implements subcommands.Command.
func (*linkCommand) Name() string { return "link" }

// Synopsis implements subcommands.Command.
func (*linkCommand) Synopsis() string { return "run a TCP link that faults can interrupt" }

// Usage implements subcommands.Command.
func (*linkCommand) Usage() string {
	return "link -from IP:PORT -to IP:PORT [flags]: forward connections; POST /faults on -address interrupts the link\n"
}

// SetFlags implements subcommands.Command.
func (c *linkCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	f.StringVar(&c.listenAddress, "from", "127.0.0.1:0", "`IP:PORT` on which the link accepts connections")
	f.StringVar(&c.targetAddress, "to", "", "`IP:PORT` to which the link forwards them")
}

// Execute implements subcommands.Command.
func (c *linkCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	link, err := fakes.NewLink(c.listenAddress, c.targetAddress)
	if err != nil {
		return fail(err)
	}
	defer link.Close()
	return c.serve(ctx, link)
}
