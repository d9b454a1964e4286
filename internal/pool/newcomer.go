package pool

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// newcomer returns a backend that joined a service at work and has had no
// attempt yet, or nil. It answers the load in which backends are added while the
// known ones have room: a choice by risk and fill alone would leave the new
// ones idle, cold and unknown until the others are full.
func (c *Core) newcomer(now time.Time, v *view, demand *mustardramp.Demand) *member {
	if !c.flat {
		return nil
	}
	at := now.UnixNano()
	for _, m := range v.newcomers {
		if m.used.Load() == 0 && m.room(at) && !slices.Contains(demand.Tried, m.backend.ID) {
			return m
		}
	}
	return nil
}

// findNewcomers lists the usable backends without an attempt that the pool did
// not know while it already had work. Those of a pool that starts are no
// newcomers: nothing is known of any of them.
func (v *view) findNewcomers(old *view, atWork bool) {
	known := map[*load]bool{}
	old.each(func(m *member) { known[m.load] = true })
	waiting := map[*load]bool{}
	for _, m := range old.newcomers {
		waiting[m.load] = true
	}
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.used.Load() == 0 && (waiting[m.load] || atWork && !known[m.load]) {
				v.newcomers = append(v.newcomers, m)
			}
		}
	}
}
