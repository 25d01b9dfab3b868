package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// Call is what a caller states about its request.
type Call struct {
	// ID is unique for each attempt of a caller.
	ID   string
	Host string
	Path string
	// Key is the API key; empty for none.
	Key string
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Prompt is nil for a request without a prompt.
	Prompt *Prompt
}

// Prompt describes a generation.
type Prompt struct {
	Tokens int
	// MaxOutput is the greatest number of tokens to generate.
	MaxOutput int
	// Shared identifies the part of the prompt that other requests have too; zero for none.
	Shared uint64
	// LengthHint is the caller's estimate of the output in tokens; zero for none. It is right at the median only.
	LengthHint int
}

// Dispatch is one sending of a request to a backend server.
type Dispatch struct {
	Backend route.Backend
	// Account is the client account that holds the key; empty for a request without a key.
	Account  string
	Deadline time.Time
	// Urgency orders requests on an engine.
	Urgency Urgency
	// Resume is set if the run goes on from a copy of its memory.
	Resume *Resume
	// Backup is the address of an engine that gets a copy of the run's memory as it grows; empty for none.
	Backup string
}

// Urgency is the rank of a request on an engine. The engine starts the more urgent first and preempts the less urgent.
type Urgency int

// Urgencies.
const (
	UrgencyNormal Urgency = iota
	UrgencyShort
	UrgencyLong
)

// Resume tells where the memory of a run is and what its caller has got.
type Resume struct {
	// Holder is the address of the engine that made the copy.
	Holder string
	// Handle names the copy there.
	Handle string
	// Position is the ID of the last event that the caller got; empty for none.
	Position string
}

// Reply is what the protocol says about the head of an answer.
type Reply struct {
	// NotRun is true if the backend server says that it did not run the request and never will.
	NotRun bool
	// Other is true if another backend server has the address now.
	Other bool
	// Leaving is true if the backend server takes no new work.
	Leaving bool
	// Genuine is false for an answer to another request or one that is not the backend server's own.
	Genuine bool
}

// Copy is the result of copying the memory of a run.
type Copy struct {
	Handle string
	// Events is the number of events that the run had made.
	Events int
}

// Protocol speaks to backend servers.
type Protocol interface {
	// Request builds the request to a backend server. The body is the caller's.
	Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error)
	// Read judges the head of an answer.
	Read(resp *http.Response, call *Call) Reply
}

// Copier copies the memory of runs between engines.
type Copier interface {
	// Copy copies what is new. With last, the run stops first and its stream ends early.
	Copy(ctx context.Context, source route.Backend, run string, target route.Backend, last bool) (Copy, error)
	// Drop frees a copy.
	Drop(ctx context.Context, source route.Backend, handle string) error
}

// Inspector asks an engine about itself.
type Inspector interface {
	// Leaving reports whether the engine says that it is about to leave.
	Leaving(ctx context.Context, backend route.Backend) (bool, error)
}

// CopyError is the error of a copy that an engine refused.
type CopyError struct {
	// NoRun is true if the engine does not run the request.
	NoRun bool
	// Busy is true if a copy of the run is in progress.
	Busy bool
	// Handle names what the engine kept, so that the run can go on there; empty for nothing.
	Handle string
}

// Error implements error.
func (e *CopyError) Error() string {
	switch {
	case e.NoRun:
		return "the engine does not run this request"
	case e.Busy:
		return "a copy of this run is in progress"
	default:
		return "the target has no room or cannot be reached"
	}
}
