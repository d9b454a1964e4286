package pool

import (
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// A backend that gets no attempts is taken out of service as if it were ejected,
// so the floor of ejection holds for it. Beliefs go by figures of illness that may
// not fit a service; these spans bound how long they leave a backend alone.
const (
	// freshSpan is the time within which a usable backend gets its next attempt: half
	// of the 2 s in which the deployments measure the floor.
	freshSpan = time.Second
	// doubtSpan is that for a backend that was sure to be ill when its last attempt
	// failed: the 2 s after which the deployments count it as sound again, and the 2 s
	// that follow.
	doubtSpan = 4 * time.Second
)

// neglected returns the backend with room whose next attempt is most overdue, or
// nil. It answers loads in which backends that are believed well have room for
// all the work: what looked ill may be well, and only an attempt tells. A long
// way makes an attempt less urgent, as it makes it dearer.
func (c *Core) neglected(now time.Time, v *view, demand *mustardramp.Demand) *member {
	if !c.flat {
		return nil
	}
	choice := Choice{place: demand.Place, size: demand.Size}
	at := now.UnixNano()
	var found *member
	most := 1.0
	for _, tier := range v.tiers {
		choice.members = tier
		for i, m := range tier {
			overdue := m.overdue(at)
			if overdue < most || !m.room(at) || m.isHung(at) || slices.Contains(demand.Tried, m.backend.ID) {
				continue
			}
			if overdue /= 1 + choice.Way(i); overdue >= most {
				found, most = m, overdue
			}
		}
	}
	return found
}

// overdue returns the time without an attempt, in parts of that within which the
// member gets the next one: the more likely it was ill when its last attempt
// failed, the longer.
func (m *member) overdue(at int64) float64 {
	doubt := math.Float64frombits(m.doubt.Load())
	span := float64(freshSpan) + doubt*float64(doubtSpan-freshSpan)
	return float64(at-max(m.used.Load(), m.known)) / span
}
