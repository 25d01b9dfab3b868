package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// checkCommand validates manifests offline.
type checkCommand struct{}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a manifest" }
func (*checkCommand) Usage() string {
	return "check FILE\n  Prints each fault of the manifest with its path and rule. Exits with status 1 if any is found.\n"
}
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "check: expected exactly one FILE")
		return exitUsage
	}
	body, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "check:", err)
		return subcommands.ExitFailure
	}
	return checkBody(body, os.Stdout, os.Stderr)
}

func checkBody(body []byte, out, errOut io.Writer) subcommands.ExitStatus {
	manifest, err := spec.Decode(body, 0)
	var validationErrors spec.ValidationErrors
	switch {
	case errors.As(err, &validationErrors):
		for _, validationError := range validationErrors {
			fmt.Fprintln(errOut, validationError)
		}
		fmt.Fprintf(errOut, "%d faults\n", len(validationErrors))
		return subcommands.ExitFailure
	case err != nil:
		fmt.Fprintln(errOut, err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(out, "manifest %d of %s is valid: %d models, %d backend servers, %d client accounts\n",
		manifest.Version().Number, manifest.Deployment(),
		len(manifest.Models()), len(manifest.Backends()), len(manifest.Accounts()))
	return subcommands.ExitSuccess
}
