package quota

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

// Options configures a Gate.
type Options struct {
	// Known reports whether a backend server is in use or was so recently.
	Known func(backend string) bool
	// Clock includes the time for which the machine was suspended.
	Clock func() time.Time
	Log   logrus.FieldLogger
}

// Gate is one instance's view of the limits of backend servers. It is safe for concurrent use.
type Gate struct {
	options Options

	mu    sync.Mutex
	table *Table
}

// NewGate returns a gate that knows no limit.
func NewGate(options Options) *Gate {
	return &Gate{options: options, table: NewTable(options.Known)}
}

// Observe applies what a response to a request sent at a time says about the limit of a backend server.
func (g *Gate) Observe(backend string, reading Reading, sentAt time.Time) {
	g.mu.Lock()
	notice, changed := g.table.Observe(backend, reading, sentAt, g.options.Clock())
	g.mu.Unlock()
	if changed {
		g.logChange(notice, "response")
	}
}

// Limit returns the limit of a backend server in requests per second, and false if it has none.
func (g *Gate) Limit(backend string) (perSecond float64, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Limit(backend)
}

func (g *Gate) logChange(n Notice, source string) {
	fields := logrus.Fields{
		logs.Backend: n.backend, logs.Source: source, logs.AgeMillis: g.options.Clock().Sub(n.asOf).Milliseconds(),
	}
	if n.lifted {
		g.options.Log.WithFields(fields).WithField(logs.Event, "limitLifted").Info("a backend server names no limit any more")
		return
	}
	g.options.Log.WithFields(fields).WithFields(logrus.Fields{logs.Event: "limitNamed", logs.PerSecond: n.perSecond}).
		Info("a backend server names a limit of requests per second from all instances together")
}
