package load

import (
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=title-lower -text -output=kind_enumer.go

// Kind is a kind of request.
type Kind int

// Kinds of requests.
const (
	// KindShort is a generation of a few tokens: a balance answer or a greeting.
	KindShort Kind = iota
	// KindLong is a letter.
	KindLong
	// KindCharge is a call that may not run twice: a confirmation or a charge.
	KindCharge
	// KindLookup is a call that may be repeated: a schedule or an order status.
	KindLookup
)

// work describes the requests of one kind in a mix.
type work struct {
	kind Kind
	// share of all arrivals.
	share float64
	// Output lengths follow a log-normal distribution with this median and spread, cut at maxTokens.
	medianTokens int
	sigma        float64
	maxTokens    int
	// templateTokens of a prompt are common to all requests of the account; uniqueTokens are not.
	templateTokens int
	uniqueTokens   int
	// allowed is the time from the intended send time to the end of the whole answer.
	allowed time.Duration
	// declared is the share of requests whose caller states the class.
	declared float64
}

// mix is the work of one deployment.
type mix struct {
	works []work
}

// mixes holds the work of both deployments. The share of short work, the tail of the letters and the calls that may
// not be repeated follow the deployments' description in docs/design.md.
var mixes = map[string]mix{
	"dosis": {works: []work{
		{kind: KindShort, share: 0.60, medianTokens: 24, sigma: 0.5, maxTokens: 120, templateTokens: 96, uniqueTokens: 24,
			allowed: 4 * time.Second, declared: 0.7},
		{kind: KindLong, share: 0.15, medianTokens: 350, sigma: 0.9, maxTokens: 6_000, templateTokens: 320,
			uniqueTokens: 120, allowed: 60 * time.Second, declared: 0.7},
		{kind: KindCharge, share: 0.10, allowed: 10 * time.Second},
		{kind: KindLookup, share: 0.15, allowed: 5 * time.Second},
	}},
	"dentinho": {works: []work{
		{kind: KindShort, share: 0.50, medianTokens: 14, sigma: 0.5, maxTokens: 60, templateTokens: 64, uniqueTokens: 16,
			allowed: 4 * time.Second, declared: 0.7},
		{kind: KindLong, share: 0.20, medianTokens: 600, sigma: 1.0, maxTokens: 12_000, templateTokens: 400,
			uniqueTokens: 200, allowed: 90 * time.Second, declared: 0.7},
		{kind: KindCharge, share: 0.12, allowed: 10 * time.Second},
		{kind: KindLookup, share: 0.18, allowed: 5 * time.Second},
	}},
}

// point is a multiplier of the rate at a share of the run's duration.
type point struct{ at, factor float64 }

// profile is the demand over a run.
type profile struct {
	// points are joined by straight lines.
	points []point
	// peakFrom and peakTo bound the peak as shares of the duration.
	peakFrom, peakTo float64
	// lettersDue is the share of the duration at which all letters that came before it are due; zero means none.
	lettersDue float64
}

// profiles holds the demand over a run: a steady one, the day of a merchant deadline, and the rush at bedtime, which
// grows more than sixfold within a few hundredths of the run.
var profiles = map[string]profile{
	"steady": {points: []point{{0, 1}, {1, 1}}, peakFrom: 0, peakTo: 1},
	"deadlineDay": {
		points:   []point{{0, 0.4}, {0.3, 0.6}, {0.55, 1}, {0.6, 2.2}, {0.8, 2.5}, {0.82, 0.5}, {1, 0.4}},
		peakFrom: 0.58, peakTo: 0.8, lettersDue: 0.9,
	},
	"bedtimeRush": {
		points:   []point{{0, 0.4}, {0.4, 0.4}, {0.43, 2.6}, {0.7, 2.6}, {0.75, 0.6}, {1, 0.4}},
		peakFrom: 0.42, peakTo: 0.72,
	},
}

// factor returns the multiplier at a share of the duration.
func (p profile) factor(at float64) float64 {
	for i := 1; i < len(p.points); i++ {
		from, to := p.points[i-1], p.points[i]
		if at <= to.at {
			return from.factor + (to.factor-from.factor)*(at-from.at)/(to.at-from.at)
		}
	}
	return p.points[len(p.points)-1].factor
}

func (p profile) maxFactor() float64 {
	largest := 0.0
	for _, point := range p.points {
		largest = max(largest, point.factor)
	}
	return largest
}

// Plan determines the arrivals of a run. Equal plans have equal arrivals.
type Plan struct {
	// Mix is "dosis" or "dentinho".
	Mix string `json:"mix"`
	// Profile is "steady", "deadlineDay" or "bedtimeRush".
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	// Duration is the time from the first possible arrival to the last.
	Duration time.Duration `json:"-"`
	// Rate is the number of requests a second where the profile's factor is 1.
	Rate float64 `json:"rate"`
	// Bursts is the number of short bursts in which the rate is multiplied.
	Bursts int `json:"bursts"`
	// Accounts is the number of client accounts; a few of them send most requests.
	Accounts int `json:"accounts"`
	// MaxTokens bounds all outputs; zero means the bounds of the mix. It must be below the engines' memory less the
	// prompt, because an engine ends an output that fills its whole memory.
	MaxTokens int `json:"maxTokens"`
}

// Check returns an error that names the first invalid field.
func (p Plan) Check() error {
	if _, ok := mixes[p.Mix]; !ok {
		return errors.Errorf("mix is %q, must be dosis or dentinho", p.Mix)
	}
	if _, ok := profiles[p.Profile]; !ok {
		return errors.Errorf("profile is %q, must be steady, deadlineDay or bedtimeRush", p.Profile)
	}
	switch {
	case p.Duration <= 0:
		return errors.Errorf("duration is %v, must be greater than 0", p.Duration)
	case p.Rate <= 0:
		return errors.Errorf("rate is %g, must be greater than 0", p.Rate)
	case p.Bursts < 0:
		return errors.Errorf("bursts is %d, must be at least 0", p.Bursts)
	case p.Accounts < 1:
		return errors.Errorf("accounts is %d, must be at least 1", p.Accounts)
	case p.MaxTokens < 0:
		return errors.Errorf("maxTokens is %d, must be at least 0", p.MaxTokens)
	}
	return nil
}

// Peak returns the interval of the peak, counted from the beginning of the run.
func (p Plan) Peak() (from, to time.Duration) {
	shape := profiles[p.Profile]
	return p.share(shape.peakFrom), p.share(shape.peakTo)
}

func (p Plan) share(x float64) time.Duration { return time.Duration(x * float64(p.Duration)) }
