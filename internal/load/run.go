package load

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

const (
	// controlTimeout bounds one request to a control endpoint of a stand-in.
	controlTimeout = 5 * time.Second
	// maxControlBytes bounds an answer of such an endpoint: the counts of a million run keys.
	maxControlBytes = 128 << 20
)

// Run resets the stand-ins of the target, sends the arrivals of the plan and returns the results.
func Run(ctx context.Context, plan Plan, target Target) (*Report, error) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	return run(ctx, plan, target, transport)
}

func run(ctx context.Context, plan Plan, target Target, transport http.RoundTripper) (*Report, error) {
	arrivals, err := plan.Arrivals()
	if err != nil {
		return nil, err
	}
	if len(target.Entries) == 0 {
		return nil, errors.New("the target has no entry addresses")
	}
	standIns := &standInClient{client: &http.Client{Transport: transport, Timeout: controlTimeout}}
	if err := standIns.resetAll(ctx, target); err != nil {
		return nil, err
	}
	recorder := newRecorder(plan)
	caller := newCaller(&http.Client{Transport: transport}, plan, target, recorder, time.Now())
	stopSlowdowns := standIns.startSlowdowns(ctx, plan, target)
	err = caller.sendAll(ctx, arrivals)
	stopSlowdowns()
	if err != nil {
		return nil, err
	}
	report := recorder.report(target)
	report.Engines = standIns.engineCounters(ctx, target)
	executions, unreachable := standIns.executions(ctx, target)
	report.Charges = chargeReport(recorder.charges, executions)
	report.Charges.Unreachable = unreachable
	return report, nil
}

// sendAll sends each arrival at its intended time and waits until every caller has its answer or has given up.
func (c *caller) sendAll(ctx context.Context, arrivals []Arrival) error {
	var group sync.WaitGroup
	defer group.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, arrival := range arrivals {
		timer.Reset(time.Until(c.runStart.Add(arrival.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "run canceled before the last arrival")
		}
		group.Go(func() { c.send(ctx, arrival) })
	}
	return nil
}

// standInClient calls the control endpoints of stand-ins.
type standInClient struct {
	client *http.Client
}

func (c *standInClient) do(ctx context.Context, method, url, body string, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create control request to stand-in")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send control request to stand-in")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	content, err := bound.ReadAll(resp.Body, maxControlBytes)
	if err != nil {
		return errors.Wrap(err, url)
	}
	return errors.Wrap(json.Unmarshal(content, result), url)
}

func (c *standInClient) resetAll(ctx context.Context, target Target) error {
	for _, addresses := range [][]string{target.Engines, target.Services} {
		for _, address := range addresses {
			if err := c.do(ctx, http.MethodPost, "http://"+address+"/reset", "", nil); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *standInClient) engineCounters(ctx context.Context, target Target) EngineReport {
	var sum EngineReport
	for _, address := range target.Engines {
		var load fakes.LoadReport
		if err := c.do(ctx, http.MethodGet, "http://"+address+"/v1/load?lag=0", "", &load); err != nil {
			sum.Unreachable++
			continue
		}
		sum.Tokens += load.Tokens
		sum.Preemptions += load.Preemptions
		sum.StallMillis += load.StallMillis
		sum.RecomputedTokens += load.RecomputedTokens
	}
	return sum
}

// executions returns how often each key ran, summed over all services, and how many services could not be read.
func (c *standInClient) executions(ctx context.Context, target Target) (sum map[string]int, unreachable int) {
	sum = make(map[string]int)
	for _, address := range target.Services {
		var counts map[string]int
		if err := c.do(ctx, http.MethodGet, "http://"+address+"/executions", "", &counts); err != nil {
			unreachable++
			continue
		}
		for key, count := range counts {
			sum[key] += count
		}
	}
	return sum, unreachable
}

// startSlowdowns starts to slow engines as target.Slowdown says; the plan's seed determines which ones. The returned
// function stops it; a fault that is already injected ends after its own duration.
func (c *standInClient) startSlowdowns(ctx context.Context, plan Plan, target Target) (stop func()) {
	if target.Slowdown == nil || len(target.Engines) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.slowPeriodically(ctx, rand.New(rand.NewPCG(plan.Seed, 1)), target)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (c *standInClient) slowPeriodically(ctx context.Context, random *rand.Rand, target Target) {
	ticker := time.NewTicker(target.Slowdown.Interval)
	defer ticker.Stop()
	count := int(math.Ceil(target.Slowdown.Share * float64(len(target.Engines))))
	body, err := json.Marshal(fakes.Fault{
		Kind: fakes.FaultSlow, Factor: target.Slowdown.Factor, Duration: target.Slowdown.Duration.String(),
	})
	if err != nil {
		return
	}
	for {
		for _, i := range random.Perm(len(target.Engines))[:count] {
			// An engine that can't be reached is not slowed; the report counts it as unreachable.
			_ = c.do(ctx, http.MethodPost, "http://"+target.Engines[i]+"/faults", string(body), nil)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
