package roster

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Expire ends the leases that expired at this host, drops unreachable backends
// and returns the records to send to other hosts. The function work returns when
// real work last ended at a backend; if it is nil, nothing is known.
//
// An expired lease proves only that the backend's announcements reach no host.
// The backend is dropped if real work fails there as well, or after ForgetAfter
// if no work was sent and the other backends make up the floor. Any host may
// suspect a backend whose work fails everywhere and end its lease, because the
// host that held the lease may have stopped at the same time. The next
// announcement restores the lease.
func (r *Roster) Expire(now time.Time, work func(mustardramp.BackendID) WorkTimes) ([]mustardramp.Record, error) {
	var out []mustardramp.Record
	for _, e := range r.entries {
		w := WorkTimes{}
		if work != nil {
			w = work(e.statement.Backend.ID)
		}
		if e.isLeaseOverdue(now) || e.isSuspect(now, w) {
			r.expireLease(now, e)
			records, err := e.statement.records()
			if err != nil {
				return out, err
			}
			out = append(out, records...)
		}
		r.dropUnreachable(now, e, w)
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > GoneRetention {
			r.remove(e)
		}
	}
	return out, nil
}

// isLeaseOverdue reports whether this host holds the lease and its end has passed.
func (e *entry) isLeaseOverdue(now time.Time) bool {
	if e.leaseEnd.IsZero() || e.statement.LeaseExpired || !e.isVisible() {
		return false
	}
	return now.After(e.leaseEnd)
}

// isSuspect reports whether all work has failed at the backend for so long that
// the host that held its lease may have stopped. A statement is suspected only
// once.
func (e *entry) isSuspect(now time.Time, w WorkTimes) bool {
	if e.statement.LeaseExpired || !e.isVisible() || e.suspected == e.statement.version() {
		return false
	}
	recent := now.Sub(w.LastFailure) < SuspectAfter
	lastSuccess := e.knownSince
	if w.LastSuccess.After(lastSuccess) {
		lastSuccess = w.LastSuccess
	}
	return recent && now.Sub(lastSuccess) > SuspectAfter
}

// hasLeft reports whether the backend is leaving and its lease expired more than
// DropAfter ago.
func (e *entry) hasLeft(now time.Time) bool {
	leaving := e.statement.Backend.State == mustardramp.Leaving
	return leaving && now.Sub(e.leaseExpiredAt) > DropAfter
}

// expireLease records that the lease of a backend expired.
func (r *Roster) expireLease(now time.Time, e *entry) {
	next := e.statement
	e.suspected = next.version()
	next.LeaseExpired = true
	r.put(now, next)
	e.leaseEnd = time.Time{}
}

// dropUnreachable drops a backend whose lease expired if it left, if work fails
// there, or if it has been silent for long.
func (r *Roster) dropUnreachable(now time.Time, e *entry, w WorkTimes) {
	if !e.statement.LeaseExpired || !e.isVisible() {
		return
	}
	if !e.hasLeft(now) && !e.isFailing(now, w) && !r.canForget(now, e, w) {
		return
	}
	e.dropped = true
	e.goneAt = now
	r.changed[e.statement.Backend.Service] = true
}

// isFailing reports whether all real work has failed for longer than DropAfter at a
// backend whose lease expired.
func (e *entry) isFailing(now time.Time, w WorkTimes) bool {
	if !w.LastFailure.After(e.leaseExpiredAt) || w.LastSuccess.After(w.LastFailure) {
		return false
	}
	lastSuccess := e.leaseExpiredAt
	if w.LastSuccess.After(lastSuccess) {
		lastSuccess = w.LastSuccess
	}
	return now.Sub(lastSuccess) > DropAfter
}

// canForget reports whether a backend has been silent for longer than ForgetAfter
// and the backends of its service that hold a lease make up the floor.
func (r *Roster) canForget(now time.Time, e *entry, w WorkTimes) bool {
	if now.Sub(e.leaseExpiredAt) <= ForgetAfter || now.Sub(w.LastSuccess) <= ForgetAfter {
		return false
	}
	if e.statement.Backend.State != mustardramp.Serving {
		return true
	}
	service := e.statement.Backend.Service
	var total, leased mustardramp.Slots
	for _, other := range r.services[service] {
		if !other.isVisible() || other.statement.Backend.State != mustardramp.Serving {
			continue
		}
		total += other.statement.Backend.Slots
		if !other.statement.LeaseExpired {
			leased += other.statement.Backend.Slots
		}
	}
	return float64(leased) >= r.floor(service).Of(float64(total))
}
