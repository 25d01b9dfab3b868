package load

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// Target is a running system with its stand-ins.
type Target struct {
	// Name is the heading of the target's column in the table.
	Name string
	// Entries are IP:PORT of entry instances. Callers begin with these and then use the response of GET /v1/entries.
	Entries []string
	// Engines and Services are IP:PORT of the stand-ins whose counters are read.
	Engines  []string
	Services []string
	// Model and Service are the names that requests use.
	Model   string
	Service string
	// Slowdown slows engines during the run; nil means never.
	Slowdown *Slowdown
}

// Slowdown describes recurring periods in which a share of the engines is slowed.
type Slowdown struct {
	// Share is the share of the engines that are slowed in each period.
	Share float64
	// Factor is the factor by which their steps take longer.
	Factor float64
	// Interval is the time between the starts of two periods, and Duration their length.
	Interval, Duration time.Duration
}

// DefaultSlowdown slows a quarter of the engines tenfold for two of every six seconds, as co-located work does.
func DefaultSlowdown() *Slowdown {
	return &Slowdown{Share: 0.25, Factor: 10, Interval: 6 * time.Second, Duration: 2 * time.Second}
}

// apiKey returns the API key of an account of a local run.
func apiKey(account int) string { return fakes.AccountKey(account) }

// newTransport returns a transport with a pool of idle connections large enough for one connection per open stream.
func newTransport() *bound.Transport {
	const idle = 4096
	transport := bound.NewTransport(nil)
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = idle, idle
	transport.DisableCompression = true
	return transport
}
