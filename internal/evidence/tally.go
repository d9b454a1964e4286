// Package evidence counts the outcomes of real requests by backend and merges the
// counts of all hosts. Tally.Observe runs on the request path: it takes no lock
// and allocates nothing.
package evidence

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// Intervals between the refreshes of the data that Observe uses.
const (
	latencyRefreshInterval = time.Second
	callerRefreshInterval  = 5 * time.Second
)

// Counts holds the numbers of outcomes at one backend.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Done counts the attempts that ended. It is at least Failed and at least
	// Slow.
	Done uint64
	// Failed counts the attempts whose result shows an unhealthy backend.
	Failed uint64
	// Slow counts the attempts that took much longer than the service's
	// median.
	Slow uint64
}

// Minus returns the counts since an earlier reading, or false if a counter has
// decreased, so that the earlier reading is not of the same counters.
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

// Tally counts the outcomes that one host sees. Its zero value is ready to use.
type Tally struct {
	// Place is the zone and region of the host. It must be set before the first
	// call.
	Place mustardramp.Place

	services atomic.Pointer[map[mustardramp.ServiceName]*service]
	callers  callerTable

	// mu guards the replacement of maps and the times of the refreshes.
	mu                 sync.Mutex
	callersRefreshedAt time.Time
}

// service holds the counters of one service's backends.
type service struct {
	// seed distinguishes the callers of this service from those of others.
	seed            uint64
	backends        atomic.Pointer[map[mustardramp.BackendID]*backendCounters]
	latenciesByRank [mustardramp.RankCount]rankLatencies
	refreshedAt     time.Time
	// tracksInFlight is true once attempts in flight are counted.
	tracksInFlight atomic.Bool
}

// Observe counts the outcome of one attempt. Outcomes at backends that were not in
// the roster of the last Prepare are dropped.
func (t *Tally) Observe(o mustardramp.Observation) {
	s, c := t.find(o.Service, o.Backend)
	if c == nil {
		return
	}
	switch {
	case o.Result == mustardramp.ResultSuccess:
		t.countSuccess(s, c, o)
	case o.Result.Failed():
		t.countFailure(s, c, o)
	case o.Result == mustardramp.ResultLeaving:
		c.leavingDispatch.Store(o.At.Add(-o.Latency).UnixNano())
	}
}

func (t *Tally) countSuccess(s *service, c *backendCounters, o mustardramp.Observation) {
	sample := rand.Uint32()
	histogram := &s.latenciesByRank[o.Rank%mustardramp.RankCount][c.distance]
	slow := histogram.record(o.Latency, sample>>8)
	t.callers.entry(s.seed, o.Caller).record(c.bit, false)
	advanceTimestamp(&c.lastSuccess, o.At)
	if s.tracksInFlight.Load() && histogram.wasCountedInFlight(o.Latency) {
		return
	}
	counter := &c.stripes[sample&(stripeCount-1)]
	counter.done.Add(1)
	if slow {
		counter.slow.Add(1)
	}
}

func (t *Tally) countFailure(s *service, c *backendCounters, o mustardramp.Observation) {
	from := t.callers.entry(s.seed, o.Caller)
	from.record(c.bit, true)
	if from.excluded.Load() {
		return
	}
	counter := c.randomStripe()
	histogram := &s.latenciesByRank[o.Rank%mustardramp.RankCount][c.distance]
	if !s.tracksInFlight.Load() || !histogram.wasCountedInFlight(o.Latency) {
		counter.done.Add(1)
	}
	counter.failed.Add(1)
	advanceTimestamp(&c.lastFailure, o.At)
}

func (t *Tally) find(name mustardramp.ServiceName, id mustardramp.BackendID) (*service, *backendCounters) {
	services := t.services.Load()
	if services == nil {
		return nil, nil
	}
	s := (*services)[name]
	if s == nil {
		return nil, nil
	}
	return s, (*s.backends.Load())[id]
}

// Prepare adds counters for the backends of a service, removes those of backends
// that are no longer in the roster, and runs the refreshes that are due.
func (t *Tally) Prepare(now time.Time, name mustardramp.ServiceName, roster []mustardramp.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.syncRoster(t.Place, roster)
	s.sweep(now)
	if now.Sub(s.refreshedAt) >= latencyRefreshInterval {
		s.refreshedAt = now
		for rank := range s.latenciesByRank {
			s.latenciesByRank[rank].refresh()
		}
	}
	if now.Sub(t.callersRefreshedAt) >= callerRefreshInterval {
		t.callersRefreshedAt = now
		t.callers.refresh()
	}
}

// service returns the counters of a service. The caller must hold mu.
func (t *Tally) service(name mustardramp.ServiceName) *service {
	var old map[mustardramp.ServiceName]*service
	if p := t.services.Load(); p != nil {
		old = *p
	}
	if s := old[name]; s != nil {
		return s
	}
	s := &service{seed: xxhash.Sum64String(string(name))}
	s.backends.Store(&map[mustardramp.BackendID]*backendCounters{})
	next := make(map[mustardramp.ServiceName]*service, len(old)+1)
	for n, other := range old {
		next[n] = other
	}
	next[name] = s
	t.services.Store(&next)
	return s
}

func (s *service) syncRoster(place mustardramp.Place, roster []mustardramp.Backend) {
	old := *s.backends.Load()
	if matchesRoster(old, roster) {
		return
	}
	next := make(map[mustardramp.BackendID]*backendCounters, len(roster))
	for _, b := range roster {
		c := old[b.ID]
		if c == nil {
			c = newBackendCounters(b.ID, place.To(b.Place))
		}
		next[b.ID] = c
	}
	s.backends.Store(&next)
}

// matchesRoster reports whether the backends are exactly those of the roster.
func matchesRoster(backends map[mustardramp.BackendID]*backendCounters, roster []mustardramp.Backend) bool {
	if len(backends) != len(roster) {
		return false
	}
	for _, b := range roster {
		if backends[b.ID] == nil {
			return false
		}
	}
	return true
}

// Counts returns the counts of a backend since it was added to the roster.
func (t *Tally) Counts(name mustardramp.ServiceName, id mustardramp.BackendID) Counts {
	_, c := t.find(name, id)
	if c == nil {
		return Counts{}
	}
	return c.counts()
}

// Leaving returns the dispatch time of the newest attempt to which the backend
// answered that it is leaving, or the zero time.
func (t *Tally) Leaving(name mustardramp.ServiceName, id mustardramp.BackendID) time.Time {
	_, c := t.find(name, id)
	if c == nil {
		return time.Time{}
	}
	return timeFromUnixNano(c.leavingDispatch.Load())
}

// Last returns the times of the last complete answer and of the last failure at a
// backend, or zero times.
func (t *Tally) Last(name mustardramp.ServiceName, id mustardramp.BackendID) (success, failure time.Time) {
	_, c := t.find(name, id)
	if c == nil {
		return time.Time{}, time.Time{}
	}
	return timeFromUnixNano(c.lastSuccess.Load()), timeFromUnixNano(c.lastFailure.Load())
}

func timeFromUnixNano(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
