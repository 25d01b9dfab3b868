package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/entry"
)

// statusCommand prints the state of an instance, as the instance reports it.
type statusCommand struct {
	address string
	asJSON  bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print the state of an instance" }
func (*statusCommand) Usage() string    { return "status [-address IP:PORT] [-json]\n" }

func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "127.0.0.1:7000", "`IP:PORT` of the instance")
	flags.BoolVar(&c.asJSON, "json", false, "print JSON")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var status entry.Status
	if err := fetchJSON(ctx, c.address, "/v1/status", &status); err != nil {
		printError("status", err)
		return subcommands.ExitFailure
	}
	write := printStatus
	if c.asJSON {
		write = func(out io.Writer, status entry.Status) error { return printJSON(out, status) }
	}
	if err := write(os.Stdout, status); err != nil {
		printError("status", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// describeEngine returns the state and load of an engine and the age of its last report.
func describeEngine(engine entry.EngineStatus, now time.Time) string {
	state := "accepting"
	switch {
	case !engine.Accepting:
		state = "closed"
	case engine.Avoided:
		state = "avoided as a straggler"
	}
	report := "no report"
	if !engine.ReportedAt.IsZero() {
		report = fmt.Sprintf("reported %d, %s ago", engine.Reported, now.Sub(engine.ReportedAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, running %d, %d of %d tokens reserved, %s, gap %s", state, engine.Running, engine.Reserved,
		engine.Usable, report, engine.Gap)
}

// manifestReports describes the invalid, conflicting and rolled-back manifests that the instance has seen.
func manifestReports(manifest entry.ManifestStatus) []string {
	reports := []struct {
		count int
		kind  string
		last  string
	}{
		{manifest.Reports.Invalid, "invalid manifests", manifest.Reports.LastInvalid},
		{manifest.Reports.Conflicts, "conflicting manifests", manifest.Reports.LastConflict},
		{manifest.Reports.Rollbacks, "manifests with a lower number", manifest.Reports.LastRollback},
	}
	var lines []string
	for _, report := range reports {
		if report.count > 0 {
			lines = append(lines, fmt.Sprintf("%d %s, last: %s", report.count, report.kind, report.last))
		}
	}
	return lines
}

func printStatus(out io.Writer, s entry.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, values ...any) { fmt.Fprintf(table, format+"\n", values...) }
	row("instance\t%s\t%s since %s", s.Instance, s.Phase, s.Started.Format("2006-01-02 15:04:05"))
	row("manifest\t%d at revision %d\t%s, confirmed: %t", s.Manifest.Number, s.Manifest.Revision, s.Manifest.Phase, s.Manifest.Confirmed)
	for _, report := range manifestReports(s.Manifest) {
		row("report\t%s\t", report)
	}
	row("platform\t%d reads of the configuration service\tlist read %s", s.Manifest.ServiceReads, s.Manifest.ListRead.Format("15:04:05"))
	row("work\t%d open generations, %d placements\t%d call records, %d tombstones, %d running", s.Work.OpenGenerations,
		s.Work.Placements, s.Work.CallRecords, s.Work.CallTombstones, s.Work.CallsRunning)
	row("closed\t%s\t", strings.Join(s.Closed, ", "))
	for _, instance := range s.Instances {
		row("member\t%s\t%s %s %s", instance.Instance, instance.State, instance.HTTPAddress, instance.DataCentre)
	}
	for _, pool := range s.Pools {
		row("pool\t%s in %s\thome %s, waiting %d short and %d long, running %d", pool.Model, pool.Region, pool.Home,
			pool.WaitingShort, pool.WaitingLong, pool.Running)
		for _, engine := range pool.Engines {
			row("engine\t%s\t%s", engine.Backend, describeEngine(engine, s.Now))
		}
	}
	for _, refusal := range s.Refusals {
		row("refusal\t%s %s\t%s %s: %s", refusal.At.Format("15:04:05"), refusal.Account, refusal.Class, refusal.Reason, refusal.Detail)
	}
	return table.Flush()
}
