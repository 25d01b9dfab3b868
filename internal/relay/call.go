package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// Call holds what a caller states about its request.
type Call struct {
	// ID should be unique for each attempt of a caller, but may be empty or repeated.
	ID   string
	Host string
	Path string
	// Key is the API key; empty for none.
	Key string
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Prompt describes the generation; nil for a request without a prompt.
	Prompt *Prompt
	// Position is the ID of the last event that the caller has from an earlier attempt; empty for none. Only resumable
	// routes use it.
	Position string
}

// Prompt describes the input and the expected output of a generation.
type Prompt struct {
	Tokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// PrefixHash is the hash of the prompt prefix that other requests have too; zero for none.
	PrefixHash uint64
	// SharedParts holds the IDs of the parts of the prompt that other requests may have too, in order.
	SharedParts []string
	// LengthHint is the caller's estimate of the output in tokens; zero for none. It is accurate only at the median.
	LengthHint int
}

// Dispatch describes one attempt to send a request to a backend server.
type Dispatch struct {
	Backend route.Backend
	// Account is the client account that owns the key; empty for a request without a key.
	Account  string
	Deadline time.Time
	// Urgent is true if the engine should read the prompt before others that wait there.
	Urgent bool
	// Position is the ID of the last event that the caller has; empty for none. The engine continues after it.
	Position string
	// Resume is set if the run continues from a copy of its KV cache.
	Resume *Resume
	// Backup is the address of an engine that receives a copy of the run's KV cache as it grows; empty for none.
	Backup string
}

// Resume tells where the copy of a run's KV cache is.
type Resume struct {
	// Holder is the address of the engine that made the copy.
	Holder string
	// Handle identifies the copy on the holder.
	Handle string
	// untilNextMove is true if a connection through another instance will do that ends before the run does, but leaves time to move it again.
	untilNextMove bool
}

// Reply is what a Protocol found in the status and header of a response.
type Reply struct {
	// NotRun is true if the backend server says that it did not run the request and never will.
	NotRun bool
	// AddressReassigned is true if another backend server has taken over the address.
	AddressReassigned bool
	// Leaving is true if the backend server takes no new work.
	Leaving bool
	// Genuine is false for a response to another request or one that did not come from the backend server itself.
	Genuine bool
	// Limit is what the response says about the rate of requests that the backend server takes.
	Limit quota.Reading
	// Signal is what the response says about later requests.
	Signal fleet.Signal
	// Unreadable names the header fields whose values could not be read.
	Unreadable []string
	// WeightsVersion is the version of the weights with which an engine generates the response; empty if it is not stated.
	WeightsVersion string
}

// Copy is the result of copying the KV cache of a run.
type Copy struct {
	Handle string
	// Events is the number of events that the run had produced.
	Events int
}

// Protocol builds requests to backend servers and interprets their responses.
type Protocol interface {
	// Request builds the request to a backend server with the caller's body.
	Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error)
	// InspectResponse interprets the status and header of a response.
	InspectResponse(resp *http.Response, call *Call) Reply
}

// Copier copies the KV cache of runs between engines.
type Copier interface {
	// Copy copies what was added since the previous copy. With last, the engine first stops the run, and its stream
	// ends early.
	Copy(ctx context.Context, source route.Backend, run string, target route.Backend, last bool) (Copy, error)
	// Drop frees a copy.
	Drop(ctx context.Context, source route.Backend, handle string) error
}

// Inspector queries the state of an engine.
type Inspector interface {
	// Leaving reports whether the engine says that it is about to leave. The error wraps ErrUnreadableStatus if the engine
	// answered, but not with its state.
	Leaving(ctx context.Context, backend route.Backend) (bool, error)
	// StartedAt returns the start that the engine at the address states, in Unix milliseconds; 0 if it states none. Errors are those of Leaving.
	StartedAt(ctx context.Context, backend route.Backend) (int64, error)
}

// ErrUnreadableStatus is the cause of an error about an engine that answers.
var ErrUnreadableStatus = errors.New("the engine answered without its state")

// CopyError is returned for a copy that an engine refused.
type CopyError struct {
	// NoRun is true if the engine does not run the request.
	NoRun bool
	// Busy is true if a copy of the run is in progress.
	Busy bool
	// Handle identifies what the engine kept, so that the run can continue there; empty for nothing.
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
