package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Action is something that the machine wants done. It is one of Read, Ask, Fetch and Announce.
type Action interface{ isAction() }

// Read reads the configuration service. The result goes to Machine.ReadDone.
type Read struct {
	// After is the revision that the service last gave; zero asks for any revision.
	After uint64
	// Wait is the longest time that the service may hold the request; zero means not at all.
	Wait time.Duration
}

// Ask asks another instance for its manifest version. The result goes to Machine.AskDone.
type Query struct {
	Address string
	// Epoch separates the answers of one confirmation from those of earlier ones.
	Epoch uint64
}

// Fetch gets the body of a manifest from another instance. The result goes to Machine.FetchDone.
type Fetch struct {
	Address string
	// Base is the manifest in effect, nil for none.
	Base *spec.Manifest
}

// Announce tells other instances which manifest is in effect here.
type Announce struct{ Version *peerpb.ManifestVersion }

func (Read) isAction()     {}
func (Query) isAction()    {}
func (Fetch) isAction()    {}
func (Announce) isAction() {}

// ReadResult is the outcome of a Read.
type ReadResult struct {
	// Manifest is nil if the service had nothing newer than Read.After, failed or gave an invalid value.
	Manifest *spec.Manifest
	// Revision is the revision at the service; zero if it is not known.
	Revision uint64
	// Invalid is the reason why the value is not a valid manifest.
	Invalid error
	// Err is the failure of the read.
	Err error
}

// FetchResult is the outcome of a Fetch.
type FetchResult struct {
	Manifest *spec.Manifest
	// Version is what the other instance sent, also if the body is invalid.
	Version *peerpb.ManifestVersion
	Invalid error
	Err     error
}
