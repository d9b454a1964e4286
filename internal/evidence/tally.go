// Package evidence counts the outcomes of real work by backend and merges the
// counts of all hosts. Observe runs on the request path: it takes no lock and
// allocates nothing.
package evidence

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// Spans of time between refreshes of what Observe compares with.
const (
	latencySpan = time.Second
	callerSpan  = 5 * time.Second
)

// Counts are the outcomes at one backend.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Done counts the attempts that ended. It is at least Failed and at least
	// Slow.
	Done uint64
	// Failed counts the attempts whose result is evidence of illness.
	Failed uint64
	// Slow counts the attempts that took much longer than the service's
	// median.
	Slow uint64
}

// Minus returns the counts since an earlier reading, or false when the earlier
// one is not of the same counters.
func (c Counts) Minus(old Counts) (Counts, bool) {
	if c.Done < old.Done || c.Failed < old.Failed || c.Slow < old.Slow {
		return Counts{}, false
	}
	d := Counts{Done: c.Done - old.Done, Failed: c.Failed - old.Failed, Slow: c.Slow - old.Slow}
	d.Failed = min(d.Failed, d.Done)
	d.Slow = min(d.Slow, d.Done)
	return d, true
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Done:   c.Done + other.Done,
		Failed: c.Failed + other.Failed,
		Slow:   c.Slow + other.Slow,
	}
}

// Tally counts the outcomes that one host sees. Its zero value works.
type Tally struct {
	// Place is where the host runs. It is set before the first call.
	Place mustardramp.Place

	services atomic.Pointer[map[mustardramp.ServiceName]*service]
	callers  callers

	// mu guards the replacement of maps and the times of the refreshes.
	mu          sync.Mutex
	callersSeen time.Time
}

// service holds the counters of one service's backends.
type service struct {
	// seed tells the callers of this service from those of others.
	seed    uint64
	cells   atomic.Pointer[map[mustardramp.BackendID]*cell]
	ranks   [mustardramp.RankCount]latencies
	refresh time.Time
	// watched is true once attempts in flight are counted.
	watched atomic.Bool
}

// Observe takes in the outcome of one attempt. Outcomes at backends that
// Prepare has not named are dropped.
func (t *Tally) Observe(o mustardramp.Observation) {
	s, c := t.find(o.Service, o.Backend)
	if c == nil {
		return
	}
	switch {
	case o.Result == mustardramp.ResultGood:
		t.good(s, c, o)
	case o.Result.Failed():
		t.bad(s, c, o)
	case o.Result == mustardramp.ResultLeaving:
		c.leaving.Store(o.At.Add(-o.Latency).UnixNano())
	}
}

func (t *Tally) good(s *service, c *cell, o mustardramp.Observation) {
	sample := rand.Uint32()
	latency := &s.ranks[o.Rank%mustardramp.RankCount][c.distance]
	slow := latency.record(o.Latency, sample>>8)
	t.callers.slot(s.seed, o.Caller).record(c.bit, false)
	stamp(&c.good, o.At)
	if s.watched.Load() && latency.swept(o.Latency) {
		return
	}
	counter := &c.stripe[sample&(stripes-1)]
	counter.done.Add(1)
	if slow {
		counter.slow.Add(1)
	}
}

func (t *Tally) bad(s *service, c *cell, o mustardramp.Observation) {
	from := t.callers.slot(s.seed, o.Caller)
	from.record(c.bit, true)
	if from.blamed.Load() {
		return
	}
	counter := c.pick()
	latency := &s.ranks[o.Rank%mustardramp.RankCount][c.distance]
	if !s.watched.Load() || !latency.swept(o.Latency) {
		counter.done.Add(1)
	}
	counter.failed.Add(1)
	stamp(&c.bad, o.At)
}

func (t *Tally) find(name mustardramp.ServiceName, id mustardramp.BackendID) (*service, *cell) {
	services := t.services.Load()
	if services == nil {
		return nil, nil
	}
	s := (*services)[name]
	if s == nil {
		return nil, nil
	}
	return s, (*s.cells.Load())[id]
}

// Prepare makes room for the backends of a service and forgets those that the
// roster no longer names.
func (t *Tally) Prepare(now time.Time, name mustardramp.ServiceName, roster []mustardramp.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.prepare(t.Place, roster)
	s.sweep(now)
	if now.Sub(s.refresh) >= latencySpan {
		s.refresh = now
		for rank := range s.ranks {
			s.ranks[rank].refresh()
		}
	}
	if now.Sub(t.callersSeen) >= callerSpan {
		t.callersSeen = now
		t.callers.refresh()
	}
}

// service returns the counters of a service. The caller holds mu.
func (t *Tally) service(name mustardramp.ServiceName) *service {
	var old map[mustardramp.ServiceName]*service
	if p := t.services.Load(); p != nil {
		old = *p
	}
	if s := old[name]; s != nil {
		return s
	}
	s := &service{seed: xxhash.Sum64String(string(name))}
	s.cells.Store(&map[mustardramp.BackendID]*cell{})
	next := make(map[mustardramp.ServiceName]*service, len(old)+1)
	for n, other := range old {
		next[n] = other
	}
	next[name] = s
	t.services.Store(&next)
	return s
}

func (s *service) prepare(place mustardramp.Place, roster []mustardramp.Backend) {
	old := *s.cells.Load()
	if named(old, roster) {
		return
	}
	next := make(map[mustardramp.BackendID]*cell, len(roster))
	for _, b := range roster {
		c := old[b.ID]
		if c == nil {
			c = newCell(b.ID, place.To(b.Place))
		}
		next[b.ID] = c
	}
	s.cells.Store(&next)
}

// named reports whether the cells are exactly those of the roster.
func named(cells map[mustardramp.BackendID]*cell, roster []mustardramp.Backend) bool {
	if len(cells) != len(roster) {
		return false
	}
	for _, b := range roster {
		if cells[b.ID] == nil {
			return false
		}
	}
	return true
}

// Counts returns what was counted at a backend since this host knows it.
func (t *Tally) Counts(name mustardramp.ServiceName, id mustardramp.BackendID) Counts {
	_, c := t.find(name, id)
	if c == nil {
		return Counts{}
	}
	return c.counts()
}

// Leaving returns when the newest attempt was dispatched to which the backend
// answered that it is leaving, or the zero time.
func (t *Tally) Leaving(name mustardramp.ServiceName, id mustardramp.BackendID) time.Time {
	_, c := t.find(name, id)
	if c == nil {
		return time.Time{}
	}
	return instant(c.leaving.Load())
}

// Last returns the times of the last whole answer and of the last failure at a
// backend, or zero times.
func (t *Tally) Last(name mustardramp.ServiceName, id mustardramp.BackendID) (good, bad time.Time) {
	_, c := t.find(name, id)
	if c == nil {
		return time.Time{}, time.Time{}
	}
	return instant(c.good.Load()), instant(c.bad.Load())
}

func instant(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
