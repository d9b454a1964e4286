package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// distanceCount is the number of distances between places.
const distanceCount = int(mustardramp.AcrossRegions) + 1

// view is an immutable list of a service's backends, nearest first.
type view struct {
	tiers  [distanceCount][]*member
	trials []*member
	// newcomers are members of the tiers that joined while the pool had work
	// and have had no attempt yet.
	newcomers []*member
	// inactive are the known backends that get no work now. Their loads are
	// kept because attempts may still be in flight.
	inactive []*member
	// counts explains why backends of the service get no ordinary work.
	counts standingCounts
}

// standingCounts counts the backends of a service by standing.
type standingCounts struct {
	known, usable, ejected, avoided, leaving, starting int
}

// newView returns a view of the standings that keeps the loads of backends that
// the old view knew.
func newView(now time.Time, old *view, distance func(mustardramp.Place) mustardramp.Distance, serviceLatency *atomic.Int64, standings []mustardramp.Standing) *view {
	loads := old.loads()
	v := &view{}
	for i := range standings {
		s := &standings[i]
		v.counts.add(s)
		trial := s.Trial && s.Backend.State == mustardramp.Serving && !s.Avoided
		m := newMember(now, s, trial, loads[s.Backend.ID])
		m.serviceLatency = serviceLatency
		switch {
		case trial:
			v.trials = append(v.trials, m)
		case s.Usable():
			d := distance(s.Backend.Place)
			v.tiers[d] = append(v.tiers[d], m)
		default:
			v.inactive = append(v.inactive, m)
		}
	}
	for d := range v.tiers {
		slices.SortFunc(v.tiers[d], byID)
	}
	return v
}

func byID(a, b *member) int {
	if a.backend.ID < b.backend.ID {
		return -1
	}
	if a.backend.ID > b.backend.ID {
		return 1
	}
	return 0
}

func newMember(now time.Time, s *mustardramp.Standing, trial bool, existing *load) *member {
	ceiling := max(1, int32(float64(s.Backend.Slots)*s.Weight))
	if trial {
		ceiling = 1
	}
	if existing == nil || existing.incarnation != s.Backend.Incarnation {
		existing = newLoad(ceiling, now.UnixNano())
		existing.incarnation = s.Backend.Incarnation
	}
	return &member{load: existing, backend: s.Backend, ceiling: ceiling, trial: trial}
}

func (c *standingCounts) add(s *mustardramp.Standing) {
	c.known++
	switch {
	case s.Usable():
		c.usable++
	case s.Backend.State == mustardramp.Starting:
		c.starting++
	case s.Backend.State != mustardramp.Serving:
		c.leaving++
	case s.Ejected:
		c.ejected++
	case s.Avoided:
		c.avoided++
	}
}

func (v *view) loads() map[mustardramp.BackendID]*load {
	loads := map[mustardramp.BackendID]*load{}
	if v == nil {
		return loads
	}
	v.each(func(m *member) { loads[m.backend.ID] = m.load })
	return loads
}

func (v *view) each(fn func(*member)) {
	for _, tier := range v.tiers {
		for _, m := range tier {
			fn(m)
		}
	}
	for _, m := range v.trials {
		fn(m)
	}
	for _, m := range v.inactive {
		fn(m)
	}
}

// usage sums the attempts in flight and the limits of members.
type usage struct {
	inFlight, limit int
	// latency is the mean of the known mean latencies of the members.
	latency time.Duration
}

// usage returns the usage over all distances.
func (v *view) usage() usage {
	return sumUsage(v.tiers[:])
}

// regionUsage returns the usage in this host's region.
func (v *view) regionUsage() usage {
	return sumUsage(v.tiers[:mustardramp.AcrossRegions])
}

func sumUsage(tiers [][]*member) usage {
	var t usage
	var latency, known int64
	for _, tier := range tiers {
		for _, m := range tier {
			t.inFlight += int(m.inFlight.Load())
			t.limit += int(m.maxInFlight())
			if l := m.latency.Load(); l > 0 {
				latency += l
				known++
			}
		}
	}
	if known > 0 {
		t.latency = time.Duration(latency / known)
	}
	return t
}
