package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestPrefillRate guards against placement that assumes the prefill rate of one deployment: replays prompts on engines
// that read them 0.3 to 3 times as fast as usual. The estimate may be low by the delay of progress reports.
func TestPrefillRate(t *testing.T) {
	const prompt, reportDelay = 3000, 30 * time.Millisecond
	for _, perSecond := range []float64{2_200, 7_400, 22_000} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			s := newTestScheduler(testPolicy(), testEngines(2, 60_000, 24)...)
			if got := s.rates.prefillPerSecond(); got != initialPrefillRate {
				t.Errorf("rate %v before any prompt, want the initial one", got)
			}
			now := epoch
			took := time.Duration(prompt / perSecond * float64(time.Second))
			for i := range 40 {
				// Two prompts on one engine are read one after the other.
				ids := []string{fmt.Sprint("a", i), fmt.Sprint("b", i)}
				for _, id := range ids {
					s.Register(Request{ID: id, Account: "x", PromptTokens: prompt, MaxTokens: 100, Deadline: now.Add(time.Hour)}, s.engines.Key(0), 0, now)
				}
				for _, id := range ids {
					now = now.Add(took)
					s.Progress(id, Progress{Tokens: 4, FirstToken: took}, now.Add(reportDelay))
				}
				now = now.Add(reportDelay)
				for _, id := range ids {
					s.Finish(id, End{Tokens: 4, Complete: true}, now)
				}
				s.Tick(now)
			}
			got := s.rates.prefillPerSecond()
			if got > perSecond*1.01 || got < perSecond*0.85 {
				t.Errorf("rate %.0f, want about %.0f", got, perSecond)
			}
			// The load of a backlog stands for a delay, however fast the engines are.
			s.updatePrefillLoad()
			backlog := got * prefillFullDelay.Seconds()
			if load := backlog * s.engines.At(0).loadPerPrefillToken; math.Abs(load-1) > 0.01 {
				t.Errorf("load %.2f for a backlog of %v, want 1", load, prefillFullDelay)
			}
		})
	}
}

// TestNotice guards against moves that count on the notice of one deployment: runs are lost 0.5 to 6 s after the notice.
func TestNotice(t *testing.T) {
	for _, notice := range []time.Duration{500 * time.Millisecond, 1600 * time.Millisecond, 6 * time.Second} {
		t.Run(notice.String(), func(t *testing.T) {
			s := newTestScheduler(testPolicy(), testEngines(3, 60_000, 24)...)
			if got := s.rates.usableNotice(); got != initialNotice {
				t.Errorf("notice %v before any loss, want the initial one", got)
			}
			now := epoch
			for i := range 25 {
				id := fmt.Sprint("r", i)
				s.SetAccepting(s.engines.Key(0), true)
				s.engines.At(0).planEvacuation(false, now)
				s.Register(Request{ID: id, Account: "x", PromptTokens: 100, MaxTokens: 1000, Deadline: now.Add(time.Hour)}, s.engines.Key(0), 4, now)
				s.SetAccepting(s.engines.Key(0), false)
				s.engines.At(0).planEvacuation(false, now)
				now = now.Add(notice)
				s.Finish(id, End{Tokens: 8, BackendFailed: true}, now)
				now = now.Add(time.Second)
			}
			if got := s.rates.usableNotice(); got >= notice || got < notice*8/10 {
				t.Errorf("usable notice %v, want a little less than %v", got, notice)
			}
		})
	}
}

// TestNoticeChanges guards against an estimate that follows a shorter notice only slowly, because each run that is moved
// too late is lost, and against one that a run lost for another reason, or a single long notice, changes.
func TestNoticeChanges(t *testing.T) {
	tests := []struct {
		name   string
		losses []time.Duration
		want   time.Duration
	}{
		{"too few", []time.Duration{time.Second, time.Second, time.Second}, 0},
		{"one early loss", []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, time.Millisecond, 2 * time.Second}, 2 * time.Second},
		{"one long notice", []time.Duration{time.Second, time.Second, time.Second, time.Second, 9 * time.Second}, time.Second},
		{"shorter", []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second,
			time.Second, time.Second}, time.Second},
	}
	for _, test := range tests {
		var r rates
		for _, loss := range test.losses {
			r.addLoss(loss)
		}
		if r.notice != test.want {
			t.Errorf("%s: notice %v, want %v", test.name, r.notice, test.want)
		}
	}
}

// TestOutputWeight guards against an order of moves that assumes the speed of one deployment's engines.
func TestOutputWeight(t *testing.T) {
	tests := []struct {
		gap        time.Duration
		perSecond  float64
		perEngine  float64
		wantWeight float64
	}{
		{10 * time.Millisecond, 7_000, 7, 10},
		{30 * time.Millisecond, 7_000, 7, 30},
		{10 * time.Millisecond, 700, 7, minOutputWeight},
		{10 * time.Millisecond, 7_000_000, 1, maxOutputWeight},
	}
	for _, test := range tests {
		s := newTestScheduler(testPolicy(), testEngines(1, 1000, 4)...)
		s.medians.gap, s.runningPerEngine = test.gap, test.perEngine
		s.rates.prefillTokens, s.rates.prefillTime = test.perSecond*10, 10*time.Second
		if got := s.outputWeight(); math.Abs(got-test.wantWeight) > 1e-9 {
			t.Errorf("%+v: weight %v", test, got)
		}
	}
}

// TestPrefillLoadOff guards against a backlog that still counts with the mechanism switched off.
func TestPrefillLoadOff(t *testing.T) {
	policy := testPolicy()
	policy.Disabled = 1 << uint(pond.MechanismPrefillLoad)
	s := newTestScheduler(policy, testEngines(1, 60_000, 24)...)
	s.Register(Request{ID: "r", Account: "x", PromptTokens: 6000, MaxTokens: 100, Deadline: epoch.Add(time.Hour)}, s.engines.Key(0), 0, epoch)
	s.Tick(epoch)
	if load := s.engines.At(0).prefillLoad(); load != 0 {
		t.Errorf("load %v for prompts in prefill, want none", load)
	}
}

// TestUrgency replays the load of a burst on one engine. It guards against short requests that wait behind the prompts of
// long ones, and against preempting runs for short requests that need not wait.
func TestUrgency(t *testing.T) {
	tests := []struct {
		name     string
		disabled pond.MechanismSet
		backlog  int // prompts of 3,000 tokens that the engine has to read
		class    pond.Class
		want     bool
	}{
		{"idle engine", 0, 0, pond.ClassShort, false},
		{"one prompt ahead", 0, 1, pond.ClassShort, false},
		{"a second of prompts", 0, 4, pond.ClassShort, true},
		{"long request", 0, 4, pond.ClassLong, false},
		{"switched off", 1 << uint(pond.MechanismUrgency), 4, pond.ClassShort, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := testPolicy()
			policy.Disabled = test.disabled
			s := newTestScheduler(policy, testEngines(1, 60_000, 24)...)
			for i := range test.backlog {
				s.Register(Request{
					ID: fmt.Sprint("long", i), Account: "x", PromptTokens: 3000, MaxTokens: 1000, Deadline: epoch.Add(time.Hour),
				}, s.engines.Key(0), 0, epoch)
			}
			d := s.Offer(Request{
				ID: "r", Account: "x", Class: test.class, PromptTokens: 2000, MaxTokens: 1000, Deadline: epoch.Add(time.Hour),
			}, epoch)
			if d.Verdict != VerdictServe || d.Urgent != test.want {
				t.Errorf("decision %+v, want one to serve, urgent %t", d, test.want)
			}
		})
	}
}
