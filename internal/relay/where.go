package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	againstCost  = "higher cost"
	againstEqual = "the same cost"
	againstLimit = "its limit was used up when its home was asked last"

	caveatPermit = "the home of its limit decides when the request is sent"
)

// Explain returns where a request would be sent now, and why. It sends and counts nothing. It implements peerpb.DRPCWhereServer for operators, and
// returns an error for a route or an account that the configuration lacks. What the prompt or the body decides is left out: whether it has crashed backend servers before.
func (r *Relay) Explain(ctx context.Context, question *peerpb.WhereRequest) (*peerpb.WhereResponse, error) {
	x, err := r.newQuestion(question)
	if err != nil {
		return nil, err
	}
	answer := &peerpb.WhereResponse{
		Instance: r.options.Instance, DataCentre: r.options.DataCentre, Route: x.route.Name,
		ConfirmedAgeMilli: x.confirmedAgeMillis(), Revision: r.options.Fleet.Revision(),
	}
	if err := x.identify(); err != nil {
		answer.Refusal = err.Error()
		return answer, nil
	}
	answer.Account = x.account
	regions := x.regions()
	answer.Regions, answer.Restricted = regions.Names(), regions.Restricted()
	total := 0
	for _, share := range x.route.Shares {
		total += share.Weight
	}
	for _, share := range x.route.Shares {
		if share.Weight <= 0 {
			continue
		}
		x.setService(share.Service)
		x.denied, x.run = nil, runAttempts{}
		service := x.explainService(ctx)
		service.Service, service.Share = share.Service, float64(share.Weight)/float64(total)
		answer.Services = append(answer.Services, service)
	}
	return answer, nil
}

// newQuestion returns a request that is only asked about.
func (r *Relay) newQuestion(question *peerpb.WhereRequest) (*exchange, error) {
	x := &exchange{relay: r, log: r.options.Log, arrived: time.Now(), catalogue: r.options.Fleet.Catalogue()}
	if x.catalogue == nil {
		return nil, errors.New("no configuration is known yet")
	}
	host, path := question.GetHost(), question.GetPath()
	if name := question.GetRoute(); name != "" {
		for i := range x.catalogue.Routes() {
			if matched := &x.catalogue.Routes()[i]; matched.Name == name {
				host, path = matched.Host, matched.Prefix
			}
		}
	}
	matched, ok := x.catalogue.Match(host, path)
	if name := question.GetRoute(); !ok || name != "" && matched.Name != name {
		return nil, fmt.Errorf("no route matches host %q, path %q, name %q", host, path, name)
	}
	key, err := keyOf(x.catalogue, question.GetAccount())
	if err != nil {
		return nil, err
	}
	x.route, x.priority = matched, matched.Priority
	x.call = &Call{Host: host, Path: path, Key: key, Prompt: &Prompt{
		Tokens: int(question.GetPromptTokens()), MaxOutput: int(question.GetMaxTokens()), PrefixHash: question.GetPrefixHash(),
	}}
	return x, nil
}

// keyOf returns a key of an account, or "" without a name. It must not be part of an answer.
func keyOf(catalogue *route.Catalogue, name string) (string, error) {
	if name == "" {
		return "", nil
	}
	for _, account := range catalogue.Accounts() {
		if account.Name == name && len(account.Keys) > 0 {
			return account.Keys[0], nil
		}
	}
	return "", fmt.Errorf("no client account with a key is named %q", name)
}

func (x *exchange) explainService(ctx context.Context) *peerpb.WhereService {
	answer := new(peerpb.WhereService)
	if x.service.Engine != nil {
		x.explainGeneration(ctx, answer)
	} else {
		x.explainReplicas(answer)
	}
	if x.relay.tooLate(x.workload(), time.Now()) {
		answer.Chosen, answer.Decision = "", "refused: "+detailLeaving
	}
	return answer
}

