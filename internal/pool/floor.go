package pool

import (
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Ejection keeps a floor of backends in service, but a backend that gets no
// attempts is out of service as if it were ejected. The risk model may be wrong
// for a service, so these times bound how long a backend stays without an
// attempt.
const (
	// maxIdleTime is the time within which a usable backend gets its next
	// attempt. It is half of the 2 s window over which the floor is measured.
	maxIdleTime = time.Second
	// maxRiskyIdleTime is the same time for a backend that was certain to be
	// unhealthy when its last attempt failed: the 2 s after which it counts as
	// healthy again, plus the 2 s window that follows.
	maxRiskyIdleTime = 4 * time.Second
)

// pickOverdue returns the backend with room whose next attempt is most overdue,
// or nil. Without it, backends that are believed healthy would take all the
// work while they have room, and a backend that has recovered would never show
// it. A high network cost makes an attempt less urgent.
func (c *Core) pickOverdue(now time.Time, v *view, demand *mustardramp.Demand) *member {
	if !c.singleTier {
		return nil
	}
	choice := Choice{place: demand.Place, size: demand.Size}
	at := now.UnixNano()
	var found *member
	most := 1.0
	if c.isCanary(demand) {
		most = canaryProbeRatio
	}
	for _, tier := range v.tiers {
		choice.members = tier
		for i, m := range tier {
			overdue := m.overdueRatio(at)
			if overdue < most || !m.hasRoom(at) || m.isHung(at) || slices.Contains(demand.Tried, m.backend.ID) {
				continue
			}
			if overdue /= 1 + choice.NetworkCost(i); overdue >= most {
				found, most = m, overdue
			}
		}
	}
	return found
}

// overdueRatio returns the time without an attempt relative to the time within
// which the member gets the next one. That time is longer the more likely the
// member was unhealthy when its last attempt failed.
func (m *member) overdueRatio(at int64) float64 {
	risk := math.Float64frombits(m.lastFailureRisk.Load())
	span := float64(maxIdleTime) + risk*float64(maxRiskyIdleTime-maxIdleTime)
	return float64(at-max(m.lastAttempt.Load(), m.knownSince)) / span
}
