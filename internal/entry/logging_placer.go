package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxKeptRefusals is the number of refusals that the status page shows.
const maxKeptRefusals = 20

// RefusalStatus describes one refused placement.
type RefusalStatus struct {
	At         time.Time     `json:"at"`
	Generation string        `json:"generation"`
	Account    string        `json:"account"`
	Class      pond.Class    `json:"class"`
	Reason     pond.Reason   `json:"reason"`
	Run        pond.RunState `json:"run"`
	Detail     string        `json:"detail"`
}

// loggingPlacer logs each decision of the wrapped placer and keeps the latest refusals.
type loggingPlacer struct {
	next     pond.Placer
	log      *logrus.Logger
	refusals *ringBuffer[RefusalStatus]
}

func newLoggingPlacer(next pond.Placer, log *logrus.Logger) *loggingPlacer {
	return &loggingPlacer{next: next, log: log, refusals: newRingBuffer[RefusalStatus](maxKeptRefusals)}
}

// Place implements pond.Placer.
func (p *loggingPlacer) Place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	arrived := time.Now()
	placement, err := p.next.Place(ctx, req)
	fields := logrus.Fields{
		"generation": req.Generation,
		"account":    req.Account,
		"model":      req.Model,
		"class":      req.Class.String(),
		"wait":       time.Since(arrived).String(),
	}
	if err != nil {
		p.recordRefusal(req, err, fields)
		return nil, err
	}
	fields["backend"], _ = placement.Backend()
	p.log.WithFields(fields).Debug("generation placed")
	return placement, nil
}

func (p *loggingPlacer) recordRefusal(req pond.PlaceRequest, err error, fields logrus.Fields) {
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) {
		p.log.WithFields(fields).WithError(err).Warn("generation not placed")
		return
	}
	fields["reason"] = refusal.Reason().String()
	if req.Regions.Restricted() {
		fields[logs.Event], fields[logs.Regions], fields["detail"] = "generationRefusedForRegions", req.Regions.String(), refusal.Detail()
		p.log.WithFields(fields).Info("a generation that may run in some regions only was refused")
	} else {
		p.log.WithFields(fields).Debug("generation refused")
	}
	p.refusals.add(RefusalStatus{
		At:         time.Now(),
		Generation: req.Generation,
		Account:    req.Account,
		Class:      req.Class,
		Reason:     refusal.Reason(),
		Run:        refusal.Run(),
		Detail:     refusal.Detail(),
	})
}
