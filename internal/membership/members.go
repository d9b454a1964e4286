package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// suspectAfter is the time without an echo after which a host is doubted: two
	// calls that ran out of time. On a thin link that uploads fill an answer takes
	// most of a second, and a host that is taken for lost loses its keepers' work.
	suspectAfter = 2 * time.Second
	// confirmations is the number of observers that must doubt a host before
	// it counts as lost.
	confirmations = 2
	// refuteTime is the time that a doubted host has to make itself heard.
	refuteTime = 2 * time.Second
	// verifiers is the number of hosts that probe a doubted host to confirm.
	verifiers = 3
	// rejoinPause is the pause between probes of a lost host.
	rejoinPause = 5 * time.Second
	// avoidTime is the time for which no link is held to a host that does not
	// answer this one.
	avoidTime = 10 * time.Second
	// forgetAfter is the time after which a lost or draining host is forgotten.
	forgetAfter = time.Hour
)

// Standing says whether a host belongs to the fleet now.
type Standing uint8

// The standings of a host.
const (
	// Alive hosts answer, as far as is known.
	Alive Standing = iota
	// Suspect hosts are doubted by some observer.
	Suspect
	// Draining hosts have said that they leave.
	Draining
	// Lost hosts were doubted by several observers and did not refute it.
	Lost
)

// String returns the standing's name.
func (s Standing) String() string {
	return [...]string{"alive", "suspect", "draining", "lost"}[s]
}

// Member is a host with its standing as seen from here.
type Member struct {
	Host     Host
	Standing Standing
	// Since is when the standing began, or the host was first heard of.
	Since time.Time
}

// Members is one host's view of the fleet. New makes one; its methods are
// called by one goroutine at a time.
type Members struct {
	self    Host
	members map[mustardramp.HostName]*member
	// sequence orders this host's doubts.
	sequence uint64
	// probes are the hosts that it calls to confirm a doubt.
	probes map[mustardramp.HostName]bool
	// chosen are the peers chosen at chosenAt; changed is set when they must
	// be chosen anew.
	chosen   []Host
	chosenAt time.Time
	changed  bool
	// called is the lost host among the peers chosen last, or none.
	called mustardramp.HostName
	// turned are the hosts whose standing changed since Turned was called.
	turned []Member
}

type member struct {
	Member
	// doubts holds the version that each observer doubts.
	doubts map[mustardramp.HostName]mustardramp.Version
	// doubted is when the present statement was first doubted.
	doubted time.Time
	// silent is since when calls from here fail, missed when the last one did.
	silent time.Time
	missed time.Time
	// echoed is when a call from here was last answered.
	echoed time.Time
}

// New returns a view that holds the host itself. Its incarnation must be
// greater than in any earlier start; the time of the start will do.
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

// Drain makes the host say that it leaves.
func (m *Members) Drain() mustardramp.Record {
	m.self.Leaving = true
	m.self.Sequence++
	return m.self.record()
}

