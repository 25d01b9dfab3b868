package spill

import (
	"sync"
	"time"
)

const (
	// MaxLinkRate bounds the bytes per second that requests sent to other regions may cause, whatever the settings say.
	// The capacity of the link between regions is not published, and it carries all other traffic too. 2 MB/s are 16
	// Mbit/s, or 20 long answers of 90 KB each second.
	MaxLinkRate = 2e6

	// budgetBurst is the time for which an unused rate is saved.
	budgetBurst = 2 * time.Second

	// A round trip above congestedRatio times the least one plus congestedDelay counts as congestion of the link. The
	// delay covers a receiver that is busy for a moment.
	congestedRatio = 2
	congestedDelay = 50 * time.Millisecond

	// halvingInterval is the least time between two halvings of the rate, so that a single burst of late answers counts
	// once, and minShare the share of the rate below which it does not fall.
	halvingInterval = 500 * time.Millisecond
	minShare        = 1.0 / 16

	// calmFactor raises the share after each answer that was not late. At four answers a second, a halved rate is restored
	// within two seconds.
	calmFactor = 1.1

	// leastTripWindow is the time after which the least round trip is measured anew, because routes change.
	leastTripWindow = 30 * time.Second

	// A request sends its prompt over the link between regions and receives its answer. A prompt token takes about one
	// byte, and an event of four output tokens 400 bytes.
	promptTokenBytes = 5
	outputTokenBytes = 100
)

// Budget limits the bytes that requests sent to other regions cause on the link between regions. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	rate      float64 // bytes per second at a share of 1
	share     float64
	left      float64
	updatedAt time.Time
	halvedAt  time.Time
	spent     int64
	trips     map[string]roundTrips // by region
}

// roundTrips holds the least round trip to a region in this window, and in the window before; zero if there is none.
type roundTrips struct {
	least, formerLeast time.Duration
	windowEnds         time.Time
}

// NewBudget returns a budget of nothing. SetRate gives it a rate.
func NewBudget() *Budget { return &Budget{share: 1, trips: make(map[string]roundTrips)} }

// SetRate sets the bytes per second that the settings allow. A budget that gets its first rate is full.
func (b *Budget) SetRate(bytesPerSecond float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	first := b.rate == 0
	b.rate = min(max(bytesPerSecond, 0), MaxLinkRate)
	if first {
		b.left = b.rate * budgetBurst.Seconds()
	}
}

// Allow charges bytes and reports whether there were enough left. If not, it charges nothing.
func (b *Budget) Allow(bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.left < float64(bytes) {
		return false
	}
	b.left -= float64(bytes)
	b.spent += int64(bytes)
	return true
}

// Affords reports whether Allow would allow bytes, and charges nothing.
func (b *Budget) Affords(bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leftAt(now) >= float64(bytes)
}

// Observe records the round trip of an exchange with another region. Regions may be at unequal distances, so it is compared
// with the least one to the same region.
func (b *Budget) Observe(region string, trip time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	trips := b.trips[region]
	if now.After(trips.windowEnds) {
		trips = roundTrips{formerLeast: trips.least, windowEnds: now.Add(leastTripWindow)}
	}
	if trips.least == 0 || trip < trips.least {
		trips.least = trip
	}
	b.trips[region] = trips
	if trip > congestedRatio*trips.leastOfBoth()+congestedDelay {
		b.halve(now)
		return
	}
	b.share = min(b.share*calmFactor, 1)
}

// Lost records an exchange without an answer.
func (b *Budget) Lost(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.halve(now)
}

// RoundTrip returns the least measured round trip to a region; zero if there is none.
func (b *Budget) RoundTrip(region string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.trips[region].leastOfBoth()
}

// Spent returns the bytes charged so far.
func (b *Budget) Spent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Rate returns the bytes per second that may be spent now.
func (b *Budget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate * b.share
}

func (t roundTrips) leastOfBoth() time.Duration {
	if t.formerLeast > 0 && (t.least == 0 || t.formerLeast < t.least) {
		return t.formerLeast
	}
	return t.least
}

func (b *Budget) halve(now time.Time) {
	if now.Sub(b.halvedAt) < halvingInterval {
		return
	}
	b.halvedAt = now
	b.share = max(b.share/2, minShare)
	b.left = min(b.left, b.rate*b.share*budgetBurst.Seconds())
}

func (b *Budget) refill(now time.Time) {
	b.left = b.leftAt(now)
	b.updatedAt = now
}

// leftAt returns the bytes that may be sent now.
func (b *Budget) leftAt(now time.Time) float64 {
	elapsed := now.Sub(b.updatedAt)
	if b.updatedAt.IsZero() || elapsed <= 0 {
		return b.left
	}
	rate := b.rate * b.share
	return min(b.left+rate*elapsed.Seconds(), rate*budgetBurst.Seconds())
}

// linkBytes returns the bytes that a request is expected to cause on the link between regions.
func linkBytes(promptTokens, outputTokens int) int {
	return promptTokens*promptTokenBytes + outputTokens*outputTokenBytes
}
