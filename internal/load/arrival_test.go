package load

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

func testPlan() Plan {
	return Plan{Mix: "dosis", Profile: "deadlineDay", Seed: 7, Duration: time.Minute, Rate: 20, Bursts: 2, Accounts: 10}
}

func mustArrivals(t *testing.T, p Plan) []Arrival {
	t.Helper()
	arrivals, err := p.Arrivals()
	if err != nil {
		t.Fatal(err)
	}
	return arrivals
}

// Guards against a comparison of two systems under different arrivals.
func TestArrivalsDependOnlyOnPlan(t *testing.T) {
	first := mustArrivals(t, testPlan())
	if !reflect.DeepEqual(first, mustArrivals(t, testPlan())) {
		t.Error("equal plans gave different arrivals")
	}
	other := testPlan()
	other.Seed++
	if reflect.DeepEqual(first, mustArrivals(t, other)) {
		t.Error("another seed gave the same arrivals")
	}
	if !slices.IsSortedFunc(first, func(a, b Arrival) int { return int(a.At - b.At) }) {
		t.Error("arrivals are not in the order of their times")
	}
}

// Guards against a mix without the demand that the deployments have: a peak, mostly short generations, a heavy tail of
// output lengths, a few large accounts, and deadlines that can be met.
func TestArrivalsFollowMix(t *testing.T) {
	for _, test := range []struct{ mix, profile string }{{"dosis", "deadlineDay"}, {"dentinho", "bedtimeRush"}} {
		t.Run(test.mix, func(t *testing.T) {
			plan := testPlan()
			plan.Mix, plan.Profile, plan.Duration, plan.Bursts = test.mix, test.profile, 10*time.Minute, 0
			from, to := plan.Peak()
			var longLengths []int
			kinds := make(map[Kind]int)
			accounts := make([]int, plan.Accounts)
			peak := 0
			arrivals := mustArrivals(t, plan)
			for _, a := range arrivals {
				kinds[a.Kind]++
				accounts[a.Account]++
				if a.At >= from && a.At < to {
					peak++
				}
				if a.Kind == KindLong {
					longLengths = append(longLengths, a.Length)
				}
				if a.Due < a.At+4*time.Second {
					t.Errorf("arrival %d at %v is due at %v", a.Number, a.At, a.Due)
				}
			}
			rest := len(arrivals) - peak
			if ratio := float64(peak) / (to - from).Seconds() / (float64(rest) / (plan.Duration - to + from).Seconds()); ratio < 3 {
				t.Errorf("the rate at the peak is %.1f times the rate at other times", ratio)
			}
			if kinds[KindShort] < 2*kinds[KindLong] || kinds[KindCharge] == 0 || kinds[KindLookup] == 0 {
				t.Errorf("kinds: %v", kinds)
			}
			slices.Sort(longLengths)
			median, longest := longLengths[len(longLengths)/2], longLengths[len(longLengths)-1]
			if longest < 8*median {
				t.Errorf("long generations: median %d tokens, longest %d", median, longest)
			}
			if accounts[0] < 3*accounts[plan.Accounts-1] {
				t.Errorf("accounts: %v", accounts)
			}
		})
	}
}

// Guards against bursts that have no effect.
func TestArrivalsBurst(t *testing.T) {
	plan := testPlan()
	plan.Profile = "steady"
	plan.Bursts = 0
	withoutBursts := len(mustArrivals(t, plan))
	plan.Bursts = 5
	if bursts := len(mustArrivals(t, plan)); bursts < withoutBursts+100 {
		t.Errorf("%d arrivals with bursts, %d without", bursts, withoutBursts)
	}
}

// Guards against prompts whose length directive the stand-in engine doesn't find, that are not unique, or that share no
// cacheable prefix.
func TestArrivalPrompts(t *testing.T) {
	seen := make(map[string]bool)
	prefixes := make(map[string]int)
	for _, a := range mustArrivals(t, testPlan()) {
		if a.Length == 0 {
			continue
		}
		if got := fakes.OutputLength(a.Prompt(), "g", 0, 1); got != a.Length {
			t.Fatalf("the engine reads length %d from the prompt of arrival %d, want %d", got, a.Number, a.Length)
		}
		if seen[a.Prompt()] {
			t.Fatalf("the prompt of arrival %d is not unique", a.Number)
		}
		seen[a.Prompt()] = true
		prefixes[a.Prompt()[:256]]++
	}
	if len(prefixes) > 2*testPlan().Accounts {
		t.Errorf("%d different prompt prefixes of one cache block", len(prefixes))
	}
}

// Guards against a run that starts with an invalid plan.
func TestPlanCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Plan)
	}{
		{"mix", func(p *Plan) { p.Mix = "none" }},
		{"profile", func(p *Plan) { p.Profile = "none" }},
		{"duration", func(p *Plan) { p.Duration = 0 }},
		{"rate", func(p *Plan) { p.Rate = 0 }},
		{"bursts", func(p *Plan) { p.Bursts = -1 }},
		{"accounts", func(p *Plan) { p.Accounts = 0 }},
		{"maxTokens", func(p *Plan) { p.MaxTokens = -1 }},
	}
	for _, test := range tests {
		plan := testPlan()
		test.change(&plan)
		if err := plan.Check(); err == nil || !strings.HasPrefix(err.Error(), test.name) {
			t.Errorf("%s: error %v", test.name, err)
		}
	}
}
