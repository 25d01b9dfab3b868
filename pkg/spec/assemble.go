package spec

import (
	"slices"
	"time"
)

// Region describes a region and its data centres for Assemble.
type Region struct {
	Name        string
	DataCentres []string
}

// ModelParts describes a model for Assemble.
type ModelParts struct {
	Name string
	// MaxTokens is the limit of output tokens for one request.
	MaxTokens int
}

// EngineParts describes an engine for Assemble.
type EngineParts struct {
	Name         string
	Address      string
	DataCentre   string
	Model        string
	MemoryTokens int
	MaxRunning   int
	Leaving      bool
}

// AccountParts describes a client account for Assemble.
type AccountParts struct {
	Name     string
	Priority int
	Weight   int
}

// Parts holds what Assemble builds a manifest from.
type Parts struct {
	Version  Version
	Regions  []Region
	Models   []ModelParts
	Engines  []EngineParts
	Accounts []AccountParts
	// LinkBytesPerSecond is the capacity of the link between regions.
	LinkBytesPerSecond int64
	// TokenGap is the target for the time between two tokens; zero leaves the default.
	TokenGap time.Duration
	// ShortMaxTokens is the output length up to which a request of unknown class counts as short; zero leaves the default.
	ShortMaxTokens int
	// TokenCopyTime is the time to copy the key-value memory of one token to another engine; zero if engines cannot.
	TokenCopyTime time.Duration
	// ShortShare is the share of engine memory that long work may not use, and Headroom the share kept free for growth; zero
	// leaves the defaults.
	ShortShare float64
	Headroom   float64
	// RetryBudget is the number of retries for each first attempt; zero leaves the default.
	RetryBudget float64
}

const secondsPerHour = 3600

// Assemble builds a manifest from its parts, for deployments in which engines and models are published separately
// instead of in one document. Nothing is validated, and Body is empty.
func Assemble(parts Parts) *Manifest {
	doc := manifestDoc{
		Number: parts.Version.Number,
		Link:   linkDoc{BytesPerSecond: parts.LinkBytesPerSecond, BytesPerHour: parts.LinkBytesPerSecond * secondsPerHour},
		Policy: policyDoc{
			ShortMaxTokens: parts.ShortMaxTokens,
			RetryBudget:    parts.RetryBudget,
			ShortShare:     parts.ShortShare,
			Headroom:       parts.Headroom,
			TokenCopyTime:  parts.TokenCopyTime,
		},
	}
	if parts.TokenGap > 0 {
		doc.Policy.TokenGapTarget = parts.TokenGap.String()
	}
	for _, r := range parts.Regions {
		doc.Regions = append(doc.Regions, regionDoc{Name: r.Name, DataCentres: slices.Clone(r.DataCentres)})
	}
	for _, m := range parts.Models {
		doc.Models = append(doc.Models, modelDoc{Name: m.Name, MaxTokens: m.MaxTokens})
	}
	for _, e := range parts.Engines {
		doc.BackendServers = append(doc.BackendServers, backendDoc{
			Name:         e.Name,
			Address:      e.Address,
			DataCentre:   e.DataCentre,
			Kind:         BackendEngine.String(),
			MemoryTokens: e.MemoryTokens,
			MaxRunning:   e.MaxRunning,
			Placement:    placementDoc{Model: e.Model, Role: RoleServe},
			Leaving:      e.Leaving,
		})
	}
	for _, a := range parts.Accounts {
		doc.ClientAccounts = append(doc.ClientAccounts, accountDoc{Name: a.Name, Priority: a.Priority, Weight: a.Weight})
	}
	return newManifest(doc, nil, parts.Version.Revision)
}
