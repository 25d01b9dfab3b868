package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=title-lower -output=kind_enumer.go

// Kind states whether requests may be repeated and how the response is delivered.
type Kind int

// Kinds of routes. KindAtMostOnce is the zero value, so that a route of unknown kind is never repeated.
const (
	KindAtMostOnce Kind = iota
	KindIdempotent
	// KindStream responds with a stream of events. Its requests are run at most once, unless the route is resumable.
	KindStream
)

// Share is the weight of a service in the traffic split of a route.
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
	// Timeout is the longest time that a caller waits for the complete response.
	Timeout time.Duration
	// LatencyTarget is the time within which the response, or the first event of a stream, has its full value for the
	// caller. A later one is worth less.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events of a stream that counts as on time.
	GapTarget time.Duration
	// Priority orders the routes of one service; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers to which one request may be sent.
	MaxAttempts int
	// Resumable is true for a stream that another engine can continue from any event, so that its requests are
	// idempotent.
	Resumable bool
	// AuthExempt exempts the route from API keys.
	AuthExempt bool
	// Regions are the regions in which requests may run.
	Regions pond.Regions
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
	// TokenBytes is the number of bytes to copy for the KV cache of one token.
	TokenBytes int
	// LinkBitsPerSecond is the capacity that an engine's network link has for copies.
	LinkBitsPerSecond int64
	// SupportsMoves and SupportsBackups tell whether an engine can copy the KV cache of a run to another engine, to
	// move the run there or as a backup.
	SupportsMoves   bool
	SupportsBackups bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyLifetime is the time after which an engine drops an unused copy.
	CopyLifetime time.Duration
	Models       []string
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// ColdStart is the time for which a backend server is slow after a start during traffic, and ColdPerSecond the requests per second
	// from all instances together that it bears meanwhile. Zero is no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides that of the route, unless it is NoPriority; 0 is the most urgent.
	Priority int
	// Regions are the regions in which the account's requests may run. Those of the route bind as well.
	Regions pond.Regions
}

// NoPriority is the priority of an account that does not override that of the route.
const NoPriority = -1

// Limits bound the size of requests, the time to send a header and the time that a connection may be idle.
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
	// RequiresKeys is true if requests need an API key also while there is no account, so that none is accepted.
	RequiresKeys bool
	Limits       Limits
}

// Catalogue is one published configuration.
type Catalogue struct {
	content       Content
	routesByHost  map[string][]*Route // the longest prefix first
	services      map[string]*Service
	accountsByKey map[string]*Account
}

// New returns a catalogue. It keeps the slices of the content, so the caller must not change them.
func New(content Content) *Catalogue {
	c := &Catalogue{
		content:       content,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]*Service, len(content.Services)),
		accountsByKey: make(map[string]*Account),
	}
	for i := range content.Routes {
		r := &content.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range content.Services {
		c.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Accounts {
		for _, key := range content.Accounts[i].Keys {
			if key != "" { // A request without a key has none of an account.
				c.accountsByKey[key] = &content.Accounts[i]
			}
		}
	}
	return c
}

// Version returns the publisher's version number.
func (c *Catalogue) Version() uint64 { return c.content.Version }

// Routes returns all routes. The caller must not change the slice.
func (c *Catalogue) Routes() []Route { return c.content.Routes }

// Limits returns the limits for callers.
func (c *Catalogue) Limits() Limits { return c.content.Limits }

// Services returns all services. The caller must not change the slice.
func (c *Catalogue) Services() []Service { return c.content.Services }

// Accounts returns all client accounts. The caller must not change the slice.
func (c *Catalogue) Accounts() []Account { return c.content.Accounts }

// NeedsKeys reports whether requests need an API key, unless their route is exempt.
func (c *Catalogue) NeedsKeys() bool { return c.content.RequiresKeys || len(c.content.Accounts) > 0 }

// Match returns the route of the host with the longest prefix that matches the path. A port in the host is ignored.
func (c *Catalogue) Match(host, path string) (*Route, bool) {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostRegions returns the regions that each route of a host allows. A port in the host is ignored.
func (c *Catalogue) HostRegions(host string) []pond.Regions {
	var regions []pond.Regions
	for _, r := range c.routesOf(host) {
		regions = append(regions, r.Regions)
	}
	return regions
}

func (c *Catalogue) routesOf(host string) []*Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return c.routesByHost[host]
}

// Service returns a service by name.
func (c *Catalogue) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Account returns the client account that holds a key.
func (c *Catalogue) Account(key string) (*Account, bool) {
	a, ok := c.accountsByKey[key]
	return a, ok
}

// ServiceFor returns the service whose share of the total weight contains the fraction, which is in [0, 1).
func (r *Route) ServiceFor(fraction float64) string {
	totalWeight := 0
	for _, share := range r.Shares {
		totalWeight += share.Weight
	}
	remaining := int(fraction * float64(totalWeight))
	for _, share := range r.Shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	if len(r.Shares) > 0 {
		return r.Shares[0].Service
	}
	return ""
}
