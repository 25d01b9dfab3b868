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
	// Seed determines output lengths without a directive and random faults.
	Seed uint64
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// EventDelay is the age at which a cache event becomes readable.
	EventDelay time.Duration
	// EventGap is the share of cache events that are lost, from 0 to 1.
	EventGap float64
	// ChecksFencing makes the engine refuse an order with a number below the last one.
	ChecksFencing bool
	// LoadTime is how long a model or version takes to load once its weights are there.
	LoadTime time.Duration
	// WeightStore is the IP:PORT of the weight store; empty means that weights are local.
	WeightStore string
	// State is what the engine has loaded at the start.
	State EngineOrder
	// KeepFinished is how long a finished generation can be resumed.
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

// Engine is the stand-in of a model engine: a Batch behind the engine protocol.
type Engine struct {
	faultSet
	config EngineConfig
	router *mux.Router
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once

	lock        sync.Mutex
	random      *rand.Rand
	batch       *Batch
	generations map[string]*generation
	finished    []*generation
	drops       int
	reports     []timedReport
	events      eventLog
	orders      orderState
}

// NewEngine returns a running engine. Close ends it.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config: config,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	e.clear()
	e.changed = e.faultChanged
	e.router = mux.NewRouter()
	e.routes()
	go e.run()
	return e
}

func (e *Engine) routes() {
	e.router.HandleFunc("/v1/generations", e.whileThawed(e.serveGenerate)).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/generations/{id}", e.whileThawed(e.serveResume)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/generations/{id}", e.whileThawed(e.serveCancel)).Methods(http.MethodDelete)
	e.router.HandleFunc("/v1/load", e.whileThawed(e.serveLoad)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/events", e.whileThawed(e.serveEvents)).Methods(http.MethodGet)
	e.router.HandleFunc("/v1/orders", e.whileThawed(e.serveOrder)).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/state", e.whileThawed(e.serveState)).Methods(http.MethodGet)
	e.router.HandleFunc("/faults", e.serveFaults).Methods(http.MethodPost)
	e.router.HandleFunc("/reset", e.serveReset).Methods(http.MethodPost)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close ends the engine and every open stream.
func (e *Engine) Close() { e.once.Do(func() { close(e.closed) }) }

// Reset cancels every generation, clears faults and counters and restores the initial state.
func (e *Engine) Reset() {
	e.set(Fault{Kind: FaultNone}, time.Now())
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, g := range e.generations {
		g.endReader(endCanceled)
	}
	e.clear()
}

func (e *Engine) clear() {
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

// whileThawed holds a request back while the engine is frozen and closes its connection once the engine died.
func (e *Engine) whileThawed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for e.has(FaultFreeze, time.Now()) {
			select {
			case <-time.After(thawInterval):
			case <-r.Context().Done():
				abort()
			case <-e.closed:
				abort()
			}
		}
		if e.has(FaultDie, time.Now()) {
			abort()
		}
		next(w, r)
	}
}

// thawInterval is how often a frozen engine looks whether the fault has ended.
const thawInterval = 10 * time.Millisecond

// faultChanged reacts to a fault that acts at once.
func (e *Engine) faultChanged(fault Fault) {
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
	e.drops++
	for _, g := range e.generations {
		g.notify()
	}
}

// maxLate is how far steps may fall behind their schedule before the schedule begins anew.
const maxLate = 50 * time.Millisecond

// run computes steps until Close. Tokens become visible when the time of their step has passed. Each step begins at
// the planned end of the one before, so that late timers don't slow the engine.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	planned := time.Now()
	for {
		now := time.Now()
		if now.Sub(planned) > maxLate {
			planned = now
		}
		took, emitted, batch := e.step(planned)
		planned = planned.Add(took)
		if !e.pause(timer, took, time.Until(planned)) {
			return
		}
		if took == 0 {
			planned = time.Now()
		}
		e.show(batch, emitted)
	}
}

// step computes one step. A time of zero means that there is nothing to do until a wake-up.
func (e *Engine) step(now time.Time) (time.Duration, []*Job, *Batch) {
	if e.has(FaultFreeze, now) {
		return thawInterval, nil, nil
	}
	slowdown := 1.0
	if fault, ok := e.get(FaultSlow, now); ok {
		slowdown = fault.Factor
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.forget(now)
	if e.batch.Idle() {
		return 0, nil, nil
	}
	took, emitted := e.batch.Step(now, slowdown)
	e.recordEvents(now)
	return took, emitted, e.batch
}

// pause waits for the end of a step, or for new work if the step took no time. It reports false after Close.
func (e *Engine) pause(timer *time.Timer, took, wait time.Duration) bool {
	if took == 0 {
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

// show makes the tokens of a step visible, unless a reset replaced the batch meanwhile.
func (e *Engine) show(batch *Batch, emitted []*Job) {
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
		g.notify()
	}
	e.recordReport(time.Now())
}

func (e *Engine) finish(g *generation) {
	g.done = true
	g.forgetAt = time.Now().Add(e.config.KeepFinished)
	e.finished = append(e.finished, g)
}

// forget drops finished generations that can no longer be resumed.
func (e *Engine) forget(now time.Time) {
	for len(e.finished) > 0 && e.finished[0].forgetAt.Before(now) {
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
		refuseLeaving(w)
		return
	}
	g, status, text := e.start(req)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, text, status)
		return
	}
	e.serveStream(w, r, g, 0)
}

func refuseLeaving(w http.ResponseWriter) {
	w.Header().Set("X-Leaving", "true")
	http.Error(w, "this backend server is leaving", http.StatusServiceUnavailable)
}

// start adds a generation, or returns the status and the text of a refusal.
func (e *Engine) start(req GenerationRequest) (*generation, int, string) {
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
	g := &generation{job: job, text: Tokens(req.Prompt, req.Generation)}
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
