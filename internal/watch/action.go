package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Action is an operation that Machine requests from its caller. It is one of Read, Query, Fetch and Announce.
type Action interface{ isAction() }

// Read reads the configuration service. The result goes to Machine.ReadDone.
type Read struct {
	// After is the last known revision; only a later one is returned. Zero stands for any revision.
	After uint64
	// Wait is the long-poll timeout; zero requests an immediate response.
	Wait time.Duration
}

// Query requests the manifest version of another instance. The result goes to Machine.QueryDone.
type Query struct {
	Address string
	// Epoch identifies the confirmation, so that responses to queries of earlier ones are dropped.
	Epoch uint64
}

// Fetch requests the body of a manifest from another instance. The result goes to Machine.FetchDone.
type Fetch struct {
	Address string
	// Base is the manifest in effect, which may serve as compression dictionary; nil for none.
	Base *spec.Manifest
}

// Announce tells other instances which manifest version is in effect on this one.
type Announce struct{ Version *peerpb.ManifestVersion }

func (Read) isAction()     {}
func (Query) isAction()    {}
func (Fetch) isAction()    {}
func (Announce) isAction() {}

// ReadResult is the result of a Read.
type ReadResult struct {
	// Manifest is nil if the service had nothing newer than Read.After, failed or returned an invalid manifest.
	Manifest *spec.Manifest
	// Revision is the revision at the service; zero if unknown.
	Revision uint64
	// Invalid is the validation error of the returned manifest.
	Invalid error
	// Err is the error of the read itself.
	Err error
}

// FetchResult is the result of a Fetch.
type FetchResult struct {
	Manifest *spec.Manifest
	// Version is the version that the other instance sent. It is set even if the body is invalid.
	Version *peerpb.ManifestVersion
	// Invalid is the validation error of the body, Err the error of the fetch itself.
	Invalid error
	Err     error
}