// explainReplicas follows nextReplica.
func (x *exchange) explainReplicas(answer *peerpb.WhereService) {
	o := &x.relay.options
	left, chosenCost := x.replicaCandidates(nil, 0), 0.0
	for len(left) > 0 {
		best, cost := x.relay.replicas.peekCheapest(left, time.Now())
		backend, limited := left[best].backend, left[best].limited
		left = append(left[:best], left[best+1:]...)
		candidate := x.whereCandidate(backend, cost)
		switch {
		case answer.GetChosen() != "" && cost > chosenCost:
			candidate.Against = againstCost
		case answer.GetChosen() != "":
			candidate.Against = againstEqual
		case o.Limits.Exhausted(backend.ID):
			candidate.Against = againstLimit
		default:
			answer.Chosen, chosenCost = backend.ID, cost
			if limited {
				answer.Caveat = caveatPermit
			}
		}
		answer.Candidates = append(answer.Candidates, candidate)
	}
	for _, backend := range o.Fleet.AcceptingBackends(x.service.Name) {
		if err := x.rulesOut(backend, nil, false); err != nil {
			candidate := x.whereCandidate(backend, -1)
			candidate.Against = err.Error()
			answer.Candidates = append(answer.Candidates, candidate)
		}
	}
	for _, backend := range o.Fleet.ClosedBackends(x.service.Name) {
		candidate := x.whereCandidate(backend, -1)
		candidate.Against = x.closedBecause(backend)
		answer.Candidates = append(answer.Candidates, candidate)
	}
	answer.Decision = "sent to " + answer.GetChosen()
	if answer.GetChosen() == "" {
		answer.Decision = "refused: " + x.nothingAllowed("no replica takes the request")
	}
}

func (x *exchange) whereCandidate(backend route.Backend, cost float64) *peerpb.WhereCandidate {
	candidate := &peerpb.WhereCandidate{Backend: backend.ID, DataCentre: backend.DataCentre, Cost: cost, FirstEventMilli: -1, ReportAgeMilli: -1}
	if x.relay.replicas.isSuspect(backend.ID, time.Now()) {
		candidate.States = append(candidate.States, "suspect")
	}
	if until, _ := x.relay.options.Fleet.Cold(backend.ID); time.Now().Before(until) {
		candidate.States = append(candidate.States, "cold")
	}
	return candidate
}

// closedBecause returns why a backend server takes no new work.
func (x *exchange) closedBecause(backend route.Backend) string {
	fleet := x.relay.options.Fleet
	switch {
	case fleet.Evacuated(backend.DataCentre):
		return errEvacuated.Error()
	case fleet.SaysLeaving(backend.ID):
		return "the backend server leaves"
	default:
		return "the backend server is not ready, did not answer or is gone"
	}
}

// explainGeneration follows startRun up to the send.
func (x *exchange) explainGeneration(ctx context.Context, answer *peerpb.WhereService) {
	o := &x.relay.options
	for {
		pools, err := o.Explain(ctx, x.describeRequest(x.run.avoid, x.run.excluded, 0))
		x.annotate(pools)
		answer.Pools = append(answer.Pools, pools...)
		var refusal *pond.Refusal
		switch {
		case errors.As(err, &refusal):
			answer.Decision = "refused: " + refusal.Detail()
			return
		case err != nil || len(pools) == 0:
			answer.Decision = fmt.Sprintf("not known: %v", err)
			return
		}
		last := pools[len(pools)-1]
		answer.Chosen, answer.Caveat = last.GetChosen(), last.GetCaveat()
		if answer.GetChosen() == "" {
			answer.Decision = "waits for an engine in region " + last.GetRegion()
			return
		}
		backend, known := o.Fleet.Backend(answer.GetChosen())
		switch {
		case !known:
			answer.Decision = "refused: this instance does not know engine " + answer.GetChosen()
		case x.forbids(backend) != nil:
			answer.Decision = "not sent to " + backend.ID + ": " + x.forbids(backend).Error()
		case o.Limits.Exhausted(backend.ID):
			x.denied = append(x.denied, backend.ID)
			x.excludeDenied(backend.ID)
			if len(x.denied) < maxDeniedEngines {
				continue
			}
			answer.Decision = "refused: the limits of the chosen engines are used up"
		default:
			answer.Decision = "sent to " + backend.ID
			if o.Limits.Restricted(backend.ID) && answer.GetCaveat() == "" {
				answer.Caveat = caveatPermit
			}
			return
		}
		answer.Chosen = ""
		return
	}
}

// annotate adds what this instance knows about the engines that take no new work.
func (x *exchange) annotate(pools []*peerpb.WherePool) {
	for _, pool := range pools {
		for _, candidate := range pool.GetCandidates() {
			if backend, known := x.relay.options.Fleet.Backend(candidate.GetBackend()); known && !x.relay.options.Fleet.Accepting(backend.ID) {
				candidate.States = append(candidate.States, x.closedBecause(backend))
			}
		}
	}
}
