package pond

import (
	"context"
	"time"
)

// PlaceRequest describes a generation that needs an engine.
type PlaceRequest struct {
	// Generation is the unique ID that the relay chose for this attempt.
	Generation string
	Account    string
	Model      string
	Version    string
	Adapter    string
	Class      Class
	// Priority of the client account; larger is more important.
	Priority     int
	PromptTokens int
	// MaxTokens bounds the output; zero means the model's limit.
	MaxTokens int
	// PrefixHash identifies the cached prompt prefix; zero means none.
	PrefixHash uint64
	// Deadline is the time by which the complete response is due; zero means none.
	Deadline time.Time
	// Avoid names backend servers that already failed this request.
	Avoid []string
	// Exclude names backend servers that must not get this request although they did not fail it.
	Exclude []string
	// Regions are the regions in which the request may run.
	Regions Regions
	// LatencyTarget is the time within which the first event of the answer has its full value; zero if there is none.
	LatencyTarget time.Duration
}

// PlacementEnd describes how a placed generation ended.
type PlacementEnd struct {
	// Tokens is the number of generated tokens that were received.
	Tokens int
	// Complete is true if the generation reached its end, so that its length may be used for predictions.
	Complete bool
	// BackendFailed is true if the backend server died, refused or stalled.
	BackendFailed bool
}

// Placement is the right to run one generation on one backend server.
type Placement interface {
	// Backend returns the name and the IP:PORT of the backend server.
	Backend() (name, address string)
	// Progress reports the number of tokens generated so far.
	Progress(tokens int, now time.Time)
	// Done ends the placement. It must be called exactly once.
	Done(end PlacementEnd, now time.Time)
}

// UrgentPlacement is a placement that tells how urgent the generation is on its backend server.
type UrgentPlacement interface {
	Placement
	// Urgent reports whether the backend server should read the prompt before others that wait there.
	Urgent() bool
}

// Placer decides where a generation runs. Place blocks while the request waits in a queue. The error is a *Refusal if
// the system decided not to serve the request.
type Placer interface {
	Place(ctx context.Context, req PlaceRequest) (Placement, error)
}

// PlacerFunc adapts a function to Placer.
type PlacerFunc func(ctx context.Context, req PlaceRequest) (Placement, error)

// Place calls f.
func (f PlacerFunc) Place(ctx context.Context, req PlaceRequest) (Placement, error) {
	return f(ctx, req)
}

// Move is a request to migrate a running generation to another backend server.
type Move struct {
	// From is the name of the backend server on which the placer believes the generation runs.
	From string
	// Backend is the name of the backend server on which the generation is to continue.
	Backend string
}

// MovablePlacement is a placement whose generation may be moved while it runs.
type MovablePlacement interface {
	Placement
	// Moves returns the channel of the moves that the placer requests, one at a time.
	Moves() <-chan Move
	// FinishMove reports the end of a move to the placer. If ok is true, the generation now runs on the backend server
	// of the move.
	FinishMove(move Move, ok bool, now time.Time)
}
