package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// suspectAfter is the time for which calls to a host must fail before this
	// host suspects it: two calls that time out. On a narrow link that uploads
	// fill an answer takes most of a second, and a host that is wrongly counted as
	// lost loses the work of its keepers.
	suspectAfter = 2 * time.Second
	// minObservers is the number of observers that must suspect a host before it
	// counts as lost.
	minObservers = 2
	// refutationTimeout is the time in which a suspected host can refute the
	// suspicions before it counts as lost.
	refutationTimeout = 2 * time.Second
	// verifierCount is the number of hosts that probe a suspected host to confirm
	// the suspicion.
	verifierCount = 3
	// rejoinInterval is the time for which one lost host is probed before one is
	// chosen again.
	rejoinInterval = 5 * time.Second
	// avoidDuration is the time after a failed call for which no link is held to
	// a host that does not answer this one.
	avoidDuration = 10 * time.Second
	// forgetAfter is the time after which a lost or draining host is forgotten.
	forgetAfter = time.Hour
)

// Standing tells whether a host belongs to the fleet now.
type Standing uint8

// The standings of a host.
const (
	// Alive hosts answer as far as is known.
	Alive Standing = iota
	// Suspect hosts are suspected by at least one observer.
	Suspect
	// Draining hosts have stated that they are leaving.
	Draining
	// Lost hosts were suspected by several observers and did not refute it.
	Lost
)

// String returns the standing's name.
func (s Standing) String() string {
	return [...]string{"alive", "suspect", "draining", "lost"}[s]
}

// Member is a host with its standing as seen by this host.
type Member struct {
	Host     Host
	Standing Standing
	// Since is when the standing began, or when the host became known.
	Since time.Time
}

// Members is one host's view of the fleet. New returns one. Its methods must be
// called by one goroutine at a time.
type Members struct {
	self    Host
	members map[mustardramp.HostName]*member
	// sequence orders this host's suspicions.
	sequence uint64
	// probes holds the hosts that this host calls to confirm a suspicion.
	probes map[mustardramp.HostName]bool
	// peers are the peers chosen at peersChosenAt. peersStale is set when they
	// must be chosen again.
	peers         []Host
	peersChosenAt time.Time
	peersStale    bool
	// probedLost is the lost host among the peers, or empty.
	probedLost mustardramp.HostName
	// standingChanges lists the hosts whose standing changed since the last call
	// of StandingChanges.
	standingChanges []Member
}

type member struct {
	Member
	// suspicions holds the version of the host's statement to which each
	// observer's suspicion refers.
	suspicions map[mustardramp.HostName]mustardramp.Version
	// suspectedAt is when the host was first suspected since its present
	// statement.
	suspectedAt time.Time
	// failingSince is when calls of this host to it began to fail, and
	// lastFailure when the last one failed.
	failingSince time.Time
	lastFailure  time.Time
	// lastSuccess is when a call of this host to it was last answered.
	lastSuccess time.Time
	// subscribedAt is when the serving host last asked this control host for the
	// confirmed state.
	subscribedAt time.Time
}

// New returns a view that holds the host itself. Its incarnation must be greater
// than in any earlier start. The time of the start satisfies this.
func New(self Host) *Members {
	if self.Sequence == 0 {
		self.Sequence = 1
	}
	return &Members{
		self:    self,
		members: make(map[mustardramp.HostName]*member),
		probes:  make(map[mustardramp.HostName]bool),
	}
}

// Statement returns the host's present statement about itself.
func (m *Members) Statement() mustardramp.Record {
	return m.self.record()
}

// Self returns the host itself.
func (m *Members) Self() Host {
	return m.self
}

// Drain returns a new statement of the host that it is leaving.
func (m *Members) Drain() mustardramp.Record {
	m.self.Leaving = true
	m.self.Sequence++
	return m.self.record()
}

