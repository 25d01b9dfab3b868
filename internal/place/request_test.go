package place

import (
	"testing"
	"time"
)

// TestGapOfMultiTokenEvents guards against engines that look faster than they are because the first event holds several
// tokens. In a run of the users' benchmark, requests of two events of four tokens made engines with 7.2 ms per token
// look like 4.1 ms, so that no slow engine was detected.
func TestGapOfMultiTokenEvents(t *testing.T) {
	const perToken = 7 * time.Millisecond
	began := time.Unix(1000, 0)
	tests := []struct {
		name    string
		events  []int // tokens in each event
		reports []int // event counts after which progress is reported
		want    []time.Duration
	}{
		{"two events", []int{4, 4}, []int{2}, []time.Duration{perToken}},
		{"one event", []int{4}, []int{1}, []time.Duration{0}},
		{"single tokens", []int{1, 1, 1, 1}, []int{4}, []time.Duration{perToken}},
		{"later reports", []int{4, 4, 4, 4}, []int{1, 3, 4}, []time.Duration{0, perToken, perToken}},
	}
	for _, test := range tests {
		var o output
		tokens, now, next := 0, began, 0
		for i, n := range test.events {
			tokens += n
			now = now.Add(time.Duration(n) * perToken)
			o.update(tokens, now)
			if next < len(test.reports) && test.reports[next] == i+1 {
				progress, ok := o.unreported(began)
				if !ok || progress.Gap != test.want[next] || progress.Tokens != tokens {
					t.Errorf("%s: report %d is %+v, %v; want a gap of %v", test.name, next, progress, ok, test.want[next])
				}
				next++
			}
		}
		if _, ok := o.unreported(began); ok {
			t.Errorf("%s: progress reported without new tokens", test.name)
		}
	}
}
