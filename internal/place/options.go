package place

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
	// Manifests returns the manifest in effect.
	Manifests spec.Source
	// Directory is the live view of the entry instances.
	Directory pond.Directory
	// Backends reports which engines accept new work.
	Backends pond.BackendView
	// Connect returns a drpc connection to a peer address, as peer.Network.Conn does.
	Connect func(peerAddress string) drpc.Conn
	// Rank orders instances for a key by rendezvous hashing; nil means RendezvousRank.
	Rank RankFunc
	// Engines reads load reports and cancels generations; nil means a client with its own connections, so that control
	// calls never queue behind generations.
	Engines EngineClient
	// BalanceRegions lets the homes of the pools send requests to another region in which they start earlier. Without it,
	// they go to another region only after this one has refused them.
	BalanceRegions bool
	// ReportInterval returns the time between two reads of an engine's load report; nil means half a second.
	ReportInterval func() time.Duration
	// OnEngineFailure is called on the home of a pool with the name of an engine that failed a request or a move; nil
	// ignores these failures. It must not block.
	OnEngineFailure func(engine string)
	// Cold returns the time for which an engine is still cold, and the most requests that it may get in any second meanwhile; nil means that none
	// is.
	Cold func(engine string) (left time.Duration, mostPerSecond float64)
	// Disabled holds the mechanisms that are switched off.
	Disabled pond.MechanismSet
	// Log receives warnings and home changes; nil discards them.
	Log logrus.FieldLogger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed makes the random choices of the schedulers reproducible; zero means a random seed.
	Seed uint64
}

// RankFunc orders instances by their rendezvous rank for a key, highest first. The result must not depend on the order
// of the input.
type RankFunc func(key string, instances []pond.Instance) []pond.Instance

// EngineClient is the part of the engine protocol that a home uses.
type EngineClient interface {
	// Load returns the engine's load report from GET /v1/load.
	Load(ctx context.Context, address string) (engine.Load, error)
	// Cancel cancels a generation with DELETE /v1/generations/ID.
	Cancel(ctx context.Context, address, generation string) error
}
