// Package roster merges the announcements of backends into the list of backends of
// each service. Roster has no side effects: it takes announcements, records of
// other hosts and a time, and returns the records to send to other hosts. Table
// makes it safe for concurrent use.
package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Durations and limits of the roster.
const (
	// DefaultLease is the lease of an announcement that states none.
	DefaultLease = 15 * time.Second
	// MinLease is the shortest lease that a backend may request.
	MinLease = time.Second
	// MaxLease is the longest lease that a backend may request.
	MaxLease = 5 * time.Minute
	// SuspectAfter is how long all work must have failed at a backend before a
	// host that does not hold its lease ends the lease.
	SuspectAfter = 10 * time.Second
	// DropAfter is how long all real work must have failed at a backend whose
	// lease expired before the backend is dropped. It is no shorter than a default
	// lease, so that the next announcement can come first.
	DropAfter = DefaultLease
	// ForgetAfter is how long a backend whose lease expired is kept if no work is
	// sent to it.
	ForgetAfter = 10 * time.Minute
	// GoneRetention is how long a backend that is gone is remembered, so that an
	// older record does not restore it.
	GoneRetention = time.Hour
	// MaxSlots bounds the slots of one backend.
	MaxSlots = 1 << 16
	// MaxConnections bounds the connections of one backend.
	MaxConnections = 1 << 20
	// MaxBackends bounds the backends that one roster holds.
	MaxBackends = 1 << 17
)

// defaultFloor is the floor of a service whose contract is not known.
const defaultFloor mustardramp.Percent = 70

// WorkTimes holds the times at which real requests last ended at a backend, as far
// as the fleet knows. Work in this package means such requests.
type WorkTimes struct {
	// LastSuccess is the time of the last complete answer, or zero.
	LastSuccess time.Time
	// LastFailure is the time of the last failure, or zero.
	LastFailure time.Time
}

// Roster holds the backends that one host knows. Its zero value is empty and ready
// to use. It is not safe for concurrent use.
type Roster struct {
	// Floor returns the floor of a service; nil stands for defaultFloor. Silent
	// backends are not forgotten while the others are below the floor.
	Floor func(mustardramp.ServiceName) mustardramp.Percent

	entries map[mustardramp.BackendID]*entry
	// services holds the same entries by service.
	services map[mustardramp.ServiceName]map[mustardramp.BackendID]*entry
	// addresses holds the newest incarnation at each address across services,
	// because an address can pass from one service to another.
	addresses map[netip.AddrPort]*entry
	// departed holds the newest departure of each instance.
	departed map[string]departure
	// changed holds the services whose view may have changed since the last call
	// of Changed.
	changed map[mustardramp.ServiceName]bool
}

// entry is the state of one backend.
type entry struct {
	// statement is the newest known statement. Its version only increases.
	statement statement
	// leaseEnd is the end of the lease at this host, or zero if this host holds
	// no lease.
	leaseEnd time.Time
	// knownSince is the time at which this host learned of the incarnation.
	knownSince time.Time
	// leaseExpiredAt is the time at which this host learned that the lease
	// expired. It is set exactly while statement.LeaseExpired is.
	leaseExpiredAt time.Time
	// suspected is the version of the last statement whose lease this host
	// ended.
	suspected mustardramp.Version
	// dropped is true if the backend was removed from the view without having
	// announced that it is gone. Only a newer statement resets it.
	dropped bool
	// goneAt is the time at which this host learned that the backend is gone, or
	// dropped it. It is zero for any other backend.
	goneAt time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{}
}

// View lists the backends of a service, sorted by id. It leaves out backends that
// are gone, dropped, replaced at their address or departed.
func (r *Roster) View(service mustardramp.ServiceName) []mustardramp.Backend {
	var out []mustardramp.Backend
	for _, e := range r.services[service] {
		if e.isVisible() && !r.isReplaced(e) && !r.HasDeparted(e.statement.Backend) {
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

// LeaseExpired reports whether the lease of a backend expired without a newer
// announcement.
func (r *Roster) LeaseExpired(id mustardramp.BackendID) bool {
	e := r.entries[id]
	return e != nil && e.statement.LeaseExpired
}

// isVisible reports whether the backend is neither dropped nor gone.
func (e *entry) isVisible() bool {
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

// put replaces the statement of a backend with a newer one.
func (r *Roster) put(now time.Time, s statement) *entry {
	r.init()
	b := s.Backend
	e := r.entries[b.ID]
	if e == nil {
		e = &entry{knownSince: now}
		r.entries[b.ID] = e
		r.serviceEntries(b.Service)[b.ID] = e
	}
	if e.statement.Backend.Incarnation != b.Incarnation {
		e.knownSince = now
		e.leaseEnd = time.Time{}
	}
	e.statement = s
	e.dropped = false
	e.leaseExpiredAt = time.Time{}
	e.goneAt = time.Time{}
	if s.LeaseExpired {
		e.leaseExpiredAt = now
	}
	if b.State == mustardramp.Gone {
		e.goneAt = now
	}
	r.assignAddress(e)
	r.changed[b.Service] = true
	return e
}

// serviceEntries returns the entries of a service, which may be changed.
func (r *Roster) serviceEntries(name mustardramp.ServiceName) map[mustardramp.BackendID]*entry {
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

// floor returns the floor of a service, or defaultFloor if Floor is nil.
func (r *Roster) floor(service mustardramp.ServiceName) mustardramp.Percent {
	if r.Floor == nil {
		return defaultFloor
	}
	return r.Floor(service)
}
