package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseFunc plays a case and returns its exit status.
type caseFunc func(r *record, trouble bool) (int, error)

var cases = map[string]caseFunc{
	"history": playHistory,
	"memory":  playMemory,
	"paths":   playPaths,
	"revoke":  playRevoke,
	"resume":  playResume,
	"stream":  playStream,
	"bodies":  playBodies,
	"poison":  playPoison,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE")
		os.Exit(statusNotRun)
	}
	r, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	status, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = statusNotRun
	}
	r.printf("exit %d", status)
	r.close()
	os.Exit(status)
}

// record is the file of what was sent, answered and run, with the seconds since its beginning.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say also prints the line.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
