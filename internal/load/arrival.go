package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// A burst multiplies the rate by burstFactor for a time between minBurstLength and maxBurstLength.
const (
	burstFactor    = 3.0
	minBurstLength = time.Second
	maxBurstLength = 3 * time.Second
)

// A long generation that arrives shortly before the common deadline of its profile has at least 1/lateDeadlineDivisor
// of its usual time limit.
const lateDeadlineDivisor = 3

// promptBytesPerToken is the ratio by which engines count prompt tokens.
const promptBytesPerToken = 4

// Arrival is one request of a run.
type Arrival struct {
	// Number is unique within a run, counted from 0.
	Number int `json:"number"`
	// At is the intended send time, counted from the beginning of the run.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Account is the index of the client account.
	Account int `json:"account"`
	// Length is the number of output tokens of a generation. Only the engine and the token checker use it.
	Length int `json:"length,omitempty"`
	// Class is the length class that the caller declares.
	Class pond.Class `json:"class"`
	// Due is the deadline for the end of the answer, counted from the beginning of the run.
	Due time.Duration `json:"due"`

	prompt string
}

// Prompt returns the prompt of a generation.
func (a Arrival) Prompt() string { return a.prompt }

type burst struct{ from, to time.Duration }

// Arrivals draws the requests of a plan, sorted by intended send time.
func (p Plan) Arrivals() ([]Arrival, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(p.Seed, 0))
	bursts := p.drawBursts(random)
	maxRate := p.Rate * profiles[p.Profile].maxFactor() * burstFactor
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		// Thinning: candidates arrive at maxRate, and each is kept with the probability rate/maxRate of its time.
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= p.Duration {
			return arrivals, nil
		}
		if random.Float64()*maxRate < p.rateAt(at, bursts) {
			arrivals = append(arrivals, p.drawArrival(random, len(arrivals), at))
		}
	}
}

func (p Plan) drawBursts(random *rand.Rand) []burst {
	bursts := make([]burst, 0, p.Bursts)
	for range p.Bursts {
		from := time.Duration(random.Float64() * float64(p.Duration))
		length := minBurstLength + time.Duration(random.Float64()*float64(maxBurstLength-minBurstLength))
		bursts = append(bursts, burst{from: from, to: from + length})
	}
	slices.SortFunc(bursts, func(x, y burst) int { return cmp.Compare(x.from, y.from) })
	return bursts
}

func (p Plan) rateAt(at time.Duration, bursts []burst) float64 {
	rate := p.Rate * profiles[p.Profile].factor(float64(at)/float64(p.Duration))
	for _, b := range bursts {
		if at >= b.from && at < b.to {
			return rate * burstFactor
		}
	}
	return rate
}

func (p Plan) drawArrival(random *rand.Rand, number int, at time.Duration) Arrival {
	spec := pickKind(random, mixes[p.Mix].kinds)
	a := Arrival{Number: number, At: at, Kind: spec.kind, Account: p.drawAccount(random), Due: at + spec.timeLimit}
	if due := p.offsetAt(profiles[p.Profile].longDue); spec.kind == KindLong && at < due {
		a.Due = max(due, at+spec.timeLimit/lateDeadlineDivisor)
	}
	if spec.medianTokens == 0 {
		return a
	}
	length := float64(spec.medianTokens) * math.Exp(spec.sigma*random.NormFloat64())
	a.Length = min(max(1, int(length)), spec.maxTokens)
	if p.MaxTokens > 0 {
		a.Length = min(a.Length, p.MaxTokens)
	}
	if random.Float64() < spec.declaredShare {
		a.Class = classOf(spec.kind)
	}
	a.prompt = p.promptFor(spec, a)
	return a
}

func pickKind(random *rand.Rand, kinds []kindSpec) kindSpec {
	x := random.Float64()
	for _, spec := range kinds {
		if x -= spec.share; x < 0 {
			return spec
		}
	}
	return kinds[len(kinds)-1]
}

// A few large accounts send most requests: each of the first largeAccounts accounts sends largeAccountShare of the
// requests that the accounts before it do not send.
const (
	largeAccounts     = 3
	largeAccountShare = 0.4
)

func (p Plan) drawAccount(random *rand.Rand) int {
	for i := range min(largeAccounts, p.Accounts-1) {
		if random.Float64() < largeAccountShare {
			return i
		}
	}
	return random.IntN(p.Accounts)
}

func classOf(kind Kind) pond.Class {
	if kind == KindShort {
		return pond.ClassShort
	}
	return pond.ClassLong
}

// promptFor returns a prompt whose prefix is common to the account's requests of one kind, so that prefix caches get
// hits, and whose suffix makes it unique and tells the stand-in engine the output length.
func (p Plan) promptFor(spec kindSpec, a Arrival) string {
	prefix := padToTokens(fmt.Sprintf("%s %s of account %d. ", p.Mix, spec.kind, a.Account), spec.prefixTokens)
	suffix := fmt.Sprintf("request %d-%d length=%d ", p.Seed, a.Number, a.Length)
	return prefix + padToTokens(suffix, spec.suffixTokens)
}

// padToTokens appends filler words until the text has the given number of tokens.
func padToTokens(text string, tokens int) string {
	missing := tokens*promptBytesPerToken - len(text)
	if missing <= 0 {
		return text
	}
	return text + strings.Repeat("dear ", missing/5+1)[:missing]
}
