package order

import (
	"context"
	"slices"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// State is what an engine serves.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// Order is the body of an order to an engine.
type Order struct {
	// Fence is the fencing token: the number of the manifest that declares the state.
	Fence uint64 `json:"fence"`
	State
}

// Report is the state that an engine reports.
type Report struct {
	Order
	// Phase is "ready", "loading" or "leaving".
	Phase string `json:"state"`
}

const (
	phaseLeaving = "leaving"
	phaseLoading = "loading"
)

// EngineClient reads the states of engines and sends orders to them.
type EngineClient interface {
	// ReadState returns the current state of the engine.
	ReadState(ctx context.Context, engine spec.Backend) (Report, error)
	// SendOrder sends an order. check is called directly before the first byte is written; its error prevents the order
	// and is returned. ErrFenced is returned if the engine has seen a newer fencing token.
	SendOrder(ctx context.Context, engine spec.Backend, order Order, check func() error) error
}

// Desired returns the state that the manifest declares for the engine, with sorted adapters, and false if it declares
// none.
func Desired(engine spec.Backend) (State, bool) {
	model, version := engine.Model()
	if engine.Kind() != spec.BackendEngine || engine.Leaving() || model == "" {
		return State{}, false
	}
	adapters := slices.Clone(engine.Adapters())
	slices.Sort(adapters)
	return State{Model: model, Version: version, Adapters: slices.Compact(adapters), Role: engine.Role()}, true
}

// Equal reports whether both states are the same, regardless of the order of adapters.
func (s State) Equal(other State) bool {
	return s.sameModel(other) && s.Role == other.Role &&
		len(other.missingAdapters(s)) == 0 && len(s.missingAdapters(other)) == 0
}

func (s State) sameModel(other State) bool {
	return s.Model == other.Model && s.Version == other.Version
}

// missingAdapters returns the adapters of s that the other state does not have.
func (s State) missingAdapters(other State) []string {
	var missing []string
	for _, adapter := range s.Adapters {
		if !slices.Contains(other.Adapters, adapter) {
			missing = append(missing, adapter)
		}
	}
	return missing
}

// Loads returns the names of the weights that an engine in state from must load to reach s. Another model or version
// needs all adapters again.
func (s State) Loads(from State) []string {
	adapters := s.missingAdapters(from)
	var weights []string
	if !s.sameModel(from) {
		weights = append(weights, s.Model+"-"+s.Version)
		adapters = s.Adapters
	}
	for _, adapter := range adapters {
		weights = append(weights, s.Model+"-"+adapter)
	}
	return weights
}
