package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/serve"
	"github.com/dragonflypond/dragonflypond/platform"
)

// instanceCommand runs one entry instance on a platform that provides a settings file.
type instanceCommand struct{ flags serve.Flags }

func (*instanceCommand) Name() string { return "instance" }
func (*instanceCommand) Synopsis() string {
	return "run one entry instance on a platform with a settings file"
}
func (*instanceCommand) Usage() string {
	return "instance [flags]\n  Reads the settings file named by " + platform.SettingsVariable + ".\n"
}
func (c *instanceCommand) SetFlags(flags *flag.FlagSet) { c.flags.Register(flags) }

func (c *instanceCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.flags.Parse(flags, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := c.run(ctx); err != nil {
		printError("instance", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// gcPercent is the heap growth, in percent of the live heap, after which the garbage collector runs. Small instances
// have less memory than CPU time to spare, and the live heap of an instance is only a few MB.
const gcPercent = 30

func (c *instanceCommand) run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	log := logs.New(os.Stdout)
	defer log.Close()
	instance, err := serve.New(settings.ServeSettings(), c.flags, platform.NewAdapters(settings), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP {
				reload(instance, log)
				continue
			}
			instance.Shutdown()
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchSettings(ctx, instance, log)
	return instance.Run(ctx)
}

// settingsPollInterval is the time between two checks of the settings file, which may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings when the modification time of their file changes.
func watchSettings(ctx context.Context, instance *serve.Instance, log *logs.Log) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if modTime := settingsModTime(); !modTime.Equal(last) {
			last = modTime
			reload(instance, log)
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero time if the file cannot be read.
func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file to the instance. If the file cannot be read or is invalid, the current settings stay
// in effect.
func reload(instance *serve.Instance, log *logs.Log) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.WithError(err).WithField(logs.Event, "reloadFailed").Error("cannot use the settings file; settings unchanged")
		return
	}
	instance.Reload(settings.ServeSettings())
}
