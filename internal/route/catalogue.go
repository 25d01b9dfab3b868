package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=title-lower -output=kind_enumer.go

// Kind tells what may be repeated and how the answer is delivered.
type Kind int

// Kinds of routes. KindAtMostOnce is the zero value, so that a route of unknown kind is never repeated.
const (
	KindAtMostOnce Kind = iota
	KindIdempotent
	// KindStream answers with a stream of events. Its requests run at most once.
	KindStream
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time that a caller is kept waiting for the end of the answer.
	Timeout time.Duration
	// Target is the time within which the answer, or the first event of a stream, has its full value.
	Target time.Duration
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget time.Duration
	// Priority orders routes of one service; 0 is the most urgent.
	Priority int
	// Attempts is the greatest number of backend servers that one request may be sent to.
	Attempts int
	// Open is true for a route that needs no key.
	Open bool
}

// EngineLimits describes the engines of a service.
type EngineLimits struct {
	Slots        int
	MemoryTokens int
	// TokenBytes is the size of one token's memory when it is copied.
	TokenBytes int
	// LinkBits is the capacity of an engine's link for copies in bits per second.
	LinkBits int64
	// Moves and Backups tell whether an engine copies the memory of a run to another engine.
	Moves   bool
	Backups bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyLifetime is the time after which an unused copy is dropped.
	CopyLifetime time.Duration
	Models       []string
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineLimits
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces that of the route; 0 is the most urgent, and NoPriority leaves the route's.
	Priority int
}

// NoPriority is the priority of an account that has none of its own.
const NoPriority = -1

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is the content of a catalogue.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Catalogue is one published configuration.
type Catalogue struct {
	content  Content
	byHost   map[string][]*Route // the longest prefix first
	services map[string]*Service
	byKey    map[string]*Account
}

// New returns a catalogue. It keeps the slices of the content.
func New(content Content) *Catalogue {
	c := &Catalogue{
		content:  content,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(content.Services)),
		byKey:    make(map[string]*Account),
	}
	for i := range content.Routes {
		r := &content.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range content.Services {
		c.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Accounts {
		for _, key := range content.Accounts[i].Keys {
			c.byKey[key] = &content.Accounts[i]
		}
	}
	return c
}

// Version returns the publisher's version number.
func (c *Catalogue) Version() uint64 { return c.content.Version }

// Limits returns the limits for callers.
func (c *Catalogue) Limits() Limits { return c.content.Limits }

// Services returns all services. The caller must not change the slice.
func (c *Catalogue) Services() []Service { return c.content.Services }

// Accounts returns all client accounts. The caller must not change the slice.
func (c *Catalogue) Accounts() []Account { return c.content.Accounts }

// NeedsKeys reports whether requests need a key unless their route is open.
func (c *Catalogue) NeedsKeys() bool { return len(c.content.Accounts) > 0 }

// Match returns the route with the longest prefix of the path among those of the host. A port in the host is ignored.
func (c *Catalogue) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Catalogue) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Account returns the client account that holds a key.
func (c *Catalogue) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// ServiceFor returns the service for a request whose place within the shares is spread, from 0 up to but not 1.
func (r *Route) ServiceFor(spread float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := int(spread * float64(total))
	for _, share := range r.Shares {
		if rest -= share.Weight; rest < 0 {
			return share.Service
		}
	}
	if len(r.Shares) > 0 {
		return r.Shares[0].Service
	}
	return ""
}
