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
	// KindLong is a generation of hundreds of tokens, such as a letter.
	KindLong
	// KindCharge is a call that may not run twice: a confirmation or a charge.
	KindCharge
	// KindLookup is a call that may be repeated: a schedule or an order status.
	KindLookup
)

// kindSpec describes the requests of one kind in a mix.
type kindSpec struct {
	kind Kind
	// share is the share of all arrivals.
	share float64
	// Output lengths follow a log-normal distribution with this median and sigma, capped at maxTokens.
	medianTokens int
	sigma        float64
	maxTokens    int
	// prefixTokens is the length of the part of a prompt that the account's requests of the kind share, suffixTokens
	// that of the unique rest.
	prefixTokens int
	suffixTokens int
	// timeLimit is the time from the intended send time to the deadline of the answer.
	timeLimit time.Duration
	// declaredShare is the share of requests whose caller declares the length class.
	declaredShare float64
}

// mix is the distribution of request kinds of one deployment.
type mix struct {
	kinds []kindSpec
}

// mixes holds the request mixes of both deployments. The share of short generations, the length tail of the long ones
// and the share of calls that may not be repeated follow the deployments' description in docs/design.md.
var mixes = map[string]mix{
	"dosis": {kinds: []kindSpec{
		{kind: KindShort, share: 0.60, medianTokens: 24, sigma: 0.5, maxTokens: 120, prefixTokens: 96, suffixTokens: 24,
			timeLimit: 4 * time.Second, declaredShare: 0.7},
		{kind: KindLong, share: 0.15, medianTokens: 350, sigma: 0.9, maxTokens: 6_000, prefixTokens: 320,
			suffixTokens: 120, timeLimit: 60 * time.Second, declaredShare: 0.7},
		{kind: KindCharge, share: 0.10, timeLimit: 10 * time.Second},
		{kind: KindLookup, share: 0.15, timeLimit: 5 * time.Second},
	}},
	"dentinho": {kinds: []kindSpec{
		{kind: KindShort, share: 0.50, medianTokens: 14, sigma: 0.5, maxTokens: 60, prefixTokens: 64, suffixTokens: 16,
			timeLimit: 4 * time.Second, declaredShare: 0.7},
		{kind: KindLong, share: 0.20, medianTokens: 600, sigma: 1.0, maxTokens: 12_000, prefixTokens: 400,
			suffixTokens: 200, timeLimit: 90 * time.Second, declaredShare: 0.7},
		{kind: KindCharge, share: 0.12, timeLimit: 10 * time.Second},
		{kind: KindLookup, share: 0.18, timeLimit: 5 * time.Second},
	}},
}

// ratePoint is a multiplier of the rate at a fraction of the run's duration.
type ratePoint struct{ at, factor float64 }

// profile is the arrival rate over a run.
type profile struct {
	// points are interpolated linearly.
	points []ratePoint
	// peakFrom and peakTo bound the peak as fractions of the duration.
	peakFrom, peakTo float64
	// longDue is the common deadline of long generations that arrive before it, as a fraction of the duration; zero
	// means that there is none.
	longDue float64
}

// profiles holds the rate profiles by name: a constant rate, the day of a merchant deadline, and the rush at bedtime,
// in which the rate grows more than sixfold within 3 % of the run.
var profiles = map[string]profile{
	"steady": {points: []ratePoint{{0, 1}, {1, 1}}, peakFrom: 0, peakTo: 1},
	"deadlineDay": {
		points:   []ratePoint{{0, 0.4}, {0.3, 0.6}, {0.55, 1}, {0.6, 2.2}, {0.8, 2.5}, {0.82, 0.5}, {1, 0.4}},
		peakFrom: 0.58, peakTo: 0.8, longDue: 0.9,
	},
	"bedtimeRush": {
		points:   []ratePoint{{0, 0.4}, {0.4, 0.4}, {0.43, 2.6}, {0.7, 2.6}, {0.75, 0.6}, {1, 0.4}},
		peakFrom: 0.42, peakTo: 0.72,
	},
}

// factor returns the multiplier of the rate at a fraction of the duration.
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
	maximum := 0.0
	for _, point := range p.points {
		maximum = max(maximum, point.factor)
	}
	return maximum
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
	// Rate is the number of requests per second where the profile's factor is 1.
	Rate float64 `json:"rate"`
	// Bursts is the number of short bursts in which the rate is multiplied.
	Bursts int `json:"bursts"`
	// Accounts is the number of client accounts; a few of them send most requests.
	Accounts int `json:"accounts"`
	// MaxTokens caps the output length of every generation; zero means the caps of the mix. It must be less than the
	// engines' memory minus the prompt, because an engine ends an output that fills its whole memory.
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

// Peak returns the bounds of the peak, counted from the beginning of the run.
func (p Plan) Peak() (from, to time.Duration) {
	profile := profiles[p.Profile]
	return p.offsetAt(profile.peakFrom), p.offsetAt(profile.peakTo)
}

// offsetAt returns the time from the beginning of the run at the fraction f of its duration.
func (p Plan) offsetAt(f float64) time.Duration { return time.Duration(f * float64(p.Duration)) }
