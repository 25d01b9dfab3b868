package load

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes a histogram in milliseconds.
type Latency struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P95Millis float64 `json:"p95Millis"`
	P99Millis float64 `json:"p99Millis"`
	MaxMillis float64 `json:"maxMillis"`
}

func summarize(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count:     h.TotalCount(),
		P50Millis: millis(h.ValueAtPercentile(50)),
		P95Millis: millis(h.ValueAtPercentile(95)),
		P99Millis: millis(h.ValueAtPercentile(99)),
		MaxMillis: millis(h.Max()),
	}
}

// KindReport holds the results of one kind of request.
type KindReport struct {
	Kind     Kind  `json:"kind"`
	Offered  int   `json:"offered"`
	Complete int   `json:"whole"`
	OnTime   int   `json:"onTime"`
	Tokens   int64 `json:"tokens"`
	// Wait is the time from the intended send time to the first token or, if none came, to the end of the request.
	Wait Latency `json:"wait"`
	// FirstToken counts from the intended send time, FirstTokenFromSend from the send. Both exclude requests that got no
	// token.
	FirstToken         Latency `json:"firstToken"`
	FirstTokenFromSend Latency `json:"firstTokenSent"`
	// AnswerTime is the time from the intended send time to the end of complete answers.
	AnswerTime Latency `json:"answer"`
	// TimePerToken is AnswerTime divided by the number of tokens.
	TimePerToken Latency `json:"tokenTime"`
}

// PeakReport holds the results of the arrivals at the peak.
type PeakReport struct {
	Offered int `json:"offered"`
	// OnTime is the number of answers that were complete and on time.
	OnTime int `json:"onTime"`
}

// OnTimeShare returns the share of answers that were complete and on time.
func (p PeakReport) OnTimeShare() float64 { return ratio(float64(p.OnTime), float64(p.Offered)) }

// SecondReport holds the results of the arrivals of one second.
type SecondReport struct {
	Offered int `json:"offered"`
	OnTime  int `json:"onTime"`
	Failed  int `json:"failed"`
}

// EngineReport sums the counters of the engines over a run.
type EngineReport struct {
	Tokens           int64 `json:"tokens"`
	Preemptions      int64 `json:"preemptions"`
	StallMillis      int64 `json:"stallMillis"`
	RecomputedTokens int64 `json:"recomputedTokens"`
	// Unreachable is the number of engines whose counters could not be read.
	Unreachable int `json:"unreachable"`
}

// ChargeReport compares what callers of charges were told with the executions that the services counted.
type ChargeReport struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// Executed is the number of charges that ran at least once.
	Executed int `json:"executed"`
	// Duplicated is the number of charges that ran more than once, under the same or different keys.
	Duplicated int `json:"doubled"`
	// FalseNotRun is the number of keys that ran although a refusal said "not run".
	FalseNotRun int `json:"falseNotRun"`
	// AnsweredNotRun is the number of charges that were answered but that no service counted.
	AnsweredNotRun int `json:"answeredNotRun"`
	// Unreachable is the number of services whose executions could not be read.
	Unreachable int `json:"unreachable"`
}

// Report holds the results of one run.
type Report struct {
	Target          string       `json:"target"`
	Plan            Plan         `json:"plan"`
	DurationSeconds float64      `json:"durationSeconds"`
	Slowed          bool         `json:"slowed"`
	Kinds           []KindReport `json:"kinds"`
	// TokenGap is the time between two tokens as the caller receives them.
	TokenGap Latency    `json:"gap"`
	Peak     PeakReport `json:"peak"`
	// SendDelay is the time from the intended to the actual send. The run is open-loop only if it stays small.
	SendDelay Latency `json:"sendDelay"`
	// Refusals counts all refusals by reason, including those after which a retry succeeded.
	Refusals map[string]int `json:"refusals"`
	// Failures counts the answers that were not complete, by the last reason.
	Failures map[string]int `json:"failures"`
	// Violations counts answers with lost, repeated, reordered or mixed tokens; ViolationTexts lists the first ones.
	Violations     int            `json:"violations"`
	ViolationTexts []string       `json:"violationTexts,omitempty"`
	Retries        int            `json:"retries"`
	Resumes        int            `json:"resumes"`
	Engines        EngineReport   `json:"engines"`
	Charges        ChargeReport   `json:"charges"`
	Timeline       []SecondReport `json:"timeline"`
}

// Kind returns the results of one kind of request.
func (r *Report) Kind(kind Kind) KindReport { return r.Kinds[kind] }

func (r *recorder) report(target Target) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Target:          target.Name,
		Plan:            r.plan,
		DurationSeconds: r.plan.Duration.Seconds(),
		Slowed:          target.Slowdown != nil,
		TokenGap:        summarize(r.tokenGaps),
		Peak:            r.peak,
		SendDelay:       summarize(r.sendDelay),
		Refusals:        maps.Clone(r.refusals),
		Failures:        maps.Clone(r.failures),
		Violations:      r.violationCount,
		ViolationTexts:  slices.Clone(r.violations),
		Retries:         r.retries,
		Resumes:         r.resumes,
		Timeline:        slices.Clone(r.timeline),
	}
	for _, kind := range KindValues() {
		k := r.kinds[kind]
		report.Kinds = append(report.Kinds, KindReport{
			Kind:               kind,
			Offered:            k.offered,
			Complete:           k.complete,
			OnTime:             k.onTime,
			Tokens:             k.tokens,
			Wait:               summarize(k.wait),
			FirstToken:         summarize(k.firstToken),
			FirstTokenFromSend: summarize(k.firstTokenFromSend),
			AnswerTime:         summarize(k.answerTime),
			TimePerToken:       summarize(k.timePerToken),
		})
	}
	return report
}

// chargeReport compares the callers' charge logs with the executions that the services counted under each key.
func chargeReport(logs []chargeLog, executions map[string]int) ChargeReport {
	report := ChargeReport{Offered: len(logs)}
	byCharge := make(map[string]int)
	for key, count := range executions {
		byCharge[chargeNameFromKey(key)] += count
	}
	for name, count := range byCharge {
		if len(name) == 0 || name[0] != 'c' {
			continue // A lookup.
		}
		report.Executed++
		if count > 1 {
			report.Duplicated++
		}
	}
	for _, log := range logs {
		for _, key := range log.answeredKeys {
			report.Answered++
			if byCharge[chargeNameFromKey(key)] == 0 {
				report.AnsweredNotRun++
			}
		}
		for _, key := range log.notRunKeys {
			if executions[key] > 0 {
				report.FalseNotRun++
			}
		}
	}
	return report
}

func ratio(x, y float64) float64 {
	if y == 0 {
		return 0
	}
	return x / y
}
