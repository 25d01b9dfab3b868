package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is what a case needs.
type play struct {
	record  *record
	store   *store
	program string
	dir     string
	trouble bool
}

var cases = map[string]func(p *play) (broken bool, err error){
	"crowd":   playCrowd,
	"drain":   playDrain,
	"order":   playOrder,
	"refused": playRefused,
}

// TestMain plays the case that the command line names. Without one there is nothing to test.
func TestMain(m *testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	status, err := runCase(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = exitNotRun
	}
	os.Exit(status)
}

func runCase(name, program, path string) (status int, err error) {
	record, err := newRecord(path)
	if err != nil {
		return exitNotRun, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return exitNotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	s, err := newStore()
	if err != nil {
		return exitNotRun, err
	}
	time.AfterFunc(110*time.Second, func() {
		record.say("the case takes too long")
		os.Exit(exitNotRun) // The system's processes end with this one.
	})
	broken, err := cases[name](&play{record: record, store: s, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		return exitNotRun, err
	case broken:
		record.say("BROKEN")
		return exitBroken, nil
	default:
		record.say("held")
		return exitHeld, nil
	}
}
