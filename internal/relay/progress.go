package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

//go:generate go tool enumer -type=Stage -trimprefix=Stage -transform=title-lower -output=stage_enumer.go

// Stage is how far a request in progress has come.
type Stage int

// Stages, in their order.
const (
	// StageReading is a request that has not been read whole, or not been checked.
	StageReading Stage = iota
	// StageWaiting is a request that no backend server has.
	StageWaiting
	// StageSent is a request that a backend server may be working on.
	StageSent
	// StageResponding is a request whose response has begun.
	StageResponding
)

// progress is how far one request has come. It is safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	stage   Stage
	backend string    // the last one that the request was sent to; empty for none
	sentAt  time.Time // of that send
}

// advance changes the stage. A response that has begun stays begun.
func (p *progress) advance(stage Stage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage != StageResponding {
		p.stage = stage
	}
}

// recordSend records that the request is sent to a backend server.
func (p *progress) recordSend(backend string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend, p.sentAt = backend, at
	if p.stage != StageResponding {
		p.stage = StageSent
	}
}

func (p *progress) responding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage == StageResponding
}

// openRequests holds the requests in progress.
type openRequests struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

func newOpenRequests() *openRequests { return &openRequests{exchanges: make(map[*exchange]struct{})} }

func (o *openRequests) add(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exchanges[x] = struct{}{}
}

func (o *openRequests) remove(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.exchanges, x)
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.exchanges)
}

// unanswered returns the number of requests whose response has not begun.
func (o *openRequests) unanswered() int {
	count := 0
	for _, x := range o.list() {
		if !x.progress.responding() {
			count++
		}
	}
	return count
}

func (o *openRequests) list() []*exchange {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*exchange, 0, len(o.exchanges))
	for x := range o.exchanges {
		list = append(list, x)
	}
	return list
}

// RecordCuts logs and counts the requests in progress, whose connections are about to be closed at the end of the shutdown.
func (r *Relay) RecordCuts() {
	for _, x := range r.open.list() {
		x.logCut()
	}
}

func (x *exchange) logCut() {
	p := &x.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	fields := logrus.Fields{
		logs.Event: "requestCut", logs.Stage: p.stage.String(), logs.ElapsedMillis: time.Since(x.arrived).Milliseconds(),
	}
	if p.backend != "" {
		fields[logs.Backend], fields["sinceSendMillis"] = p.backend, time.Since(p.sentAt).Milliseconds()
	}
	x.relay.options.Metrics.CountCut(p.stage.String())
	x.log.WithFields(fields).Warn("a request is cut off by the end of the shutdown")
}

// OpenByBackend returns the number of requests in progress that each backend server may be working on.
func (r *Relay) OpenByBackend() map[string]int {
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	open := make(map[string]int)
	for x := range r.open.exchanges {
		if backend := x.progress.at(); backend != "" {
			open[backend]++
		}
	}
	return open
}

// at returns the backend server that may be working on the request, or "".
func (p *progress) at() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage != StageSent && p.stage != StageResponding {
		return ""
	}
	return p.backend
}
