// Package ejection decides which backends receive traffic, from the outcomes of
// real requests at all hosts. It ejects a backend whose share of bad outcomes is
// high compared with the other backends of its service, never takes the capacity
// below the service's floor, and readmits an ejected backend after a trial.
package ejection

import (
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// Terms are the settings of a service that control ejection.
type Terms struct {
	// Floor is the share of the serving slots that must not be ejected.
	Floor mustardramp.Percent
	// Caution is the accepted number of false ejections per backend and day.
	Caution float64
	// Ramp is the time from the lowest weight to full traffic after a start;
	// zero means defaultRampDuration.
	Ramp time.Duration
}

// defaultTerms apply to a service whose contract is not known.
var defaultTerms = Terms{Floor: 70, Caution: 0.1}

// DefaultPropagationDelay is the time within which a report is expected to reach
// every host.
const DefaultPropagationDelay = 200 * time.Millisecond

// DefaultLearningPeriod covers two full reports.
const DefaultLearningPeriod = 2 * fullReportInterval

// Ejector implements mustardramp.Ejector. Its zero value is ready to use. The
// exported fields must be set before the first call.
type Ejector struct {
	// Host is the name of this host, and Incarnation counts its starts.
	Host        mustardramp.HostName
	Incarnation mustardramp.Incarnation
	// Place is the zone and region of this host.
	Place mustardramp.Place
	// Terms returns the settings of a service; nil means defaultTerms.
	Terms func(mustardramp.ServiceName) Terms
	// PropagationDelay is the time within which a report reaches every host;
	// 0 means DefaultPropagationDelay. An ejection is proposed to the other
	// hosts twice this time before it takes effect.
	PropagationDelay time.Duration

	// LearningPeriod is how long a host that started relies on the ejections of
	// the others while it collects their outcomes; 0 means
	// DefaultLearningPeriod.
	LearningPeriod time.Duration
	// ReportBudget is the average number of bytes per second that the reports
	// of Due may take; 0 means DefaultReportBudget.
	ReportBudget mustardramp.Bytes

	once  sync.Once
	tally evidence.Tally

	// mu guards the fields below.
	mu       sync.Mutex
	fleet    evidence.Fleet
	services map[mustardramp.ServiceName]*service
	members  map[mustardramp.BackendID]*member
	sequence uint64
	pacer    pacer
}

var (
	_ mustardramp.Ejector = (*Ejector)(nil)
	_ mustardramp.Watcher = (*Ejector)(nil)
)

// New returns the ejector of a host.
func New(host mustardramp.HostName, incarnation mustardramp.Incarnation, place mustardramp.Place) *Ejector {
	return &Ejector{Host: host, Incarnation: incarnation, Place: place}
}

// Observe records the outcome of one attempt.
func (e *Ejector) Observe(o mustardramp.Observation) {
	e.tally.Observe(o)
}

// Start counts an attempt that is being dispatched and returns its token.
func (e *Ejector) Start(service mustardramp.ServiceName, backend mustardramp.BackendID, rank mustardramp.Rank, at time.Time) mustardramp.Token {
	return e.tally.Start(service, backend, rank, at)
}

// Answered ends the count of an attempt that Start counted as in flight.
func (e *Ejector) Answered(service mustardramp.ServiceName, backend mustardramp.BackendID, token mustardramp.Token) {
	e.tally.Answered(service, backend, token)
}

// Step updates the roster of a service, runs the tests on the outcomes since the
// last step and returns the resulting standings in the order of the roster.
func (e *Ejector) Step(now time.Time, name mustardramp.ServiceName, backends []mustardramp.Backend) []mustardramp.Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	e.tally.Prepare(now, name, backends)
	s := e.service(name)
	terms := e.terms(name)
	s.ramp = e.terms(name).Ramp
	s.syncRoster(now, backends, e.members, func(id mustardramp.BackendID) time.Time { return e.tally.Leaving(name, id) })
	s.collectOutcomes(now, &e.tally, e.fleet.TakeCounts(name), e.Place.Zone)
	s.runTests(now, terms)
	s.advance(now, s.thresholds(terms))
	s.decideEjections(now, terms, e.fleet.Claims(now, name, 2*e.propagationDelay()), 2*e.propagationDelay())
	return s.standings(now, terms)
}

// Merge adds a report of another host. A report of this host is ignored.
func (e *Ejector) Merge(now time.Time, record mustardramp.Record) error {
	if record.Key == string(e.Host) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.Merge(now, record)
}

// LastWork returns the times at which real requests last succeeded and failed at a
// backend, anywhere in the fleet.
func (e *Ejector) LastWork(id mustardramp.BackendID) roster.WorkTimes {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.members[id]; m != nil {
		return m.lastWork
	}
	return roster.WorkTimes{}
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
		s = &service{name: name, learningPeriod: e.learningPeriod()}
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

func (e *Ejector) learningPeriod() time.Duration {
	if e.LearningPeriod == 0 {
		return DefaultLearningPeriod
	}
	return e.LearningPeriod
}

func (e *Ejector) propagationDelay() time.Duration {
	if e.PropagationDelay == 0 {
		return DefaultPropagationDelay
	}
	return e.PropagationDelay
}
