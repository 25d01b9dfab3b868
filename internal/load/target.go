package load

import (
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// Target is a running system with its stand-ins.
type Target struct {
	// Name is the heading of the target's column.
	Name string
	// Entries are IP:PORT of entry instances. Callers begin with these and then use the answer of GET /v1/entries.
	Entries []string
	// Engines and Services are IP:PORT of stand-ins whose counters are read.
	Engines  []string
	Services []string
	// Model and Service are the names that requests use.
	Model   string
	Service string
	// Slow switches engines slow during the run; nil means never.
	Slow *Slow
}

// Slow describes moments in which a share of the engines is slowed.
type Slow struct {
	// Share of the engines that are slowed in each moment.
	Share float64
	// Factor by which their steps take longer.
	Factor float64
	// Every is the time between the beginnings of two moments, and For their length.
	Every, For time.Duration
}

// DefaultSlow slows a quarter of the engines tenfold for two of every six seconds, as co-located work does.
func DefaultSlow() *Slow {
	return &Slow{Share: 0.25, Factor: 10, Every: 6 * time.Second, For: 2 * time.Second}
}

// keyOf returns the API key of an account of a local run.
func keyOf(account int) string { return fakes.AccountKey(account) }

// newTransport returns a transport that keeps a connection for each open stream.
func newTransport() *http.Transport {
	const idle = 4096
	return &http.Transport{MaxIdleConns: idle, MaxIdleConnsPerHost: idle, DisableCompression: true}
}
