package drain

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// sentRequest is a request in progress in virtual time.
type sentRequest struct {
	endsAt time.Time
	end    func(at time.Time)
}

// sentRequests is a heap, the one that ends first on top.
type sentRequests []sentRequest

func (s sentRequests) Len() int           { return len(s) }
func (s sentRequests) Less(i, j int) bool { return s[i].endsAt.Before(s[j].endsAt) }
func (s sentRequests) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sentRequests) Push(x any)        { *s = append(*s, x.(sentRequest)) }
func (s *sentRequests) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// shutdownPlay plays callers that send requests at a steady rate before and during a shutdown, in virtual time.
type shutdownPlay struct {
	interval time.Duration // between two requests
	took     func(sinceSignal time.Duration, number int) time.Duration
}

// shutdownResult counts the requests that arrive between the signal and the exit.
type shutdownResult struct {
	sent, refused, failed int
	lastSent, lastFailed  time.Duration // since the signal
}

// run returns what becomes of the requests. Those without an answer at the end of the shutdown fail with it; those whose timeout passes before do not
// count as failed.
func (p shutdownPlay) run() shutdownResult {
	const (
		timeout = 5 * time.Second
		before  = time.Minute
		grace   = 7300 * time.Millisecond
	)
	signal := time.Unix(1000, 0)
	plan, history, open := NewPlan(signal.Add(grace)), NewHistory(), new(sentRequests)
	var result shutdownResult
	number := 0
	for since := -before; since < grace; since += p.interval {
		now := signal.Add(since)
		for open.Len() > 0 && !(*open)[0].endsAt.After(now) {
			r := heap.Pop(open).(sentRequest)
			r.end(r.endsAt)
		}
		if since >= 0 && now.After(plan.LatestStart(history.Call("a", now))) {
			result.refused++
			continue
		}
		number++
		send, took := history.BeginCall("a", now), p.took(since, number)
		r := sentRequest{now.Add(took), send.Answered}
		if took > timeout {
			r = sentRequest{now.Add(timeout), send.GivenUp}
		}
		heap.Push(open, r)
		if since < 0 {
			continue
		}
		result.sent++
		result.lastSent = since
		if by := plan.AnswerBy(); r.endsAt.After(by) && now.Add(timeout).After(by) {
			result.failed++
			result.lastFailed = since
		}
	}
	return result
}

// TestServiceTurnsSlow guards against an instance that stops and goes on to send requests to a service that has become slow or silent, whose
// callers then get a failure of unknown outcome although a refusal would have been true.
func TestServiceTurnsSlow(t *testing.T) {
	const (
		usual = 60 * time.Millisecond
		// noticedWithin is the time after which the expectation has followed.
		noticedWithin = 3 * time.Second
		never         = time.Hour
	)
	for _, slow := range []time.Duration{450 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second, never} {
		for _, slowFrom := range []time.Duration{-10 * time.Second, -2 * time.Second, 0, 2 * time.Second, 4 * time.Second} {
			for _, interval := range []time.Duration{500 * time.Millisecond, 50 * time.Millisecond, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%v from %v every %v", slow, slowFrom, interval), func(t *testing.T) {
					result := shutdownPlay{interval: interval, took: func(since time.Duration, _ int) time.Duration {
						if since >= slowFrom {
							return slow
						}
						return usual
					}}.run()
					t.Logf("%d sent, %d refused, %d failed", result.sent, result.refused, result.failed)
					if result.failed > 0 && result.lastFailed > slowFrom+noticedWithin {
						t.Errorf("%d requests failed, the last of them sent %v after the service became slow", result.failed, result.lastFailed-slowFrom)
					}
				})
			}
		}
	}
}

// TestServiceVaries guards against refusals for the sake of a few slow requests, which are usual.
func TestServiceVaries(t *testing.T) {
	const usual, slow, slowEvery = 60 * time.Millisecond, 450 * time.Millisecond, 100
	grace := 7300 * time.Millisecond
	result := shutdownPlay{interval: 5 * time.Millisecond, took: func(_ time.Duration, number int) time.Duration {
		if number%slowEvery == 0 {
			return slow
		}
		return usual
	}}.run()
	if sentUntil := grace - answerReserve - maxSilence - openFactor*slow; result.lastSent < sentUntil || result.failed > 0 {
		t.Errorf("requests are sent until %v after the signal, want %v at least; %d failed", result.lastSent, sentUntil, result.failed)
	}
}
