package pool

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// floorShare is the share of the usable backends that get work while much of
	// it fails: the floor of both sites, 0.7, and a margin for small services.
	floorShare = 0.75
	// floorSpan is the time within which each of them gets an attempt; the floor
	// is measured over 2 s.
	floorSpan = 1500 * time.Millisecond
	// floorFailing is the share of failed attempts from which the floor is kept
	// up: the tenth from which the floor is measured. Below it the work is better
	// off where it succeeds.
	floorFailing = 0.1
	// failingWeight is the weight of one outcome in the share that fails. While
	// backends fall ill by turns 4 in 100 attempts fail, and a mean over fewer
	// outcomes would often pass floorFailing by chance.
	failingWeight = 1.0 / 48
)

// failing is the moving share of the attempts that fail. Its zero value is none.
type failing struct {
	// bits are those of a float64.
	bits atomic.Uint64
}

func (f *failing) share() float64 {
	return math.Float64frombits(f.bits.Load())
}

// observe takes in an outcome.
func (f *failing) observe(s symptom) {
	sample := 0.0
	switch s {
	case noSign, dialSign:
		// A request whose dial failed goes elsewhere.
		return
	case sign:
		sample = 1
	}
	for {
		old := f.bits.Load()
		share := math.Float64frombits(old)
		if f.bits.CompareAndSwap(old, math.Float64bits(share+failingWeight*(sample-share))) {
			return
		}
	}
}

// neglected returns the backend with room that has had no attempt for longest,
// while much of the work fails and fewer backends than the floor have had one
// lately; or nil. Beliefs may be wrong together: what looked ill may be well.
func (c *Core) neglected(now time.Time, v *view, demand *mustardramp.Demand) *member {
	if !c.flat || c.failing.share() < floorFailing {
		return nil
	}
	at := now.UnixNano()
	usable, used := 0, 0
	var oldest *member
	for _, tier := range v.tiers {
		for _, m := range tier {
			usable++
			last := m.used.Load()
			if at-last < int64(floorSpan) {
				used++
				continue
			}
			free := m.room(at) && !slices.Contains(demand.Tried, m.backend.ID)
			if free && (oldest == nil || last < oldest.used.Load()) {
				oldest = m
			}
		}
	}
	if float64(used) >= floorShare*float64(usable) {
		return nil
	}
	return oldest
}
