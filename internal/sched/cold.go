package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// coldLoadFactor is the load of a cold engine relative to a warm one: it is slow, by how much is not known.
	coldLoadFactor = 2.0

	// warmUpTime is the time over which the load factor of an engine declines once it is warm, so that its share comes back without a step.
	warmUpTime = time.Second

	// coldShare is the share of its limit that placement uses: the home of the limit grants half of it in 1.25 s, and a generation without a permit
	// is placed again.
	coldShare = 0.4

	// coldBurst is the time for which starts that were not used are kept.
	coldBurst = 250 * time.Millisecond
)

// Cold states until when an engine is cold, and the most requests that it may get in any second until then.
type Cold struct {
	Until         time.Time
	MostPerSecond float64
}

// coldness spreads the starts on a cold engine.
type coldness struct {
	until    time.Time
	interval time.Duration // between two starts
	nextAt   time.Time     // when the next start is due at this interval
}

// takes reports whether the engine may get a request now.
func (c *coldness) takes(now time.Time) bool {
	return !now.Before(c.until) || c.nextAt.Sub(now) <= max(coldBurst-c.interval, 0)
}

// take counts a start.
func (c *coldness) take(now time.Time) {
	if c.nextAt.Before(now) {
		c.nextAt = now
	}
	c.nextAt = c.nextAt.Add(c.interval)
}

// loadFactor returns the load relative to that of a warm engine.
func (c *coldness) loadFactor(now time.Time) float64 {
	warmFor := now.Sub(c.until)
	switch {
	case warmFor <= 0:
		return coldLoadFactor
	case warmFor >= warmUpTime:
		return 1
	default:
		return coldLoadFactor - (coldLoadFactor-1)*float64(warmFor)/float64(warmUpTime)
	}
}

// SetCold states that an engine is cold. It ends by itself.
func (s *Scheduler) SetCold(name string, cold Cold, now time.Time) {
	row, ok := s.engines.Get(name)
	if !ok || cold.MostPerSecond <= 0 || !now.Before(cold.Until) {
		return
	}
	row.warming, s.warming = true, true
	row.coldness.until = cold.Until
	row.coldness.interval = time.Duration(float64(time.Second) / (cold.MostPerSecond * coldShare))
}

// warmUp forgets that engines were cold. While any is, requests that wait may fit although nothing has ended.
func (s *Scheduler) warmUp(now time.Time) {
	if !s.warming {
		return
	}
	s.warming, s.dispatchDue = false, true
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if e := s.engines.At(slot); s.engines.Used(slot) && e.warming {
			e.warming = now.Before(e.coldness.until.Add(warmUpTime))
			s.warming = s.warming || e.warming
		}
	}
}
