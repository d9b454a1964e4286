package roster

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Announce records an announcement that a backend made to this host, and starts
// or renews the backend's lease at this host. It returns the records to send to
// other hosts: none if the announcement only renews the lease. The error has one
// of the classes of this package.
func (r *Roster) Announce(now time.Time, b mustardramp.Backend, lease time.Duration) ([]mustardramp.Record, error) {
	if lease == 0 {
		lease = DefaultLease
	}
	if err := checkBackend(b); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	if err := checkLease(lease); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	e := r.entries[b.ID]
	if e == nil && len(r.entries) >= MaxBackends {
		return nil, ErrFull.New("%d backends are known", len(r.entries))
	}
	next := statement{Backend: b}
	if e != nil {
		if err := checkOrder(e.statement, b); err != nil {
			return nil, err
		}
		if e.statement.hasSameContent(next) && !e.dropped {
			e.statement = next
			e.leaseEnd = now.Add(lease)
			return nil, nil
		}
	}
	e = r.put(now, next)
	e.leaseEnd = now.Add(lease)
	return next.records()
}

// Leave records that the incarnation of a backend is leaving, as it stated in an
// answer. The host may not have heard of that incarnation yet, because another host
// granted the slot. A later incarnation stays as it is.
func (r *Roster) Leave(now time.Time, b mustardramp.Backend) ([]mustardramp.Record, error) {
	if err := checkBackend(b); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	e := r.entries[b.ID]
	if e == nil && len(r.entries) >= MaxBackends {
		return nil, ErrFull.New("%d backends are known", len(r.entries))
	}
	next := statement{Backend: b}
	if e != nil {
		known := e.statement.Backend
		if known.Incarnation > b.Incarnation || known.Incarnation == b.Incarnation && known.State >= mustardramp.Leaving {
			return nil, nil
		}
		if known.Incarnation == b.Incarnation {
			next = e.statement
		}
	}
	next.Backend.State = mustardramp.Leaving
	r.put(now, next)
	return next.records()
}

// Merge records a record of another host. It returns the record of this host if
// that is newer and has other content.
func (r *Roster) Merge(now time.Time, record mustardramp.Record) ([]mustardramp.Record, error) {
	next, err := parse(record)
	if err != nil {
		return nil, err
	}
	e := r.entries[next.Backend.ID]
	if e == nil {
		if len(r.entries) >= MaxBackends {
			return nil, ErrFull.New("%d backends are known", len(r.entries))
		}
		r.put(now, next)
		return nil, nil
	}
	if next.version().After(e.statement.version()) {
		r.put(now, next)
		return nil, nil
	}
	if e.statement.hasSameContent(next) {
		return nil, nil
	}
	return e.statement.records()
}

// records returns the record of the statement as a list.
func (s statement) records() ([]mustardramp.Record, error) {
	record, err := s.record()
	if err != nil {
		return nil, err
	}
	return []mustardramp.Record{record}, nil
}
