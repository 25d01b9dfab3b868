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

// ModelConfig describes a model for Assemble.
type ModelConfig struct {
	Name string
	// MaxTokens is the limit of output tokens for one request.
	MaxTokens int
}

// EngineConfig describes an engine for Assemble.
type EngineConfig struct {
	Name         string
	Address      string
	DataCentre   string
	Model        string
	MemoryTokens int
	MaxRunning   int
	Leaving      bool
}

// AccountConfig describes a client account for Assemble.
type AccountConfig struct {
	Name     string
	Priority int
	Weight   int
}

// ManifestConfig holds what Assemble builds a manifest from.
type ManifestConfig struct {
	Version  Version
	Regions  []Region
	Models   []ModelConfig
	Engines  []EngineConfig
	Accounts []AccountConfig
	// LinkBytesPerSecond is the capacity of the link between regions.
	LinkBytesPerSecond int64
	// TokenGapTarget is the target for the time between two tokens; zero leaves the default.
	TokenGapTarget time.Duration
	// ShortMaxTokens is the output length up to which a request of unknown class counts as short; zero leaves the default.
	ShortMaxTokens int
	// TokenCopyTime is the time to copy the KV cache of one token to another engine; zero if engines cannot move requests.
	TokenCopyTime time.Duration
	// ShortShare is the share of engine memory that long work may not use, and Headroom the share kept free for growth;
	// zero leaves the defaults.
	ShortShare float64
	Headroom   float64
	// RetryBudget is the number of retries allowed for each first attempt; zero leaves the default.
	RetryBudget float64
}

const secondsPerHour = 3600

// Assemble builds a manifest from its configuration, for deployments in which engines and models are published
// separately instead of in one document. Nothing is validated, and Body is empty.
func Assemble(config ManifestConfig) *Manifest {
	doc := manifestDoc{
		Number: config.Version.Number,
		Link:   linkDoc{BytesPerSecond: config.LinkBytesPerSecond, BytesPerHour: config.LinkBytesPerSecond * secondsPerHour},
		Policy: policyDoc{
			ShortMaxTokens: config.ShortMaxTokens,
			RetryBudget:    config.RetryBudget,
			ShortShare:     config.ShortShare,
			Headroom:       config.Headroom,
			TokenCopyTime:  config.TokenCopyTime,
		},
	}
	if config.TokenGapTarget > 0 {
		doc.Policy.TokenGapTarget = config.TokenGapTarget.String()
	}
	for _, r := range config.Regions {
		doc.Regions = append(doc.Regions, regionDoc{Name: r.Name, DataCentres: slices.Clone(r.DataCentres)})
	}
	for _, m := range config.Models {
		doc.Models = append(doc.Models, modelDoc{Name: m.Name, MaxTokens: m.MaxTokens})
	}
	for _, e := range config.Engines {
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
	for _, a := range config.Accounts {
		doc.ClientAccounts = append(doc.ClientAccounts, accountDoc{Name: a.Name, Priority: a.Priority, Weight: a.Weight})
	}
	return newManifest(doc, nil, config.Version.Revision)
}
