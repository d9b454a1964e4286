package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// distances is the number of distances between places.
const distances = int(mustardramp.AcrossRegions) + 1

// view is an immutable list of a service's backends, nearest first.
type view struct {
	tiers  [distances][]*member
	trials []*member
	// newcomers are members of the tiers that await their first attempt.
	newcomers []*member
	// idle are the known backends that get no work now. Their loads are kept,
	// since attempts may still be in flight.
	idle []*member
	// counts say why backends of the service get no ordinary work.
	counts counts
}

// counts are the backends of a service by standing.
type counts struct {
	known, usable, ejected, avoided, leaving, starting int
}

// build makes a view from standings, and keeps the loads of backends that the
// old view knew.
func build(now time.Time, old *view, place func(mustardramp.Place) mustardramp.Distance, usual *atomic.Int64, standings []mustardramp.Standing) *view {
	loads := old.loads()
	v := &view{}
	for i := range standings {
		s := &standings[i]
		v.counts.add(s)
		trial := s.Trial && s.Backend.State == mustardramp.Serving && !s.Avoided
		m := newMember(now, s, trial, loads[s.Backend.ID])
		m.usual = usual
		switch {
		case trial:
			v.trials = append(v.trials, m)
		case s.Usable():
			d := place(s.Backend.Place)
			v.tiers[d] = append(v.tiers[d], m)
		default:
			v.idle = append(v.idle, m)
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

func newMember(now time.Time, s *mustardramp.Standing, trial bool, known *load) *member {
	ceiling := max(1, int32(float64(s.Backend.Slots)*s.Weight))
	if trial {
		ceiling = 1
	}
	if known == nil || known.incarnation != s.Backend.Incarnation {
		known = newLoad(ceiling, now.UnixNano())
		known.incarnation = s.Backend.Incarnation
	}
	return &member{load: known, backend: s.Backend, ceiling: ceiling, trial: trial}
}

func (c *counts) add(s *mustardramp.Standing) {
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
	for _, m := range v.idle {
		fn(m)
	}
}

// tally sums what the members of the tiers use and may use.
type tally struct {
	inFlight, limit int
	// latency is the mean of the members' mean latencies that are known.
	latency time.Duration
}

// tally sums over all distances.
func (v *view) tally() tally {
	return sum(v.tiers[:])
}

// near sums over this host's region.
func (v *view) near() tally {
	return sum(v.tiers[:mustardramp.AcrossRegions])
}

func sum(tiers [][]*member) tally {
	var t tally
	var latency, known int64
	for _, tier := range tiers {
		for _, m := range tier {
			t.inFlight += int(m.inFlight.Load())
			t.limit += int(m.cap())
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
