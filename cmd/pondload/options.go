package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/load"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// manifestTimeout bounds the request for the manifest.
	manifestTimeout = 5 * time.Second
	// maxManifestBytes is above the size of any value of the configuration service.
	maxManifestBytes = 2 << 20
)

// addressList is a flag value that holds a comma-separated list of IP:PORT.
type addressList []string

// String implements flag.Value.
func (a *addressList) String() string { return strings.Join(*a, ",") }

// Set implements flag.Value.
func (a *addressList) Set(text string) error {
	*a = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
	return nil
}

// options are the flags that all subcommands share.
type options struct {
	plan          load.Plan
	slowdown      *load.Slowdown
	engines       addressList
	services      addressList
	configAddress string
	model         string
	service       string
	jsonPath      string
	plotPath      string
}

// SetFlags declares the flags.
func (o *options) SetFlags(f *flag.FlagSet) {
	o.slowdown = load.DefaultSlowdown()
	f.StringVar(&o.plan.Mix, "mix", "dosis", "dosis or dentinho")
	f.StringVar(&o.plan.Profile, "profile", "steady", "steady, deadlineDay or bedtimeRush")
	f.Uint64Var(&o.plan.Seed, "seed", 1, "seed of the arrivals")
	f.DurationVar(&o.plan.Duration, "duration", time.Minute, "length of the run")
	f.Float64Var(&o.plan.Rate, "rate", 20, "requests per second where the profile's factor is 1")
	f.IntVar(&o.plan.Bursts, "bursts", 2, "number of short bursts")
	f.IntVar(&o.plan.Accounts, "accounts", 10, "number of client accounts")
	f.IntVar(&o.plan.MaxTokens, "max-tokens", 0, "maximum output tokens of a generation; 0 means the limits of the mix")
	f.DurationVar(&o.slowdown.Interval, "slow-every", o.slowdown.Interval, "time between the starts of two slow periods")
	f.DurationVar(&o.slowdown.Duration, "slow-for", o.slowdown.Duration, "length of a slow period")
	f.Float64Var(&o.slowdown.Factor, "slow-factor", o.slowdown.Factor, "factor by which steps take longer in a slow period")
	f.Float64Var(&o.slowdown.Share, "slow-share", o.slowdown.Share, "share of the engines slowed in each slow period")
	f.Var(&o.engines, "engines", "comma-separated `IP:PORT` of the stand-in engines")
	f.Var(&o.services, "services", "comma-separated `IP:PORT` of the stand-in services")
	f.StringVar(&o.configAddress, "config", "", "`IP:PORT` of the configuration service; its manifest names engines and services")
	f.StringVar(&o.model, "model", "draft", "model that generations ask for")
	f.StringVar(&o.service, "service", "portal", "service that charges and lookups go to")
	f.StringVar(&o.jsonPath, "json", "", "`FILE` for the reports as JSON")
	f.StringVar(&o.plotPath, "plot", "", "`FILE` for a PNG plot")
}

func (o *options) target(name string, entries []string, slowdown *load.Slowdown) load.Target {
	return load.Target{
		Name:     name,
		Entries:  entries,
		Engines:  o.engines,
		Services: o.services,
		Model:    o.model,
		Service:  o.service,
		Slowdown: slowdown,
	}
}

// run sends the same arrivals to each target, one after the other, and writes the reports.
func (o *options) run(ctx context.Context, targets func() []load.Target) subcommands.ExitStatus {
	if err := o.plan.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := o.readManifest(ctx); err != nil {
		return fail(err)
	}
	var reports []*load.Report
	for _, target := range targets() {
		report, err := load.Run(ctx, o.plan, target)
		if err != nil {
			return fail(err)
		}
		reports = append(reports, report)
	}
	if err := o.writeReports(reports); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// readManifest adds the addresses of the engines and services in the manifest of the configuration service.
func (o *options) readManifest(ctx context.Context) error {
	if o.configAddress == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.configAddress+"/v1/manifest", nil)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	transport := bound.NewTransport(nil)
	transport.Proxy = http.ProxyFromEnvironment
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bound.ReadAll(resp.Body, maxManifestBytes)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	manifest, err := spec.Decode(body, 0)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	for _, backend := range manifest.Backends() {
		if backend.Kind() == spec.BackendEngine {
			o.engines = append(o.engines, backend.Address())
		} else {
			o.services = append(o.services, backend.Address())
		}
	}
	return nil
}

func (o *options) writeReports(reports []*load.Report) error {
	if err := load.WriteTable(os.Stdout, reports...); err != nil {
		return err
	}
	if o.jsonPath != "" {
		if err := writeFile(o.jsonPath, reports, load.WriteJSON); err != nil {
			return err
		}
	}
	if o.plotPath != "" {
		return writeFile(o.plotPath, reports, load.WritePlot)
	}
	return nil
}

func writeFile(name string, reports []*load.Report, write func(io.Writer, ...*load.Report) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := write(file, reports...); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write report")
}