// Learn merges a record of the kind RecordHost. It returns the statements that
// this host makes in answer.
func (m *Members) Learn(now time.Time, r mustardramp.Record) ([]mustardramp.Record, error) {
	var s statement
	if err := cbor.Unmarshal(r.Payload, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	switch {
	case s.Host != nil:
		return m.learnHost(now, *s.Host), nil
	case s.Suspicion != nil:
		return m.learnSuspicion(now, *s.Suspicion), nil
	default:
		return nil, Error.New("record %q holds neither a host nor a suspicion", r.Key)
	}
}

func (m *Members) learnHost(now time.Time, h Host) []mustardramp.Record {
	if h.Name == m.self.Name {
		return m.supersede(h)
	}
	e := m.members[h.Name]
	if e == nil {
		e = &member{Member: Member{Since: now}, suspicions: make(map[mustardramp.HostName]mustardramp.Version)}
		m.members[h.Name] = e
	} else if !h.version().After(e.Host.version()) {
		return nil
	}
	e.Host = h
	m.peersStale = true
	e.suspectedAt, e.failingSince = time.Time{}, time.Time{}
	m.updateStanding(now, e)
	return nil
}

// supersede answers a newer statement under this host's name, which comes from an
// earlier start or another process, with a statement that is newer still.
func (m *Members) supersede(h Host) []mustardramp.Record {
	if !h.version().After(m.self.version()) {
		return nil
	}
	m.self.Incarnation, m.self.Sequence = h.Incarnation+1, 1
	return []mustardramp.Record{m.self.record()}
}

func (m *Members) learnSuspicion(now time.Time, s suspicion) []mustardramp.Record {
	if s.Host == m.self.Name {
		return m.refute(s)
	}
	e := m.members[s.Host]
	if e == nil {
		return nil
	}
	if s.Withdrawn {
		delete(e.suspicions, s.Observer)
	} else {
		e.suspicions[s.Observer] = s.About
	}
	m.updateStanding(now, e)
	if e.Standing == Suspect && m.isVerifier(e) {
		m.probes[s.Host] = true
		m.peersStale = true
	}
	return nil
}

// refute answers a suspicion of this host's present statement with a newer
// statement.
func (m *Members) refute(s suspicion) []mustardramp.Record {
	if s.Withdrawn || s.About != m.self.version() {
		return nil
	}
	m.self.Sequence++
	return []mustardramp.Record{m.self.record()}
}

// observerCount returns the number of observers that suspect the present
// statement.
func (e *member) observerCount() int {
	count := 0
	for _, about := range e.suspicions {
		if about == e.Host.version() {
			count++
		}
	}
	return count
}

// updateStanding sets the standing from the statement, the suspicions and the
// time, and reports whether it changed.
func (e *member) updateStanding(now time.Time) bool {
	observers := e.observerCount()
	if observers == 0 {
		e.suspectedAt = time.Time{}
	} else if e.suspectedAt.IsZero() {
		e.suspectedAt = now
	}
	standing := Alive
	switch {
	case observers >= minObservers && now.Sub(e.suspectedAt) >= refutationTimeout:
		standing = Lost
	case e.Host.Leaving:
		standing = Draining
	case observers > 0:
		standing = Suspect
	}
	if standing == e.Standing {
		return false
	}
	e.Standing, e.Since = standing, now
	return true
}

// updateStanding updates a host's standing and records a change.
func (m *Members) updateStanding(now time.Time, e *member) {
	if !e.updateStanding(now) {
		return
	}
	m.peersStale = true
	m.standingChanges = append(m.standingChanges, e.Member)
}

// ReportSuccess records that a host answered a call. It returns the withdrawal of
// this host's suspicion, if any. Calls that arrive from the host do not count,
// because they do not show that the path to it works.
func (m *Members) ReportSuccess(now time.Time, host mustardramp.HostName) []mustardramp.Record {
	e := m.members[host]
	if e == nil {
		return nil
	}
	e.failingSince, e.lastSuccess = time.Time{}, now
	delete(m.probes, host)
	if _, isSuspected := e.suspicions[m.self.Name]; !isSuspected {
		return nil
	}
	return m.publishSuspicion(now, e, true)
}

// ReportFailure records that a call to a host had no answer. It returns this
// host's suspicion, if it has a new one.
func (m *Members) ReportFailure(now time.Time, host mustardramp.HostName) []mustardramp.Record {
	e := m.members[host]
	if e == nil {
		return nil
	}
	if e.failingSince.IsZero() {
		e.failingSince = now
	}
	wasAvoided := e.isAvoided(now)
	e.lastFailure = now
	m.peersStale = m.peersStale || e.isAvoided(now) != wasAvoided
	// One failed probe confirms the suspicion of another observer.
	confirms := e.observerCount() > 0 && m.probes[host]
	if !confirms && now.Sub(e.failingSince) < suspectAfter {
		return nil
	}
	if e.suspicions[m.self.Name] == e.Host.version() {
		return nil
	}
	return m.publishSuspicion(now, e, false)
}

// publishSuspicion applies this host's suspicion of another host, or its
// withdrawal, and returns the statement of it.
func (m *Members) publishSuspicion(now time.Time, e *member, withdrawn bool) []mustardramp.Record {
	m.sequence++
	s := suspicion{Host: e.Host.Name, Observer: m.self.Name, About: e.Host.version(), Withdrawn: withdrawn}
	m.learnSuspicion(now, s)
	version := mustardramp.Version{Epoch: uint64(m.self.Incarnation), Sequence: m.sequence}
	return []mustardramp.Record{s.record(version)}
}

// Step updates the standing of all hosts. It returns the keys of the records that
// may be forgotten.
func (m *Members) Step(now time.Time) []string {
	var forgotten []string
	for name, e := range m.members {
		m.updateStanding(now, e)
		if e.Standing != Suspect {
			delete(m.probes, name)
		}
		if e.Standing >= Draining && now.Sub(e.Since) >= forgetAfter {
			forgotten = append(forgotten, string(name))
			for observer := range e.suspicions {
				forgotten = append(forgotten, string(name)+"?"+string(observer))
			}
			delete(m.members, name)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}

// IsControl reports whether a host is known as a control host.
func (m *Members) IsControl(host mustardramp.HostName) bool {
	e := m.members[host]
	return e != nil && e.Host.Role == Control
}

// HostAt returns the host that answers at an address. Of several it returns the one
// that started last.
func (m *Members) HostAt(address netip.AddrPort) (mustardramp.HostName, bool) {
	var found *member
	for _, e := range m.members {
		if e.Host.Address == address && (found == nil || e.Host.Incarnation > found.Host.Incarnation) {
			found = e
		}
	}
	if found == nil {
		return "", false
	}
	return found.Host.Name, true
}

// StandingChanges returns the hosts whose standing changed since the last call.
func (m *Members) StandingChanges() []Member {
	changes := m.standingChanges
	m.standingChanges = nil
	return changes
}

// List returns all hosts except this one, sorted by name.
func (m *Members) List() []Member {
	out := make([]Member, 0, len(m.members))
	for _, e := range m.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Host.Name < b.Host.Name {
			return -1
		}
		return 1
	})
	return out
}
