// Package logs writes structured log lines without ever blocking the caller.
//
// Lines are JSON objects on one line each. They go through a bounded buffer to the output; when the buffer is full, or
// when one kind of line exceeds its rate, lines are dropped and counted, and the count is logged later. The event
// field names the kind of a line; the other field names are constants of this package, the same on every line.
//
// # Usage
//
//	log := logs.New(os.Stdout)
//	defer log.Close()
//	log.WithFields(logrus.Fields{logs.Event: "requestPlaced", logs.Request: id}).Info("request placed on an engine")
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Field names.
const (
	// Event names the kind of a line.
	Event = "event"
	// Request is the ID of the caller's request.
	Request = "request"
	// Backend is the ID of a backend server.
	Backend = "backend"
	// Source and Target are the backend servers between which a generation moves. Source is also where an instance gets its
	// configuration from: the store or another instance.
	Source = "source"
	Target = "target"
	// Route and Service are names from the configuration.
	Route   = "route"
	Service = "service"
	// Account is the name of a client account.
	Account = "account"
	// Version is the version of the configuration that decided.
	Version = "version"
	// Revision is the revision of the published records that decided.
	Revision = "revision"
	// AgeMillis is the age of the input that decided, in milliseconds.
	AgeMillis = "ageMillis"
	// Outcome is the result of a decision.
	Outcome = "outcome"
	// Reason is the cause of the outcome.
	Reason = "reason"
	// Status is the HTTP status of an answer.
	Status = "status"
	// Attempt counts the backend servers that a request was offered to, from 1.
	Attempt = "attempt"
	// Position is the ID of the last event that was passed on.
	Position = "position"
	// RemainingMillis is the time left until the deadline, in milliseconds.
	RemainingMillis = "remainingMillis"
	// ElapsedMillis is the time since the request arrived, in milliseconds.
	ElapsedMillis = "elapsedMillis"
	// FirstEventMillis is the time from the request to the first event of its stream, and MaxGapMillis the longest time
	// between two events, in milliseconds.
	FirstEventMillis = "firstEventMillis"
	MaxGapMillis     = "maxGapMillis"
	// Moves counts how often a run went on on another engine.
	Moves = "moves"
	// Peer is the name of another instance, and State what is believed about it.
	Peer  = "peer"
	State = "state"
	// Former is the value before a change.
	Former = "former"
	// Home is the instance that decides for a pool.
	Home = "home"
	// Dropped is the number of lines that were not written.
	Dropped = "dropped"
)

const (
	// bufferLines bounds the lines that wait for the output; at about 300 bytes a line they take 600 KB.
	bufferLines = 2048

	// linesPerSecond bounds each kind of line. An instance answers about 30 requests a second at the target size.
	linesPerSecond = 200

	// closeLimit bounds the wait for an output that nobody reads at the end of the process.
	closeLimit = 200 * time.Millisecond
)

// Log is a logger with its own bounded output.
type Log struct {
	*logrus.Logger
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
	total   atomic.Int64

	mu     sync.Mutex
	period int64
	counts map[string]int
}

// New returns a logger that writes JSON lines to out.
func New(out io.Writer) *Log {
	l := &Log{
		Logger:  logrus.New(),
		out:     out,
		lines:   make(chan []byte, bufferLines),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		counts:  make(map[string]int),
	}
	l.SetOutput(l)
	l.SetFormatter(&limited{log: l, next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	go l.run()
	return l
}

// Write queues a line. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.drop()
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped since the start.
func (l *Log) DroppedLines() int64 { return l.total.Load() }

func (l *Log) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

func (l *Log) run() {
	defer close(l.stopped)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

// write passes a line on. A failed write is counted as dropped; there is no other place to report it.
func (l *Log) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.drop()
	}
	if n := l.dropped.Swap(0); n > 0 {
		l.WithFields(logrus.Fields{Event: "linesDropped", Dropped: n}).Warn("log lines were dropped")
	}
}

// Close writes what is queued, for a bounded time.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.stopped:
	case <-time.After(closeLimit):
	}
}

// allow reports whether another line of a kind may be written in the present second.
func (l *Log) allow(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.period {
		l.period = second
		clear(l.counts)
	}
	l.counts[event]++
	return l.counts[event] <= linesPerSecond
}

// limited is a formatter that drops lines of a kind above its rate before they cost the encoding.
type limited struct {
	log  *Log
	next logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *limited) Format(entry *logrus.Entry) ([]byte, error) {
	event, _ := entry.Data[Event].(string)
	if !f.log.allow(event, entry.Time) {
		f.log.drop()
		return nil, nil
	}
	return f.next.Format(entry)
}
