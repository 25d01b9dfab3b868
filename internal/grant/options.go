package grant

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Options holds what a Placer needs. Fields without a stated default are required.
type Options struct {
	// Manifests gives the manifest in effect.
	Manifests spec.Source
	// Directory is the live view of the entry instances.
	Directory pond.Directory
	// Backends tells which engines may receive new work.
	Backends pond.BackendView
	// Connect returns a drpc connection to a peer address, such as peer.Network.Conn.
	Connect func(peerAddress string) drpc.Conn
	// Rank orders candidates for a key by rendezvous; nil means the weights of package member.
	Rank RankFunc
	// Engines reads load reports and cancels generations; nil means a client with its own
	// connections, so that control calls never wait behind generations.
	Engines Engines
	// Log receives warnings and changes of home; nil discards them.
	Log logrus.FieldLogger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed makes jitter and choices reproducible; zero means a random seed.
	Seed uint64
}

// RankFunc orders instances by their rendezvous rank for a key, the winner first. It must not depend on the order of
// its input.
type RankFunc func(key string, instances []pond.Instance) []pond.Instance

// Engines is the part of the engine protocol that a home uses.
type Engines interface {
	// Load returns the engine's load report from GET /v1/load.
	Load(ctx context.Context, address string) (engine.Load, error)
	// Cancel ends a generation with DELETE /v1/generations/ID.
	Cancel(ctx context.Context, address, generation string) error
}
