package standin

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a scenario, so that a script ends within two minutes.
const maxRun = 110 * time.Second

// errNotRun is wrapped by the errors of a scenario that could not run.
var errNotRun = errors.New("the case could not run")

// scenario plays a case with or without its disruption. It returns the violations of the rule.
type scenario func(d *deployment, trouble bool) (violations []string, err error)

// scenarios are started by their names in REVIEW_CASE. Each has its own deployment.
var scenarios = map[string]struct {
	config deploymentConfig
	play   scenario
}{}

func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(runScenario(name))
}

func runScenario(name string) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no scenario is named %q\n", name)
		return exitNotRun
	}
	record, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := startDeployment(chosen.config, record)
	if d != nil {
		defer d.stop()
		timer := time.AfterFunc(maxRun, func() {
			d.stop()
			os.Exit(exitNotRun)
		})
		defer timer.Stop()
	}
	if err != nil {
		record.add("not run: %v", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("scenario %s, trouble %v", name, trouble)
	violations, err := chosen.play(d, trouble)
	for _, v := range violations {
		record.add("BROKEN %s", v)
	}
	switch {
	case err != nil:
		record.add("not run: %v", err)
		return exitNotRun
	case len(violations) > 0:
		return exitBroken
	default:
		record.add("the rule held")
		return exitHeld
	}
}
