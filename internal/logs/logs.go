// Package logs writes structured log lines without ever blocking the caller.
//
// Each line is a JSON object. Lines pass through a bounded buffer to the output. When the buffer is full, or when lines
// of one event exceed the rate limit, lines are dropped and counted, and the count is logged later. The field event
// names what a line reports. Field names are constants of this package, so that they are the same on every line.
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
	// Event names what the line reports, such as requestPlaced.
	Event = "event"
	// Request is the ID of the caller's request.
	Request = "request"
	// Backend is the ID of a backend server.
	Backend = "backend"
	// Address is IP:PORT of a backend server, and StartedAtMillis the Unix time of its start in milliseconds.
	Address         = "address"
	StartedAtMillis = "startedAtMillis"
	// Source and Target are the backend servers between which a generation moves. Source is also the store or the instance
	// from which an instance gets its configuration.
	Source = "source"
	Target = "target"
	// Route and Service are names from the configuration.
	Route   = "route"
	Service = "service"
	// Account is the name of a client account.
	Account = "account"
	// Version is the version of the configuration on which a decision was based.
	Version = "version"
	// Revision is the revision of the published records on which a decision was based.
	Revision = "revision"
	// AgeMillis is the age of the data on which a decision was based, in milliseconds.
	AgeMillis = "ageMillis"
	// Outcome is the result of a decision.
	Outcome = "outcome"
	// Reason is the cause of the outcome.
	Reason = "reason"
	// Status is the HTTP status of a response.
	Status = "status"
	// Attempt is the number of the attempt to run a request on a backend server, from 1.
	Attempt = "attempt"
	// Position is the ID of the last event that was sent to the caller.
	Position = "position"
	// RemainingMillis is the time left until the deadline, in milliseconds.
	RemainingMillis = "remainingMillis"
	// DataCentre is the name of a data centre.
	DataCentre = "dataCentre"
	// Regions are the regions in which a request may run; "any" without a restriction.
	Regions = "regions"
	// ElapsedMillis is the time since the request arrived, in milliseconds.
	ElapsedMillis = "elapsedMillis"
	// FirstEventMillis is the time from the request to the first event of its stream, and MaxGapMillis the longest time
	// between two events, in milliseconds.
	FirstEventMillis = "firstEventMillis"
	MaxGapMillis     = "maxGapMillis"
	// GapBackend is the backend server at which that time ended.
	GapBackend = "gapBackend"
	// Late tells what came later than the route's target: LateFirst, LateGap or LateAnswer. It is absent for an answer on
	// time.
	Late = "late"
	// Parts holds the IDs of the parts of a prompt that other requests may have too.
	Parts = "parts"
	// Identity is equal for equal requests of one caller.
	Identity = "identity"
	// WeightsVersion is the version of an engine's weights.
	WeightsVersion = "weightsVersion"
	// PerSecond is a limit of requests per second.
	PerSecond = "perSecond"
	// Moves is the number of times that a generation moved to another engine.
	Moves = "moves"
	// Peer is the name of another instance, and State its state as this instance sees it.
	Peer  = "peer"
	State = "state"
	// Stage is how far a request in progress has come.
	Stage = "stage"
	// Former is the value before a change.
	Former = "former"
	// Home is the instance that makes the placement decisions for a pool.
	Home = "home"
	// Dropped is the number of lines that were not written.
	Dropped = "dropped"
)

// Values of the field Late.
const (
	LateFirst  = "firstEvent"
	LateGap    = "gap"
	LateAnswer = "answer"
)

const (
	// bufferLines bounds the lines that wait for the output; at about 300 bytes per line they take 600 KB.
	bufferLines = 2048
	// bufferBytes bounds their bytes: the ID of a caller's request, which many lines contain, may be as long as a head.
	bufferBytes = 1 << 20

	// linesPerSecond is the rate limit for each event. An instance of the target size serves about 30 requests per second.
	linesPerSecond = 200

	// closeTimeout bounds how long Close waits for an output that nobody reads.
	closeTimeout = 200 * time.Millisecond
)

// Log is a logger that writes through a bounded buffer.
type Log struct {
	*logrus.Logger
	out             io.Writer
	lines           chan []byte
	stop            chan struct{}
	done            chan struct{}
	queuedBytes     atomic.Int64
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64

	mu           sync.Mutex
	rateSecond   int64
	linesByEvent map[string]int
}

// New returns a logger that writes JSON lines to out in the background.
func New(out io.Writer) *Log {
	l := &Log{
		Logger:       logrus.New(),
		out:          out,
		lines:        make(chan []byte, bufferLines),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		linesByEvent: make(map[string]int),
	}
	l.SetOutput(l)
	l.SetFormatter(&rateLimitedFormatter{log: l, next: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	go l.run()
	return l
}

// Write queues a line, or drops it if the buffer is full. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	size := int64(len(line))
	if l.queuedBytes.Add(size) > bufferBytes {
		l.queuedBytes.Add(-size)
		l.countDrop()
		return len(line), nil
	}
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.queuedBytes.Add(-size)
		l.countDrop()
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped since the start.
func (l *Log) DroppedLines() int64 { return l.totalDrops.Load() }

func (l *Log) countDrop() {
	l.unreportedDrops.Add(1)
	l.totalDrops.Add(1)
}

func (l *Log) run() {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		case <-l.stop:
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line to the output. A failed write is counted as a dropped line, as there is no other place to
// report it.
func (l *Log) writeLine(line []byte) {
	l.queuedBytes.Add(-int64(len(line)))
	if _, err := l.out.Write(line); err != nil {
		l.countDrop()
	}
	if n := l.unreportedDrops.Swap(0); n > 0 {
		l.WithFields(logrus.Fields{Event: "linesDropped", Dropped: n}).Warn("log lines were dropped")
	}
}

// Close writes the queued lines, but waits for a bounded time only.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// allowLine reports whether another line of an event may be written in the current second.
func (l *Log) allowLine(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.rateSecond {
		l.rateSecond = second
		clear(l.linesByEvent)
	}
	l.linesByEvent[event]++
	return l.linesByEvent[event] <= linesPerSecond
}

// rateLimitedFormatter drops lines above the rate limit of their event before they are encoded.
type rateLimitedFormatter struct {
	log  *Log
	next logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *rateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	event, _ := entry.Data[Event].(string)
	if !f.log.allowLine(event, entry.Time) {
		f.log.countDrop()
		return nil, nil
	}
	return f.next.Format(entry)
}
