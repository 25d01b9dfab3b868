package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

type engineCommand struct {
	listener
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
	c.listener.SetFlags(f)
	batch := &c.config.Batch
	f.StringVar(&c.config.Name, "name", c.config.Name, "`NAME` in load reports")
	f.Uint64Var(&c.config.Seed, "seed", c.config.Seed, "seed of output lengths and random faults")
	f.IntVar(&batch.MemoryTokens, "memory-tokens", batch.MemoryTokens, "key-value memory in tokens")
	f.IntVar(&batch.MaxRunning, "max-running", batch.MaxRunning, "largest batch")
	f.IntVar(&batch.CacheTokens, "cache-tokens", batch.CacheTokens, "prefix cache in tokens")
	f.IntVar(&batch.PromptChunk, "prompt-chunk", batch.PromptChunk, "prompt tokens computed in one step")
	f.DurationVar(&batch.StepBase, "step-base", batch.StepBase, "time of a step with an empty batch")
	f.DurationVar(&batch.StepPerRunning, "step-per-running", batch.StepPerRunning, "step time for each generation")
	f.DurationVar(&batch.StepPerPromptToken, "step-per-prompt-token", batch.StepPerPromptToken,
		"step time for each computed prompt token")
	f.DurationVar(&c.config.ReportLag, "report-lag", c.config.ReportLag, "age of load reports")
	f.DurationVar(&c.config.EventDelay, "event-delay", c.config.EventDelay, "age of cache events")
	f.Float64Var(&c.config.EventGap, "event-gap", c.config.EventGap, "share of lost cache events")
	f.BoolVar(&c.config.ChecksFencing, "checks-fencing", c.config.ChecksFencing, "refuse orders with an old fence")
	f.DurationVar(&c.config.LoadTime, "load-time", c.config.LoadTime, "time to load a model")
	f.StringVar(&c.config.WeightStore, "weight-store", c.config.WeightStore, "`IP:PORT` of the weight store")
	f.StringVar(&c.config.State.Model, "model", "", "model that is loaded at the start; empty serves any model")
	f.StringVar(&c.config.State.Version, "version", "", "version that is loaded at the start")
	f.StringVar(&c.config.State.Role, "role", "", "role at the start")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	engine := fakes.NewEngine(c.config)
	defer engine.Close()
	return c.serve(ctx, engine)
}
