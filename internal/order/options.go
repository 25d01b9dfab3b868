package order

import (
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// DefaultInterval is the reconcile interval. It limits how long an engine that ignores the fencing token keeps the
	// state of an old order.
	DefaultInterval = 5 * time.Second
	// DefaultWeightBytes is the assumed size of weights, because the manifest does not declare sizes.
	DefaultWeightBytes = 1 << 30
)

// Ranking selects a live instance by rendezvous hashing.
type Ranking interface {
	// Home returns the instance with the highest rank for the key among the live instances of the region, or of all
	// regions if region is empty. It returns false if there is none.
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
	// Directory returns this instance and the others that are not gone, by which changes of the membership are detected.
	Directory pond.Directory
	// Ranking selects the home of each engine and of the load slots of each region.
	Ranking Ranking
	// Backends excludes engines that are leaving or gone.
	Backends pond.BackendView
	// Engines reads states and sends orders.
	Engines EngineClient
	// Conn returns a connection to the instance with the given peer address.
	Conn func(address string) drpc.Conn
	// Clock returns the current time with a monotonic reading; nil means time.Now.
	Clock func() time.Time
	// Logger receives failures to bring engines to their desired state; nil means logrus.StandardLogger.
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
