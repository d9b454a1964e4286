// Package ejection decides which backends receive work, from the outcomes of
// real work at all hosts. It ejects a backend that is ill against the present
// level of its service, never below the service's floor, and lets it return
// by trial.
package ejection

import (
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// Terms are the settings of a service that ejection follows.
type Terms struct {
	// Floor is the share of the serving slots that ejection leaves.
	Floor mustardramp.Percent
	// Caution is the accepted rate of false ejections per backend and day.
	Caution float64
	// Ramp is the time from the least weight to full work after a start; zero
	// stands for rampSpan.
	Ramp time.Duration
}

// defaultTerms are those of a service whose contract is not known.
var defaultTerms = Terms{Floor: 70, Caution: 0.1}

// DefaultSpread is the time in which a report is expected at every host.
const DefaultSpread = 200 * time.Millisecond

// DefaultLearning is the time of two full reports.
const DefaultLearning = 2 * quietInterval

// Ejector implements mustardramp.Ejector. Its zero value works. The exported
// fields are set before the first call.
type Ejector struct {
	// Host names this host, and Incarnation counts its starts.
	Host        mustardramp.HostName
	Incarnation mustardramp.Incarnation
	// Place is where this host runs.
	Place mustardramp.Place
	// Terms returns a service's settings; nil stands for defaults.
	Terms func(mustardramp.ServiceName) Terms
	// Left is called, on the request path, when a backend answered that it is
	// leaving; nil does nothing.
	Left func(mustardramp.Observation)
	// Spread is the time in which a report reaches every host; 0 stands for
	// DefaultSpread. A new ejection is made known two spreads before.
	Spread time.Duration

	// Learning is how long a host that started relies on the ejections of the
	// others while it learns their outcomes; 0 stands for DefaultLearning.
	Learning time.Duration
	// Budget is the number of bytes a second that Due spends on average; 0
	// stands for DefaultBudget.
	Budget mustardramp.Bytes

	once  sync.Once
	tally evidence.Tally

	// mu guards what follows.
	mu       sync.Mutex
	fleet    evidence.Fleet
	services map[mustardramp.ServiceName]*service
	members  map[mustardramp.BackendID]*member
	sequence uint64
	pace     pace
}

var (
	_ mustardramp.Ejector = (*Ejector)(nil)
	_ mustardramp.Watcher = (*Ejector)(nil)
)

// New returns the ejector of a host.
func New(host mustardramp.HostName, incarnation mustardramp.Incarnation, place mustardramp.Place) *Ejector {
	return &Ejector{Host: host, Incarnation: incarnation, Place: place}
}

// Observe takes in one outcome.
func (e *Ejector) Observe(o mustardramp.Observation) {
	e.tally.Observe(o)
	if o.Result == mustardramp.ResultLeaving && e.Left != nil {
		e.Left(o)
	}
}

// Start counts an attempt that is dispatched now and returns its token.
func (e *Ejector) Start(service mustardramp.ServiceName, backend mustardramp.BackendID, rank mustardramp.Rank, at time.Time) mustardramp.Token {
	return e.tally.Start(service, backend, rank, at)
}

// Answered ends what Start began.
func (e *Ejector) Answered(service mustardramp.ServiceName, backend mustardramp.BackendID, token mustardramp.Token) {
	e.tally.Answered(service, backend, token)
}

// Step takes in the present roster of a service and returns the decided
// standings, in the order of the roster.
func (e *Ejector) Step(now time.Time, name mustardramp.ServiceName, backends []mustardramp.Backend) []mustardramp.Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	e.tally.Prepare(now, name, backends)
	s := e.service(name)
	terms := e.terms(name)
	s.ramp = e.terms(name).Ramp
	s.sync(now, backends, e.members, func(id mustardramp.BackendID) time.Time { return e.tally.Leaving(name, id) })
	s.gather(now, &e.tally, e.fleet.Take(name), e.Place.Zone)
	s.judge(now, terms)
	s.advance(now, s.limits(terms))
	s.settle(now, terms, e.fleet.Voices(now, name, 2*e.spread()), 2*e.spread())
	return s.standings(now, terms)
}

// Merge takes in a report of another host.
func (e *Ejector) Merge(now time.Time, record mustardramp.Record) error {
	if record.Key == string(e.Host) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.Merge(now, record)
}

// Work says when real work last ended at a backend, anywhere in the fleet.
func (e *Ejector) Work(id mustardramp.BackendID) roster.Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.members[id]; m != nil {
		return m.work
	}
	return roster.Work{}
}

func (e *Ejector) init() {
	e.once.Do(func() {
		e.tally.Place = e.Place
		e.services = map[mustardramp.ServiceName]*service{}
		e.members = map[mustardramp.BackendID]*member{}
	})
}

func (e *Ejector) service(name mustardramp.ServiceName) *service {
	s := e.services[name]
	if s == nil {
		s = &service{name: name, learning: e.learning()}
		e.services[name] = s
	}
	return s
}

func (e *Ejector) terms(name mustardramp.ServiceName) Terms {
	if e.Terms == nil {
		return defaultTerms
	}
	return e.Terms(name)
}

func (e *Ejector) learning() time.Duration {
	if e.Learning == 0 {
		return DefaultLearning
	}
	return e.Learning
}

func (e *Ejector) spread() time.Duration {
	if e.Spread == 0 {
		return DefaultSpread
	}
	return e.Spread
}
