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

// instanceCommand runs one entry instance on the users' platform.
type instanceCommand struct{ options serve.Tuning }

func (*instanceCommand) Name() string { return "instance" }
func (*instanceCommand) Synopsis() string {
	return "run one entry instance on a platform with a settings file"
}
func (*instanceCommand) Usage() string {
	return "instance [flags]\n  Reads the settings file named by " + platform.SettingsVariable + ".\n"
}
func (c *instanceCommand) SetFlags(flags *flag.FlagSet) { c.options.Register(flags) }

func (c *instanceCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.options.Parse(flags, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := c.run(ctx); err != nil {
		printError("instance", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// collectPercent is the growth of the heap, in percent of what lives, after which the garbage collector runs. Memory is
// dearer than processor time on small instances, and an instance has a few MB of live data.
const collectPercent = 30

func (c *instanceCommand) run(ctx context.Context) error {
	debug.SetGCPercent(collectPercent)
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	log := logs.New(os.Stdout)
	defer log.Close()
	instance, err := serve.New(settings.Instance(), c.options, platform.NewPorts(settings), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
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

// settingsInterval is the time between two looks at the settings file, which may change without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reloads the settings when their file has changed.
func watchSettings(ctx context.Context, instance *serve.Instance, log *logs.Log) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := settingsChange()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if change := settingsChange(); !change.Equal(last) {
			last = change
			reload(instance, log)
		}
	}
}

// settingsChange returns the time of the last change of the settings file. A file that cannot be read now counts as
// unchanged once it is back with its former time.
func settingsChange() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again. A file that cannot be used leaves the settings as they are.
func reload(instance *serve.Instance, log *logs.Log) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.WithError(err).WithField(logs.Event, "reloadFailed").Error("settings cannot be used; the former ones stay")
		return
	}
	instance.Reload(settings.Instance())
}
