package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 35}) }

// TestLedgerRate guards against permits beyond the limit over any time, also after a pause in the questions or a clock
// that steps back.
func TestLedgerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 200).Draw(t, "perSecond")
		steps := rapid.SliceOfN(rapid.IntRange(-50, 400), 1, 300).Draw(t, "stepMillis")
		ledger, now, latest, granted := NewLedger(), start, start, 0
		for _, step := range steps {
			now = now.Add(time.Duration(step) * time.Millisecond)
			if now.After(latest) {
				latest = now
			}
			if ledger.Take("b", "i", perSecond, now).Granted() {
				granted++
			}
		}
		rate := max(perSecond, probePerSecond)
		allowed := rate*latest.Sub(start).Seconds() + 1 + rate*burstTime.Seconds()
		if float64(granted) > allowed+1e-6 {
			t.Errorf("%d permits in %v at %v/s", granted, latest.Sub(start), perSecond)
		}
	})
}

// TestLedgerReturns guards against callers that are all told to return at the same time, and against instances whose
// questions grow with their number.
func TestLedgerReturns(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		askers    int
		wantAsk   time.Duration
	}{
		{"few instances", 4, 2, 125 * time.Millisecond},
		{"many instances", 4, 80, maxAskDelay},
		{"a high limit", 1000, 9, minAskDelay},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			former, answer := -time.Second, Answer{}
			for asker := range test.askers {
				answer = ledger.Take("b", string(rune('a'+asker)), test.perSecond, start)
				gap := answer.retryAfter - former
				former = answer.retryAfter
				if answer.Granted() || gap < durationOf(1/test.perSecond)-time.Microsecond && answer.retryAfter < maxReturnDelay {
					t.Errorf("caller %d: %+v, %v after the one before", asker, answer, gap)
				}
			}
			if answer.askAfter != test.wantAsk {
				t.Errorf("the last instance may ask after %v, want %v", answer.askAfter, test.wantAsk)
			}
		})
	}
}
