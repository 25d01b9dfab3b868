package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

// explainCommand prints the log lines of one request from the log files of several instances, or a summary of all.
type explainCommand struct{ summary bool }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "print the story of one request from log files" }
func (*explainCommand) Usage() string {
	return "explain REQUEST FILE...\n  Reads log files of any instances and prints the request's lines in order of time.\n" +
		"explain -summary FILE...\n  Counts the requests that failed or were late, by cause, route and time.\n"
}
func (c *explainCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.summary, "summary", false, "count all requests by the cause of their end instead of printing one")
}

func (c *explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.summary {
		if flags.NArg() < 1 {
			fmt.Fprintln(os.Stderr, "explain -summary needs at least one log file")
			return exitUsage
		}
		if err := summarize(flags.Args()); err != nil {
			printError("explain", err)
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
	if flags.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "explain needs the ID of a request and at least one log file")
		return exitUsage
	}
	if err := explain(flags.Arg(0), flags.Args()[1:]); err != nil {
		printError("explain", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func explain(request string, files []string) error {
	timeline := logs.NewTimeline(request)
	for _, name := range files {
		if err := readLog(timeline.Read, name); err != nil {
			return err
		}
	}
	if n := timeline.Malformed(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d lines that name the request cannot be decoded\n", n)
	}
	return errors.Wrapf(timeline.Write(os.Stdout), "request %s", request)
}

func summarize(files []string) error {
	summary := logs.NewSummary()
	for _, name := range files {
		if err := readLog(summary.Read, name); err != nil {
			return err
		}
	}
	if n := summary.Malformed(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d lines cannot be decoded\n", n)
	}
	return summary.Write(os.Stdout)
}

func readLog(read func(log io.Reader, name string) error, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log file")
	}
	defer file.Close()
	return read(file, name)
}
