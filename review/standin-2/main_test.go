package driver

import (
	"fmt"
	"os"
	"sync"
	"testing"
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
	"moved":   playMoved,
	"revoke":  playRevoke,
	"stream":  playStream,
}

// TestMain plays the case that the command line names. Without one there is nothing to test.
func TestMain(m *testing.M) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
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
