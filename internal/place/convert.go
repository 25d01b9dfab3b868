package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// hashOf returns the part of a scheduler's seed that depends on its pool.
func hashOf(key poolKey) uint64 { return xxhash.Sum64String(key.rankKey()) }

func policyOf(manifest *spec.Manifest, disabled pond.MechanismSet) sched.Policy {
	policy := manifest.Policy()
	return sched.Policy{
		ShortMaxTokens:  policy.ShortMaxTokens(),
		ShortShare:      policy.ShortShare(),
		Headroom:        policy.Headroom(),
		LengthQuantile:  policy.LengthQuantile(),
		TokenGap:        policy.TokenGapTarget(),
		LongAgingLimit:  policy.LongAgingLimit(),
		RetryBudget:     policy.RetryBudget(),
		StragglerRatio:  policy.StragglerRatio(),
		PrefixLoadBound: policy.PrefixLoadBound(),
		DefaultDeadline: policy.DefaultDeadline(),
		TokenCopyTime:   policy.TokenCopyTime(),
		Disabled:        disabled,
	}
}

// requestOf converts a request of this instance for its own scheduler.
func requestOf(r *localRequest, now time.Time) sched.Request {
	req := &r.req
	return sched.Request{
		ID:           req.Generation,
		Account:      req.Account,
		Version:      req.Version,
		Adapter:      req.Adapter,
		Class:        req.Class,
		Priority:     req.Priority,
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		PrefixHash:   req.PrefixHash,
		Deadline:     req.Deadline,
		Avoid:        req.Avoid,
		Retry:        r.retry,
		MaxLoad:      r.maxLoad,
		Origin:       localOrigin,
		Regions:      req.Regions,
		Target:       req.LatencyTarget,
		Waited:       now.Sub(r.firstOfferedAt),
		Stays:        !r.mayBeSent(),
	}
}

// offerOf converts a request of this instance for the stream to a home.
func offerOf(r *localRequest, now time.Time) *peerpb.Offer {
	req := &r.req
	offer := &peerpb.Offer{
		Generation:     req.Generation,
		Account:        req.Account,
		Model:          req.Model,
		Version:        req.Version,
		Adapter:        req.Adapter,
		Class:          uint32(req.Class),
		Priority:       int32(req.Priority),
		PromptTokens:   int32(req.PromptTokens),
		MaxTokens:      int32(req.MaxTokens),
		PrefixHash:     req.PrefixHash,
		RemainingMilli: max(req.Deadline.Sub(now).Milliseconds(), 0),
		Avoid:          req.Avoid,
		Retry:          r.retry,
		MaxLoad:        float32(r.maxLoad),
		TakesRegion:    r.mayBeSent(),
		Regions:        req.Regions.Names(),
		TargetMilli:    req.LatencyTarget.Milliseconds(),
		WaitedMilli:    now.Sub(r.firstOfferedAt).Milliseconds(),
	}
	if r.sentTo != "" {
		offer.SentFrom = r.ownRegion
	}
	return offer
}

// requestOfOffer converts an offer of another instance for the scheduler.
func requestOfOffer(offer *peerpb.Offer, origin uint64, now time.Time) sched.Request {
	return sched.Request{
		ID:           offer.GetGeneration(),
		Account:      offer.GetAccount(),
		Version:      offer.GetVersion(),
		Adapter:      offer.GetAdapter(),
		Class:        classOf(offer.GetClass()),
		Priority:     int(offer.GetPriority()),
		PromptTokens: int(offer.GetPromptTokens()),
		MaxTokens:    int(offer.GetMaxTokens()),
		PrefixHash:   offer.GetPrefixHash(),
		Deadline:     now.Add(time.Duration(offer.GetRemainingMilli()) * time.Millisecond),
		Avoid:        offer.GetAvoid(),
		Retry:        offer.GetRetry(),
		MaxLoad:      float64(offer.GetMaxLoad()),
		Origin:       origin,
		Regions:      pond.NewRegions(offer.GetRegions()),
		Target:       time.Duration(offer.GetTargetMilli()) * time.Millisecond,
		Waited:       max(time.Duration(offer.GetWaitedMilli())*time.Millisecond, 0),
		Stays:        !offer.GetTakesRegion(),
	}
}

func classOf(number uint32) pond.Class {
	if class := pond.Class(number); class.IsAClass() {
		return class
	}
	return pond.ClassUnknown
}

func progressOf(item *peerpb.ProgressItem) sched.Progress {
	return sched.Progress{
		Tokens:     int(item.GetTokens()),
		Gap:        time.Duration(item.GetGapMicro()) * time.Microsecond,
		FirstToken: time.Duration(item.GetFirstTokenMicro()) * time.Microsecond,
	}
}

func endOf(finish *peerpb.Finish) sched.End {
	return sched.End{
		Tokens:        int(finish.GetTokens()),
		Complete:      finish.GetComplete(),
		BackendFailed: finish.GetBackendFailed(),
	}
}

func messageOfDecision(decision sched.Decision, now time.Time) *peerpb.ScheduleDecision {
	message := &peerpb.ScheduleDecision{Generation: decision.ID, Urgent: decision.Urgent}
	switch decision.Verdict {
	case sched.VerdictServe:
		message.Backend = decision.Engine
	case sched.VerdictWait:
		message.Queued = true
	case sched.VerdictMove:
		message.MoveTo, message.MoveFrom = decision.Engine, decision.Source
	case sched.VerdictSend:
		message.GoTo = decision.Region
		message.HereMilli, message.ThereMilli = decision.Here.Milliseconds(), decision.There.Milliseconds()
	default:
		message.Refusal = &peerpb.RefusalInfo{
			Reason: decision.Reason.String(),
			Run:    uint32(pond.RunNo),
			Detail: decision.Detail,

			RetryAfterMilli: peerpb.RetryAfter(decision.RetryAt, now),
		}
	}
	return message
}

func decisionOfMessage(message *peerpb.ScheduleDecision, now time.Time) sched.Decision {
	decision := sched.Decision{
		ID: message.GetGeneration(), Engine: message.GetBackend(), Urgent: message.GetUrgent(),
	}
	refusal := message.GetRefusal()
	switch {
	case message.GetBackend() != "":
		decision.Verdict = sched.VerdictServe
	case message.GetMoveTo() != "":
		decision.Verdict, decision.Engine = sched.VerdictMove, message.GetMoveTo()
		decision.Source = message.GetMoveFrom()
	case message.GetGoTo() != "":
		decision.Verdict, decision.Region = sched.VerdictSend, message.GetGoTo()
		decision.Here = time.Duration(message.GetHereMilli()) * time.Millisecond
		decision.There = time.Duration(message.GetThereMilli()) * time.Millisecond
	case refusal != nil:
		decision.Verdict = sched.VerdictRefuse
		decision.Reason, _ = pond.ReasonString(refusal.GetReason())
		decision.Detail = refusal.GetDetail()
		decision.RetryAt = peerpb.RetryAt(refusal.GetRetryAfterMilli(), now)
	}
	return decision
}
