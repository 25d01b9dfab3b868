package fakes

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// EngineConfig holds the settings of an Engine.
type EngineConfig struct {
	Name  string
	Batch BatchConfig
	// Seed seeds random faults and the output lengths of prompts without a length directive.
	Seed uint64
	// ReportLag is the age of the load reports that readers get.
	ReportLag time.Duration
	// EventDelay is the delay after which a cache event becomes readable.
	EventDelay time.Duration
	// EventGap is the probability that a cache event is lost, from 0 to 1.
	EventGap float64
	// ChecksFencing makes the engine refuse an order whose fencing token is below that of the last order.
	ChecksFencing bool
	// LoadTime is how long a model or version takes to load after its weights were fetched.
	LoadTime time.Duration
	// WeightStore is the IP:PORT of the weight store. If empty, weights are local.
	WeightStore string
	// State is the model, version and role that the engine starts with.
	State EngineOrder
	// KeepFinished is how long a generation can be resumed after it finished.
	KeepFinished time.Duration
}

// DefaultEngineConfig returns the settings of a local run.
func DefaultEngineConfig(name string) EngineConfig {
	return EngineConfig{
		Name:         name,
		Batch:        DefaultBatchConfig(),
		Seed:         1,
		ReportLag:    500 * time.Millisecond,
		EventDelay:   300 * time.Millisecond,
		EventGap:     0.02,
		LoadTime:     2 * time.Second,
		KeepFinished: 30 * time.Second,
	}
}

// GenerationRequest is the body of POST /v1/generations.
type GenerationRequest struct {
	Generation string `json:"generation"`
	Model      string `json:"model"`
	Version    string `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens,omitempty"`
	Priority   int    `json:"priority,omitempty"`
}

// Engine is the stand-in for a model engine. It serves a Batch over the engine protocol.
type Engine struct {
	faultSet
	config    EngineConfig
	router    *mux.Router
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	lock        sync.Mutex
	random      *rand.Rand
	batch       *Batch
	generations map[string]*generation
	finished    []*generation
	// dropCount is the number of times that FaultDrop closed all open streams.
	dropCount int
	reports   []timedReport
	events    eventLog
	orders    orderState
}

// NewEngine returns a running engine. Close stops it.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config: config,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	e.initState()
	e.onChange = e.applyFault
	e.router = mux.NewRouter()
	e.registerRoutes()
	go e.run()
	return e
}

func (e *Engine) registerRoutes() {
	e.router.HandleFunc("/v1/generations", e.waitWhileFrozen(e.serveGenerate)).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/generations/{id}", e.waitWhileFrozen(e.serveResume)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/generations/{id}", e.waitWhileFrozen(e.serveCancel)).Methods(http.MethodDelete)
	e.router.HandleFunc("/v1/load", e.waitWhileFrozen(e.serveLoad)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/events", e.waitWhileFrozen(e.serveEvents)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/orders", e.waitWhileFrozen(e.serveOrder)).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/state", e.waitWhileFrozen(e.serveState)).Methods(http.MethodGet)
	e.router.HandleFunc("/faults", e.serveFaults).Methods(http.MethodPost)
	e.router.HandleFunc("/reset", e.serveReset).Methods(http.MethodPost)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops the engine and ends every open stream.
func (e *Engine) Close() { e.closeOnce.Do(func() { close(e.closed) }) }

// Reset cancels every generation, clears faults and counters and restores the initial state.
func (e *Engine) Reset() {
	e.set(Fault{Kind: FaultNone}, time.Now())
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, g := range e.generations {
		g.endReader(endCanceled)
	}
	e.initState()
}

func (e *Engine) initState() {
	e.random = rand.New(rand.NewPCG(e.config.Seed, 0))
	e.batch = NewBatch(e.config.Batch)
	e.generations = make(map[string]*generation)
	e.finished = nil
	e.events = eventLog{}
	e.orders = orderState{current: e.config.State}
	e.reports = []timedReport{{report: e.report(time.Now())}}
}

func (e *Engine) serveReset(w http.ResponseWriter, _ *http.Request) {
	e.Reset()
	w.WriteHeader(http.StatusNoContent)
}

// waitWhileFrozen delays a request while the engine is frozen and closes its connection if the engine is dead.
func (e *Engine) waitWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for e.has(FaultFreeze, time.Now()) {
			select {
			case <-time.After(freezePollInterval):
			case <-r.Context().Done():
				abortConnection()
			case <-e.closed:
				abortConnection()
			}
		}
		if e.has(FaultDie, time.Now()) {
			abortConnection()
		}
		next(w, r)
	}
}

// freezePollInterval is how often a frozen engine checks whether the fault has ended.
const freezePollInterval = 10 * time.Millisecond