// Learn takes in a record of the kind RecordHost. It returns the statements to
// spread in answer.
func (m *Members) Learn(now time.Time, r mustardramp.Record) ([]mustardramp.Record, error) {
	var s statement
	if err := cbor.Unmarshal(r.Payload, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	switch {
	case s.Host != nil:
		return m.learnHost(now, *s.Host), nil
	case s.Doubt != nil:
		return m.learnDoubt(now, *s.Doubt), nil
	default:
		return nil, Error.New("record %q says nothing", r.Key)
	}
}

func (m *Members) learnHost(now time.Time, h Host) []mustardramp.Record {
	if h.Name == m.self.Name {
		return m.outlive(h)
	}
	e := m.members[h.Name]
	if e == nil {
		e = &member{Member: Member{Since: now}, doubts: make(map[mustardramp.HostName]mustardramp.Version)}
		m.members[h.Name] = e
	} else if !h.version().After(e.Host.version()) {
		return nil
	}
	e.Host = h
	m.changed = true
	e.doubted, e.silent = time.Time{}, time.Time{}
	m.judge(now, e)
	return nil
}

// outlive answers a statement of an earlier start of this host, or of another
// process under its name, with a newer one.
func (m *Members) outlive(h Host) []mustardramp.Record {
	if !h.version().After(m.self.version()) {
		return nil
	}
	m.self.Incarnation, m.self.Sequence = h.Incarnation+1, 1
	return []mustardramp.Record{m.self.record()}
}

func (m *Members) learnDoubt(now time.Time, d doubt) []mustardramp.Record {
	if d.Host == m.self.Name {
		return m.refute(d)
	}
	e := m.members[d.Host]
	if e == nil {
		return nil
	}
	if d.Withdrawn {
		delete(e.doubts, d.Observer)
	} else {
		e.doubts[d.Observer] = d.About
	}
	m.judge(now, e)
	if e.Standing == Suspect && m.verifies(e) {
		m.probes[d.Host] = true
		m.changed = true
	}
	return nil
}

// refute answers a doubt about this host's present statement with a newer one.
func (m *Members) refute(d doubt) []mustardramp.Record {
	if d.Withdrawn || d.About != m.self.version() {
		return nil
	}
	m.self.Sequence++
	return []mustardramp.Record{m.self.record()}
}

// observers counts those that doubt the present statement.
func (e *member) observers() int {
	count := 0
	for _, about := range e.doubts {
		if about == e.Host.version() {
			count++
		}
	}
	return count
}

// judge sets the standing from the statement, the doubts and the time, and
// reports whether it changed.
func (e *member) judge(now time.Time) bool {
	observers := e.observers()
	if observers == 0 {
		e.doubted = time.Time{}
	} else if e.doubted.IsZero() {
		e.doubted = now
	}
	standing := Alive
	switch {
	case observers >= confirmations && now.Sub(e.doubted) >= refuteTime:
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

// judge brings a host's standing up to date and notes a change of it.
func (m *Members) judge(now time.Time, e *member) {
	if !e.judge(now) {
		return
	}
	m.changed = true
	m.turned = append(m.turned, e.Member)
}

// Heard takes in an echo from a host: a call to it was answered. A link counts
// only by its echo; calls that arrive here prove nothing of the way back.
func (m *Members) Heard(now time.Time, host mustardramp.HostName) []mustardramp.Record {
	e := m.members[host]
	if e == nil {
		return nil
	}
	e.silent, e.echoed = time.Time{}, now
	delete(m.probes, host)
	if _, doubted := e.doubts[m.self.Name]; !doubted {
		return nil
	}
	return m.doubt(now, e, true)
}

// Missed takes in that a call to a host had no answer.
func (m *Members) Missed(now time.Time, host mustardramp.HostName) []mustardramp.Record {
	e := m.members[host]
	if e == nil {
		return nil
	}
	if e.silent.IsZero() {
		e.silent = now
	}
	avoided := e.avoided(now)
	e.missed = now
	m.changed = m.changed || e.avoided(now) != avoided
	// A probe that failed once confirms the doubt of another observer.
	confirms := e.observers() > 0 && m.probes[host]
	if !confirms && now.Sub(e.silent) < suspectAfter {
		return nil
	}
	if e.doubts[m.self.Name] == e.Host.version() {
		return nil
	}
	return m.doubt(now, e, false)
}

// doubt makes or withdraws this host's doubt.
func (m *Members) doubt(now time.Time, e *member, withdrawn bool) []mustardramp.Record {
	m.sequence++
	d := doubt{Host: e.Host.Name, Observer: m.self.Name, About: e.Host.version(), Withdrawn: withdrawn}
	m.learnDoubt(now, d)
	version := mustardramp.Version{Epoch: uint64(m.self.Incarnation), Sequence: m.sequence}
	return []mustardramp.Record{d.record(version)}
}

// Step judges all hosts at a time. It returns the keys of records that may be
// forgotten.
func (m *Members) Step(now time.Time) []string {
	var gone []string
	for name, e := range m.members {
		m.judge(now, e)
		if e.Standing != Suspect {
			delete(m.probes, name)
		}
		if e.Standing >= Draining && now.Sub(e.Since) >= forgetAfter {
			gone = append(gone, string(name))
			for observer := range e.doubts {
				gone = append(gone, string(name)+"?"+string(observer))
			}
			delete(m.members, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// IsControl reports whether a host is known as a control host.
func (m *Members) IsControl(host mustardramp.HostName) bool {
	e := m.members[host]
	return e != nil && e.Host.Role == Control
}

// At returns the host that answers at an address, the newest start first.
func (m *Members) At(address netip.AddrPort) (mustardramp.HostName, bool) {
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

// Turned returns the hosts whose standing has changed since the last call.
func (m *Members) Turned() []Member {
	turned := m.turned
	m.turned = nil
	return turned
}

// List returns all hosts but this one, by name.
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
