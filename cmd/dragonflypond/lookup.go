package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// lookupCommand asks an instance which entry instances to use, as a caller would.
type lookupCommand struct {
	address string
	asJSON  bool
}

// entriesResponse is the part of the response of GET /v1/entries that lookup prints.
type entriesResponse struct {
	Entries []struct {
		Instance   string `json:"instance"`
		Address    string `json:"address"`
		DataCentre string `json:"dataCentre"`
	} `json:"entries"`
	ValidUntil string `json:"validUntil"`
	RunKey     string `json:"runKey"`
}

func (*lookupCommand) Name() string     { return "lookup" }
func (*lookupCommand) Synopsis() string { return "list the entry instances to use" }
func (*lookupCommand) Usage() string {
	return "lookup [-address IP:PORT] [-json]\n  Reads the client account's API key from " + apiKeyVariable + ".\n"
}

func (c *lookupCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "127.0.0.1:7000", "`IP:PORT` of any instance")
	flags.BoolVar(&c.asJSON, "json", false, "print JSON")
}

func (c *lookupCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var response entriesResponse
	if err := fetchJSON(ctx, c.address, "/v1/entries", &response); err != nil {
		printError("lookup", err)
		return subcommands.ExitFailure
	}
	if c.asJSON {
		if err := printJSON(os.Stdout, response); err != nil {
			printError("lookup", err)
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
	for _, entry := range response.Entries {
		fmt.Printf("%-20s %-21s %s\n", entry.Instance, entry.Address, entry.DataCentre)
	}
	fmt.Printf("valid until %s\nrun key %s\n", response.ValidUntil, response.RunKey)
	return subcommands.ExitSuccess
}
