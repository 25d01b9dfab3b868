package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// manifestCommand prints the manifest of a local run.
type manifestCommand struct {
	config fakes.ManifestConfig
	number uint64
}

func (*manifestCommand) Name() string     { return "manifest" }
func (*manifestCommand) Synopsis() string { return "print the manifest of a local run" }
func (*manifestCommand) Usage() string {
	return "manifest [flags] REGION/DATACENTRE/ENGINE,ENGINE.../SERVICE,SERVICE... ...\n  Engines and services are IP:PORT.\n"
}

func (c *manifestCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.number, "number", 1, "number of the manifest")
	flags.StringVar(&c.config.Deployment, "deployment", "local", "name of the deployment")
	flags.StringVar(&c.config.WeightStore, "weights", "127.0.0.1:9", "`IP:PORT` of the weight store")
	flags.StringVar(&c.config.Model, "model", "letters", "model that all engines serve")
	flags.StringVar(&c.config.Service, "service", "shop", "name of the plain service")
	flags.IntVar(&c.config.Accounts, "accounts", 10, "number of client accounts")
	flags.Float64Var(&c.config.FencingShare, "fencing-share", 0.5, "share of engines that check fencing tokens")
	flags.IntVar(&c.config.Batch.MemoryTokens, "memory-tokens", 60_000,
		"size of the key-value memory of an engine in tokens")
	flags.IntVar(&c.config.Batch.MaxRunning, "max-running", 48,
		"maximum number of generations in the batch of an engine")
}

func (c *manifestCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.config.Number = c.number
	for _, arg := range flags.Args() {
		dataCentre, err := parseDataCentre(arg)
		if err != nil {
			fmt.Fprintln(os.Stderr, "manifest:", err)
			return subcommands.ExitUsageError
		}
		c.config.DataCentres = append(c.config.DataCentres, dataCentre)
	}
	if len(c.config.DataCentres) == 0 {
		fmt.Fprintln(os.Stderr, "manifest: expected at least one data centre")
		return subcommands.ExitUsageError
	}
	body, err := fakes.ManifestBody(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "manifest:", err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(body))
	return subcommands.ExitSuccess
}

func parseDataCentre(arg string) (fakes.DataCentre, error) {
	parts := strings.Split(arg, "/")
	if len(parts) != 4 {
		return fakes.DataCentre{}, errors.Errorf("data centre %q: want the form REGION/DATACENTRE/ENGINES/SERVICES", arg)
	}
	return fakes.DataCentre{
		Region:   parts[0],
		Name:     parts[1],
		Engines:  splitList(parts[2]),
		Services: splitList(parts[3]),
	}, nil
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
