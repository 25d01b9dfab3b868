package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// Stats are the totals of the scheduler's tables at one moment.
type Stats struct {
	Engines, WaitingShort, WaitingLong, Running int
	// Reserved and Usable are in tokens over all engines.
	Reserved, Usable int
	// Avoided counts the engines that are avoided or probed as stragglers.
	Avoided int
	// Slow counts the engines whose tokens take longer than those of the others by themselves; long requests avoid them.
	Slow int
}

// Stats returns the current totals.
func (s *Scheduler) Stats() Stats {
	stats := Stats{
		Engines:      s.engines.Len(),
		WaitingShort: s.queues[queueShort].waiting,
		WaitingLong:  s.queues[queueLong].waiting,
	}
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		stats.Running += e.running
		stats.Reserved += e.reserved
		stats.Usable += e.usable
		if e.straggler != stragglerNone {
			stats.Avoided++
		}
		if e.slowBaseline {
			stats.Slow++
		}
	}
	return stats
}

// EngineStats describes one engine as the scheduler sees it.
type EngineStats struct {
	Name      string
	Accepting bool
	Avoided   bool
	Slow      bool
	Running   int
	// Reserved, Usable and Reported are in tokens; Reported is the used memory in the engine's last load report.
	Reserved, Usable, Reported int
	// ReportedAt is the time at which the last report was measured; zero for none.
	ReportedAt time.Time
	// Gap is the observed time between two tokens of one generation.
	Gap time.Duration
}

// EngineStats returns the engines in the order of their names.
func (s *Scheduler) EngineStats() []EngineStats {
	stats := make([]EngineStats, 0, s.engines.Len())
	for name, e := range s.engines.All() {
		stats = append(stats, EngineStats{
			Name:       name,
			Accepting:  e.accepting,
			Avoided:    e.straggler != stragglerNone,
			Slow:       e.slowBaseline,
			Running:    e.running,
			Reserved:   e.reserved,
			Usable:     e.usable,
			Reported:   e.reportedUsed,
			ReportedAt: e.reportedAt,
			Gap:        e.latency.gap,
		})
	}
	return stats
}
