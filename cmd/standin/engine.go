package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// engineCommand runs the stand-in for a model engine.
type engineCommand struct {
	listenFlags
	config fakes.EngineConfig
}

func newEngineCommand() *engineCommand {
	return &engineCommand{config: fakes.DefaultEngineConfig("engine")}
}

// Name implements subcommands.Command.
func (*engineCommand) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*engineCommand) Synopsis() string { return "run a model engine" }

// Usage implements subcommands.Command.
func (*engineCommand) Usage() string { return "engine [flags]: run a model engine\n" }

// SetFlags implements subcommands.Command.
func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.SetFlags(f)
	batch := &c.config.Batch
	f.StringVar(&c.config.Name, "name", c.config.Name, "`NAME` in load reports")
	f.Uint64Var(&c.config.Seed, "seed", c.config.Seed, "seed for output lengths and random faults")
	f.IntVar(&batch.MemoryTokens, "memory-tokens", batch.MemoryTokens, "size of the key-value memory in tokens")
	f.IntVar(&batch.MaxRunning, "max-running", batch.MaxRunning, "maximum number of generations in the batch")
	f.IntVar(&batch.CacheTokens, "cache-tokens", batch.CacheTokens, "size of the prefix cache in tokens")
	f.IntVar(&batch.PromptChunk, "prompt-chunk", batch.PromptChunk,
		"maximum number of prompt tokens computed in one step")
	f.DurationVar(&batch.StepBase, "step-base", batch.StepBase, "duration of a step with an empty batch")
	f.DurationVar(&batch.StepPerRunning, "step-per-running", batch.StepPerRunning,
		"time added to a step for each generation in the batch")
	f.DurationVar(&batch.StepPerPromptToken, "step-per-prompt-token", batch.StepPerPromptToken,
		"time added to a step for each computed prompt token")
	f.DurationVar(&c.config.ReportLag, "report-lag", c.config.ReportLag, "age of load reports")
	f.DurationVar(&c.config.EventDelay, "event-delay", c.config.EventDelay,
		"delay after which cache events are readable")
	f.Float64Var(&c.config.EventGap, "event-gap", c.config.EventGap,
		"probability that a cache event is lost, from 0 to 1")
	f.BoolVar(&c.config.ChecksFencing, "checks-fencing", c.config.ChecksFencing,
		"refuse orders with an outdated fencing token")
	f.DurationVar(&c.config.LoadTime, "load-time", c.config.LoadTime, "time to load a model")
	f.StringVar(&c.config.WeightStore, "weight-store", c.config.WeightStore, "`IP:PORT` of the weight store")
	f.StringVar(&c.config.State.Model, "model", "", "model that is loaded at the start; if empty, any model is served")
	f.StringVar(&c.config.State.Version, "version", "", "version that is loaded at the start")
	f.StringVar(&c.config.State.Role, "role", "", "role at the start")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	engine := fakes.NewEngine(c.config)
	defer engine.Close()
	return c.serve(ctx, engine)
}
