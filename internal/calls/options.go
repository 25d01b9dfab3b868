package calls

import (
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// DefaultKeyValidity is the time during which a run key may be used. Callers look up addresses every 15 s and get a
	// new prefix with every response, so five minutes allow many repeats of one call.
	DefaultKeyValidity = 5 * time.Minute
	// DefaultMaxAnswerBytes limits the stored answers of one instance. With 20,000 records, the default of the
	// manifest, the records take 9 MB without their answers, and as many tombstones 7 MB.
	DefaultMaxAnswerBytes = 8 << 20
	// defaultReadBytes is the budget for answers that are read from replicas or written to callers if none is given.
	defaultReadBytes = 8 << 20

	// answerRetention is how long the answer is kept for repeats after the key has expired.
	answerRetention = 10 * time.Minute

	// newKeyRetryDelay is the delay after which a caller should retry with a new run key.
	newKeyRetryDelay = time.Second
)

// Options configures an Executor. Source, Directory, Backends, Conn and MACKey are required.
type Options struct {
	// Source gives the manifest in effect.
	Source spec.Source
	// Directory gives the addresses of other instances. Self must be valid when New is called.
	Directory pond.Directory
	// Backends tells which replicas accept work. It is consulted directly before each send.
	Backends pond.BackendView
	// Conn returns a connection to the instance with the given peer address.
	Conn func(address string) drpc.Conn
	// Dial connects to a replica; nil connects directly. An error means that nothing was sent.
	Dial engine.DialFunc
	// MACKey authenticates run keys. All instances of a deployment use the same key.
	MACKey []byte
	// Clock returns the current time with a monotonic reading; nil means time.Now.
	Clock func() time.Time
	// Logger receives failures of backend servers and peers; nil means logrus.StandardLogger.
	Logger logrus.FieldLogger
	// KeyValidity is the time during which an issued run key may be used; zero means DefaultKeyValidity.
	KeyValidity time.Duration
	// MaxAnswerBytes limits the stored answers; zero means DefaultMaxAnswerBytes. New calls are refused above it.
	MaxAnswerBytes int64
	// Answers limits the answers that are read from replicas or written to callers. Nil means a budget of defaultReadBytes.
	Answers *bound.Budget
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.KeyValidity == 0 {
		o.KeyValidity = DefaultKeyValidity
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.Answers == nil {
		o.Answers = bound.NewBudget(defaultReadBytes)
	}
	return o
}
