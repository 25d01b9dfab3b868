// Command standin-3 plays one case of the third review: it starts the system's own processes on loopback addresses, with stand-ins for the
// store, the replicas and the clients, and checks one rule by what they have seen.
//
//	standin-3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment there is no
// disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
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

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
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
