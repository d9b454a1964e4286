// Package roster merges what backends announce of themselves into the list of
// backends of each service. Roster is pure: announcements, records of other
// hosts and a time go in, records to pass on come out. Table makes it safe for
// many goroutines.
package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Spans of time and sizes of the roster.
const (
	// DefaultLease stands in for an announcement without a lease.
	DefaultLease = 15 * time.Second
	// MinLease is the shortest lease that a backend may ask for.
	MinLease = time.Second
	// MaxLease is the longest lease that a backend may ask for.
	MaxLease = 5 * time.Minute
	// DoubtAfter is how long all work must have failed at a backend before a
	// host that does not hold its lease takes the lease for lost.
	DoubtAfter = 10 * time.Second
	// DeadAfter is how long a backend whose lease ran out must also have
	// failed all real work before it is dropped. It is no shorter than a
	// default lease, so that an announcement can come first.
	DeadAfter = DefaultLease
	// ForgetAfter is how long a backend whose lease ran out is kept when no
	// work was sent to it.
	ForgetAfter = 10 * time.Minute
	// KeepGone is how long a backend that is gone is remembered, so that an
	// older record does not bring it back.
	KeepGone = time.Hour
	// MaxSlots bounds the slots of one backend.
	MaxSlots = 1 << 16
	// MaxConnections bounds the connections of one backend.
	MaxConnections = 1 << 20
	// MaxBackends bounds the backends that one roster holds.
	MaxBackends = 1 << 17
)

// defaultFloor is the floor of a service whose contract is not known.
const defaultFloor mustardramp.Percent = 70

// Work says when real work last ended at a backend, as far as the fleet knows.
type Work struct {
	// Good is the time of the last whole answer, or zero.
	Good time.Time
	// Bad is the time of the last failure, or zero.
	Bad time.Time
}

// Roster is the backends that one host knows. Its zero value works. It is not
// safe for concurrent use.
type Roster struct {
	// Floor returns a service's floor; nil stands for a default. Backends whose
	// leases ran out are not forgotten below it.
	Floor func(mustardramp.ServiceName) mustardramp.Percent

	entries map[mustardramp.BackendID]*entry
	// services holds the same entries by service.
	services map[mustardramp.ServiceName]map[mustardramp.BackendID]*entry
	// addresses holds the newest incarnation at each address, of whatever
	// service: an address can pass from one service to another.
	addresses map[netip.AddrPort]*entry
	// departed holds the newest incarnation of each instance whose leaving is
	// on record.
	departed map[string]departure
	// changed collects the services whose view changed since the last call of
	// Changed.
	changed map[mustardramp.ServiceName]bool
}

// entry is one backend.
type entry struct {
	// statement is the newest one; it only moves forward.
	statement statement
	// lease is when the lease held at this host runs out; zero when this host
	// holds none.
	lease time.Time
	// since is when this host learned of the incarnation.
	since time.Time
	// lostAt is when this host learned that the lease ran out. It is set
	// exactly while statement.Lost is.
	lostAt time.Time
	// doubted is the version of the last statement that this host took for
	// lost.
	doubted mustardramp.Version
	// dropped is true when the backend is no longer in the view although it
	// never said that it left. Only a newer statement sets it back.
	dropped bool
	// goneAt is when the backend was gone or dropped, or zero.
	goneAt time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{}
}

// View lists the backends of a service that are not gone, by id.
func (r *Roster) View(service mustardramp.ServiceName) []mustardramp.Backend {
	var out []mustardramp.Backend
	for _, e := range r.services[service] {
		if e.visible() && !r.replaced(e) && !r.hasDeparted(e.statement.Backend) {
			out = append(out, e.statement.Backend)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Changed returns the services whose view may have changed since the last
// call.
func (r *Roster) Changed() []mustardramp.ServiceName {
	out := make([]mustardramp.ServiceName, 0, len(r.changed))
	for service := range r.changed {
		out = append(out, service)
	}
	clear(r.changed)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Lost reports whether the lease of a backend ran out without word of its end.
func (r *Roster) Lost(id mustardramp.BackendID) bool {
	e := r.entries[id]
	return e != nil && e.statement.Lost
}

func (e *entry) visible() bool {
	return !e.dropped && e.statement.Backend.State != mustardramp.Gone
}

func (r *Roster) init() {
	if r.entries != nil {
		return
	}
	r.entries = map[mustardramp.BackendID]*entry{}
	r.services = map[mustardramp.ServiceName]map[mustardramp.BackendID]*entry{}
	r.addresses = map[netip.AddrPort]*entry{}
	r.departed = map[string]departure{}
	r.changed = map[mustardramp.ServiceName]bool{}
}

// put replaces the statement of a backend by a newer one.
func (r *Roster) put(now time.Time, s statement) *entry {
	r.init()
	b := s.Backend
	e := r.entries[b.ID]
	if e == nil {
		e = &entry{since: now}
		r.entries[b.ID] = e
		r.service(b.Service)[b.ID] = e
	}
	if e.statement.Backend.Incarnation != b.Incarnation {
		e.since = now
		e.lease = time.Time{}
	}
	e.statement = s
	e.dropped = false
	e.lostAt = time.Time{}
	e.goneAt = time.Time{}
	if s.Lost {
		e.lostAt = now
	}
	if b.State == mustardramp.Gone {
		e.goneAt = now
	}
	r.occupy(e)
	r.changed[b.Service] = true
	return e
}

func (r *Roster) service(name mustardramp.ServiceName) map[mustardramp.BackendID]*entry {
	m := r.services[name]
	if m == nil {
		m = map[mustardramp.BackendID]*entry{}
		r.services[name] = m
	}
	return m
}

func (r *Roster) remove(e *entry) {
	b := e.statement.Backend
	delete(r.entries, b.ID)
	if r.addresses[b.Address] == e {
		delete(r.addresses, b.Address)
	}
	delete(r.services[b.Service], b.ID)
	if len(r.services[b.Service]) == 0 {
		delete(r.services, b.Service)
	}
	r.changed[b.Service] = true
}

func (r *Roster) floor(service mustardramp.ServiceName) mustardramp.Percent {
	if r.Floor == nil {
		return defaultFloor
	}
	return r.Floor(service)
}
