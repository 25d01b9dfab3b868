package pond

import (
	"context"
	"time"
)

// PlaceRequest describes a generation that needs an engine. It is a plain value without behavior.
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
	// Deadline is the time by which the whole answer is due; zero means none.
	Deadline time.Time
	// Avoid names backend servers that already failed this request.
	Avoid []string
}

// PlacementEnd tells the placer how a placed generation ended.
type PlacementEnd struct {
	// Tokens is the number of generated tokens seen.
	Tokens int
	// Complete is true if the generation reached its end, so that its length may be learned.
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

// Placer decides where a generation runs. It blocks while the request waits in a queue. An error that is a decision
// of the system is a *Refusal.
type Placer interface {
	Place(ctx context.Context, req PlaceRequest) (Placement, error)
}

// PlacerFunc adapts a function to Placer.
type PlacerFunc func(ctx context.Context, req PlaceRequest) (Placement, error)

// Place calls f.
func (f PlacerFunc) Place(ctx context.Context, req PlaceRequest) (Placement, error) {
	return f(ctx, req)
}

// Move asks for a running generation to go on on another backend server.
type Move struct {
	// From is the name of the backend server that it is to leave, as far as the placer knows.
	From string
	// Backend is the name of the backend server on which the generation goes on.
	Backend string
}

// MovablePlacement is a placement whose generation may be moved while it runs.
type MovablePlacement interface {
	Placement
	// Moves returns the moves that the placer asks for, one at a time.
	Moves() <-chan Move
	// Moved tells how a move ended. With ok, the generation runs on the backend server of the move.
	Moved(move Move, ok bool, now time.Time)
}
