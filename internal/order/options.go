package order

import (
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// DefaultInterval is the reconcile interval. It bounds the time for which an engine that ignores the fencing token
	// keeps a state that an old order gave it.
	DefaultInterval = 5 * time.Second
	// DefaultWeightBytes is assumed for weights of unknown size; the manifest does not declare sizes.
	DefaultWeightBytes = 1 << 30
)

// Ranking gives the rendezvous winner among the live instances.
type Ranking interface {
	// Home returns the winner for the key among the live instances of the region, or of all regions if it is empty. It
	// returns false if there is none.
	Home(key, region string) (pond.Instance, bool)
}

// RankingFunc adapts a function to Ranking.
type RankingFunc func(key, region string) (pond.Instance, bool)

// Home calls f.
func (f RankingFunc) Home(key, region string) (pond.Instance, bool) { return f(key, region) }

// Options configures a Reconciler. Source, Directory, Ranking, Backends, Engines and Conn are required.
type Options struct {
	// Source gives the manifest in effect.
	Source spec.Source
	// Directory names this instance and notices changes of the live instances.
	Directory pond.Directory
	// Ranking names the home of an engine and of a region's load slots.
	Ranking Ranking
	// Backends excludes engines that are leaving or gone.
	Backends pond.BackendView
	// Engines reads states and sends orders.
	Engines Engines
	// Conn returns a connection to the instance with the given peer address.
	Conn func(address string) drpc.Conn
	// Clock returns the current time with a monotonic reading; nil means time.Now.
	Clock func() time.Time
	// Logger receives failed orders; nil means logrus.StandardLogger.
	Logger logrus.FieldLogger
	// Interval is the reconcile interval; zero means DefaultInterval.
	Interval time.Duration
	// WeightBytes returns the size of the named weights; nil means DefaultWeightBytes for all.
	WeightBytes func(weights string) int64
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.WeightBytes == nil {
		o.WeightBytes = func(string) int64 { return DefaultWeightBytes }
	}
	return o
}