// applyFault handles the faults that act on the engine as soon as they are injected.
func (e *Engine) applyFault(fault Fault) {
	switch {
	case fault.Kind == FaultDie:
		e.Close()
	case fault.Kind == FaultDrop && fault.Share == 0:
		e.dropStreams()
	}
}

func (e *Engine) dropStreams() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.dropCount++
	for _, g := range e.generations {
		g.notifyReader()
	}
}

// maxScheduleLag is how far steps may fall behind their schedule before the schedule restarts at the current time.
const maxScheduleLag = 50 * time.Millisecond

// run computes steps until Close. Tokens become visible when the duration of their step has elapsed. Each step begins
// at the scheduled end of the previous one, so that late timers do not slow the engine.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stepStart := time.Now()
	for {
		now := time.Now()
		if now.Sub(stepStart) > maxScheduleLag {
			stepStart = now
		}
		stepTime, emitted, batch := e.step(stepStart)
		stepStart = stepStart.Add(stepTime)
		if !e.waitForStepEnd(timer, stepTime, time.Until(stepStart)) {
			return
		}
		if stepTime == 0 {
			stepStart = time.Now()
		}
		e.publishTokens(batch, emitted)
	}
}

// step computes one step. A duration of zero means that the engine is idle until new work wakes it.
func (e *Engine) step(now time.Time) (time.Duration, []*Job, *Batch) {
	if e.has(FaultFreeze, now) {
		return freezePollInterval, nil, nil
	}
	slowdown := 1.0
	if fault, ok := e.get(FaultSlow, now); ok {
		slowdown = fault.Factor
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.removeExpired(now)
	if e.batch.Idle() {
		return 0, nil, nil
	}
	stepTime, emitted := e.batch.Step(now, slowdown)
	e.recordEvents(now)
	return stepTime, emitted, e.batch
}

// waitForStepEnd waits for the end of a step, or for new work if stepTime is zero. It reports false after Close.
func (e *Engine) waitForStepEnd(timer *time.Timer, stepTime, wait time.Duration) bool {
	if stepTime == 0 {
		select {
		case <-e.wake:
			return true
		case <-e.closed:
			return false
		}
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

// publishTokens makes the tokens of a step visible to readers, unless a reset has replaced the batch.
func (e *Engine) publishTokens(batch *Batch, emitted []*Job) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if batch != e.batch {
		return
	}
	for _, job := range emitted {
		g, ok := e.generations[job.ID()]
		if !ok || g.job != job {
			continue
		}
		g.visible = job.Generated()
		if job.Finished() {
			e.finish(g)
		}
		g.notifyReader()
	}
	e.recordReport(time.Now())
}

func (e *Engine) finish(g *generation) {
	g.done = true
	g.expiresAt = time.Now().Add(e.config.KeepFinished)
	e.finished = append(e.finished, g)
}

// removeExpired removes finished generations whose time to resume has passed.
func (e *Engine) removeExpired(now time.Time) {
	for len(e.finished) > 0 && e.finished[0].expiresAt.Before(now) {
		g := e.finished[0]
		e.finished = e.finished[1:]
		if e.generations[g.job.ID()] == g {
			delete(e.generations, g.job.ID())
		}
	}
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req GenerationRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Generation == "" {
		http.Error(w, "body is not a generation request", http.StatusBadRequest)
		return
	}
	if e.has(FaultLeave, time.Now()) {
		respondLeaving(w)
		return
	}
	g, status, text := e.addGeneration(req)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, text, status)
		return
	}
	e.serveStream(w, r, g, 0)
}

func respondLeaving(w http.ResponseWriter) {
	w.Header().Set("X-Leaving", "true")
	http.Error(w, "this backend server is leaving", http.StatusServiceUnavailable)
}

// addGeneration queues a generation, or returns the status and the text of a refusal.
func (e *Engine) addGeneration(req GenerationRequest) (*generation, int, string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if _, ok := e.generations[req.Generation]; ok {
		return nil, http.StatusConflict, "the generation exists"
	}
	if status, text := e.orders.refusal(req, time.Now()); status != 0 {
		return nil, status, text
	}
	length := OutputLength(req.Prompt, req.Generation, req.MaxTokens, e.config.Seed)
	job := NewJob(req.Generation, req.Prompt, req.Priority, length)
	if !e.batch.Fits(job) {
		return nil, http.StatusRequestEntityTooLarge, "the prompt is larger than the memory"
	}
	g := &generation{job: job, tokenText: TokenText(req.Prompt, req.Generation)}
	e.generations[req.Generation] = g
	e.batch.Add(job)
	e.wakeUp()
	return g, 0, ""
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.lock.Lock()
	defer e.lock.Unlock()
	g, ok := e.generations[mux.Vars(r)["id"]]
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	e.batch.Cancel(g.job)
	g.endReader(endCanceled)
	delete(e.generations, g.job.ID())
	w.WriteHeader(http.StatusNoContent)
}
