package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/load"
)

// plan is a few seconds of mixed requests: short and long generations, charges and lookups.
var plan = load.Plan{
	Mix:      "dentinho",
	Profile:  "steady",
	Seed:     3,
	Duration: 4 * time.Second,
	Rate:     8,
	Accounts: accounts,
}

// Run starts the system, sends the requests of the plan, and prints each placement and a table of the results to out.
func Run(ctx context.Context, out io.Writer) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.DebugLevel)
	log.AddHook(&logPrinter{out: out, started: time.Now()})
	system, err := startSystem(log)
	if err != nil {
		return err
	}
	defer system.close()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- system.run(ctx) }()
	err = runPlan(ctx, system, out)
	cancel()
	if runErr := <-done; err == nil && !errors.Is(runErr, context.Canceled) {
		err = runErr
	}
	return err
}

func runPlan(ctx context.Context, system *system, out io.Writer) error {
	fmt.Fprintf(out, "starting %d entry instances, %d engines and %d service replicas on loopback\n",
		len(system.entries), len(system.engines), len(system.services))
	if err := system.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "all instances are ready; sending requests for %s, then waiting for open answers\n", plan.Duration)
	report, err := load.Run(ctx, plan, load.Target{
		Name:     "demo",
		Entries:  system.addresses(),
		Engines:  system.engines,
		Services: system.services,
		Model:    model,
		Service:  service,
	})
	if err != nil {
		return err
	}
	return load.WriteTable(out, report)
}

// logPrinter is a log hook that prints placements, refusals and changes of instance phases.
type logPrinter struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

// Levels implements logrus.Hook.
func (*logPrinter) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (p *logPrinter) Fire(e *logrus.Entry) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Since(p.started).Seconds()
	switch e.Message {
	case "generation placed":
		fmt.Fprintf(p.out, "%6.2fs %-28v %-10v class %-8v -> %v after %v\n",
			at, e.Data["generation"], e.Data["account"], e.Data["class"], e.Data["backend"], e.Data["wait"])
	case "generation refused":
		fmt.Fprintf(p.out, "%6.2fs %-28v %-10v class %-8v refused: %v\n",
			at, e.Data["generation"], e.Data["account"], e.Data["class"], e.Data["reason"])
	case "instance phase changed":
		fmt.Fprintf(p.out, "%6.2fs %v is %v\n", at, e.Data["instance"], e.Data["phase"])
	}
	return nil
}
