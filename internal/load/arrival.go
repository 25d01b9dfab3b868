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

// Bursts multiply the rate for a time between these bounds.
const (
	burstFactor   = 3.0
	burstShortest = time.Second
	burstLongest  = 3 * time.Second
)

// A letter that comes shortly before the common deadline of letters is allowed 1/lateLetterShare of its usual time.
const lateLetterShare = 3

// promptBytesPerToken is how engines count prompt tokens.
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
	// Length is the number of output tokens of a generation. Only the engine and the checker know it.
	Length int `json:"length,omitempty"`
	// Class is what the caller states about the length.
	Class pond.Class `json:"class"`
	// Due is the time by which the whole answer counts as on time, counted from the beginning of the run.
	Due time.Duration `json:"due"`

	prompt string
}

// Prompt returns the prompt of a generation.
func (a Arrival) Prompt() string { return a.prompt }

type burst struct{ from, to time.Duration }

// Arrivals draws the requests of a plan in the order of their times.
func (p Plan) Arrivals() ([]Arrival, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(p.Seed, 0))
	bursts := p.bursts(random)
	largest := p.Rate * profiles[p.Profile].maxFactor() * burstFactor
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		// Candidates at the largest rate are thinned to the rate at their time.
		at += time.Duration(random.ExpFloat64() / largest * float64(time.Second))
		if at >= p.Duration {
			return arrivals, nil
		}
		if random.Float64()*largest < p.rate(at, bursts) {
			arrivals = append(arrivals, p.arrival(random, len(arrivals), at))
		}
	}
}

func (p Plan) bursts(random *rand.Rand) []burst {
	bursts := make([]burst, 0, p.Bursts)
	for range p.Bursts {
		from := time.Duration(random.Float64() * float64(p.Duration))
		length := burstShortest + time.Duration(random.Float64()*float64(burstLongest-burstShortest))
		bursts = append(bursts, burst{from: from, to: from + length})
	}
	slices.SortFunc(bursts, func(x, y burst) int { return cmp.Compare(x.from, y.from) })
	return bursts
}

func (p Plan) rate(at time.Duration, bursts []burst) float64 {
	rate := p.Rate * profiles[p.Profile].factor(float64(at)/float64(p.Duration))
	for _, b := range bursts {
		if at >= b.from && at < b.to {
			return rate * burstFactor
		}
	}
	return rate
}

func (p Plan) arrival(random *rand.Rand, number int, at time.Duration) Arrival {
	w := pick(random, mixes[p.Mix].works)
	a := Arrival{Number: number, At: at, Kind: w.kind, Account: p.account(random), Due: at + w.allowed}
	if due := p.share(profiles[p.Profile].lettersDue); w.kind == KindLong && at < due {
		a.Due = max(due, at+w.allowed/lateLetterShare)
	}
	if w.medianTokens == 0 {
		return a
	}
	length := float64(w.medianTokens) * math.Exp(w.sigma*random.NormFloat64())
	a.Length = min(max(1, int(length)), w.maxTokens)
	if p.MaxTokens > 0 {
		a.Length = min(a.Length, p.MaxTokens)
	}
	if random.Float64() < w.declared {
		a.Class = classOf(w.kind)
	}
	a.prompt = p.prompt(w, a)
	return a
}

func pick(random *rand.Rand, works []work) work {
	x := random.Float64()
	for _, w := range works {
		if x -= w.share; x < 0 {
			return w
		}
	}
	return works[len(works)-1]
}

// A few large accounts send most requests: each of the first ones takes this share of what the ones before it left.
const (
	largeAccounts     = 3
	largeAccountShare = 0.4
)

func (p Plan) account(random *rand.Rand) int {
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

// prompt returns a prompt whose first part is common to the account's requests of one kind, so that prefix caches have
// something to hold, and whose end makes it unique and tells the stand-in the length.
func (p Plan) prompt(w work, a Arrival) string {
	template := fill(fmt.Sprintf("%s %s of account %d. ", p.Mix, w.kind, a.Account), w.templateTokens)
	tail := fmt.Sprintf("request %d-%d length=%d ", p.Seed, a.Number, a.Length)
	return template + fill(tail, w.uniqueTokens)
}

// fill appends words until a text has the given number of tokens.
func fill(text string, tokens int) string {
	missing := tokens*promptBytesPerToken - len(text)
	if missing <= 0 {
		return text
	}
	return text + strings.Repeat("dear ", missing/5+1)[:missing]
}
