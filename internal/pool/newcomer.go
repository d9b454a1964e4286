package pool

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// pickNewcomer returns a backend that joined while the pool had work and has
// had no attempt yet, or nil. Without it, a choice by risk and utilization
// alone would leave added backends idle until the known ones are full.
func (c *Core) pickNewcomer(now time.Time, v *view, demand *mustardramp.Demand) *member {
	if !c.singleTier {
		return nil
	}
	at := now.UnixNano()
	for _, m := range v.newcomers {
		if m.lastAttempt.Load() == 0 && m.hasRoom(at) && !slices.Contains(demand.Tried, m.backend.ID) {
			return m
		}
	}
	return nil
}

// findNewcomers lists the usable backends without an attempt that became known
// after the pool had its first work. The backends that a pool starts with are no
// newcomers, because none of them has a history.
func (v *view) findNewcomers(old *view, hadWork bool) {
	known := map[*load]bool{}
	old.each(func(m *member) { known[m.load] = true })
	newcomers := map[*load]bool{}
	for _, m := range old.newcomers {
		newcomers[m.load] = true
	}
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.lastAttempt.Load() == 0 && (newcomers[m.load] || hadWork && !known[m.load]) {
				v.newcomers = append(v.newcomers, m)
			}
		}
	}
}
