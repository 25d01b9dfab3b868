package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

// EngineOrder is the desired state in the body of POST /v1/orders.
type EngineOrder struct {
	// Fence is the fencing token.
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// EngineState is the response to GET /v1/state and POST /v1/orders.
type EngineState struct {
	EngineOrder
	Name string `json:"name"`
	// State is "ready", "loading" or "leaving".
	State string `json:"state"`
	// Orders is the number of orders applied since the start or the last reset.
	Orders int64 `json:"orders"`
}

// orderState is the state of an Engine that orders change, protected by the lock of the engine.
type orderState struct {
	current EngineOrder
	readyAt time.Time
	applied int64
}

// refusal returns the HTTP status and the text for a request that the loaded model cannot serve, or a zero status. An
// engine that was started without a model serves any model.
func (s *orderState) refusal(req GenerationRequest, now time.Time) (int, string) {
	if now.Before(s.readyAt) {
		return http.StatusServiceUnavailable, "the model is loading"
	}
	if s.current.Model == "" {
		return 0, ""
	}
	if req.Model != s.current.Model || req.Version != "" && req.Version != s.current.Version {
		return http.StatusNotFound, "the model or version is not loaded"
	}
	if req.Adapter != "" && !slices.Contains(s.current.Adapters, req.Adapter) {
		return http.StatusNotFound, "the adapter is not loaded"
	}
	return 0, ""
}

// needsLoad reports whether an order requires another model or version to be loaded.
func (s *orderState) needsLoad(order EngineOrder) bool {
	return order.Model != s.current.Model || order.Version != s.current.Version
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.config.ChecksFencing && order.Fence < e.orders.current.Fence {
		http.Error(w, "the fencing token is older than the last one", http.StatusConflict)
		return
	}
	if e.orders.needsLoad(order) {
		e.orders.readyAt = time.Now().Add(e.config.LoadTime)
		if e.config.WeightStore != "" {
			e.orders.readyAt = time.Now().Add(weightTimeout)
			go e.fetchWeights(order)
		}
	}
	e.orders.current = order
	e.orders.applied++
	writeJSON(w, http.StatusOK, e.state(time.Now()))
}

// weightTimeout bounds the transfer of weights from the store.
const weightTimeout = 10 * time.Minute

// fetchWeights requests the weights from the store and then begins the load. If the store fails, the engine stays in
// the state "loading" until weightTimeout or an order for another model or version.
func (e *Engine) fetchWeights(order EngineOrder) {
	client := http.Client{Timeout: weightTimeout, Transport: bound.NewTransport(nil)}
	response, err := client.Get("http://" + e.config.WeightStore + "/v1/weights/" + order.Model + "-" + order.Version)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.orders.current.Model == order.Model && e.orders.current.Version == order.Version {
		e.orders.readyAt = time.Now().Add(e.config.LoadTime)
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.lock.Lock()
	defer e.lock.Unlock()
	writeJSON(w, http.StatusOK, e.state(time.Now()))
}

func (e *Engine) state(now time.Time) EngineState {
	return EngineState{
		EngineOrder: e.orders.current,
		Name:        e.config.Name,
		State:       e.stateName(now),
		Orders:      e.orders.applied,
	}
}
