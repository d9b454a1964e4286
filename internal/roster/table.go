package roster

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Views is a snapshot of the backends of each service. It is not changed after it
// is built.
type Views map[mustardramp.ServiceName][]mustardramp.Backend

// Table is a Roster for concurrent use. Readers load a snapshot through an atomic
// pointer; a mutex serializes writers. Its zero value is ready to use, and sends
// records to other hosts once Send is set.
type Table struct {
	// Send is called with each record for other hosts, without the lock of the
	// table. It must be set before the first call, or be nil.
	Send func(mustardramp.Record)
	// Floor is the Floor of the roster. It must be set before the first call, or be
	// nil.
	Floor func(mustardramp.ServiceName) mustardramp.Percent

	mu     sync.Mutex
	roster Roster
	views  atomic.Pointer[Views]
}

// Announce calls Roster.Announce and sends the records.
func (t *Table) Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error {
	return t.update(func(r *Roster) ([]mustardramp.Record, error) { return r.Announce(now, b, lease) })
}

// Leave calls Roster.Leave and sends the records.
func (t *Table) Leave(now time.Time, b mustardramp.Backend) error {
	return t.update(func(r *Roster) ([]mustardramp.Record, error) { return r.Leave(now, b) })
}

// Depart calls Roster.Depart.
func (t *Table) Depart(now time.Time, instance string, incarnation mustardramp.Incarnation) {
	// The function returns no records and no error.
	_ = t.update(func(r *Roster) ([]mustardramp.Record, error) {
		r.Depart(now, instance, incarnation)
		return nil, nil
	})
}

// Size returns the number of backends that the table holds, those that are gone and not
// forgotten yet included.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.roster.entries)
}

// HasDeparted calls Roster.HasDeparted.
func (t *Table) HasDeparted(b mustardramp.Backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roster.HasDeparted(b)
}

// Incarnation calls Roster.Incarnation.
func (t *Table) Incarnation(instance string) (mustardramp.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roster.Incarnation(instance)
}

// Merge calls Roster.Merge and sends the records.
func (t *Table) Merge(now time.Time, record mustardramp.Record) error {
	return t.update(func(r *Roster) ([]mustardramp.Record, error) { return r.Merge(now, record) })
}

// Expire calls Roster.Expire and sends the records.
func (t *Table) Expire(now time.Time, work func(mustardramp.BackendID) WorkTimes) error {
	return t.update(func(r *Roster) ([]mustardramp.Record, error) { return r.Expire(now, work) })
}

// View lists the backends of a service as Roster.View does. The caller must not
// change the list.
func (t *Table) View(service mustardramp.ServiceName) []mustardramp.Backend {
	return t.Views()[service]
}

// Views returns the current snapshot of all services.
func (t *Table) Views() Views {
	if v := t.views.Load(); v != nil {
		return *v
	}
	return nil
}

// Services lists the services that have a backend, in no order.
func (t *Table) Services() []mustardramp.ServiceName {
	views := t.Views()
	out := make([]mustardramp.ServiceName, 0, len(views))
	for service := range views {
		out = append(out, service)
	}
	return out
}

// update calls fn under the lock and sends the returned records without it.
func (t *Table) update(fn func(*Roster) ([]mustardramp.Record, error)) error {
	records, err := t.updateLocked(fn)
	if t.Send == nil {
		return err
	}
	for _, record := range records {
		t.Send(record)
	}
	return err
}

// updateLocked calls fn under the lock and publishes the changed views.
func (t *Table) updateLocked(fn func(*Roster) ([]mustardramp.Record, error)) ([]mustardramp.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.Floor = t.Floor
	records, err := fn(&t.roster)
	t.publishViews(t.roster.Changed())
	return records, err
}

// publishViews replaces the snapshot with one that has the current views of the
// changed services.
func (t *Table) publishViews(changed []mustardramp.ServiceName) {
	if len(changed) == 0 {
		return
	}
	old := t.Views()
	next := make(Views, len(old)+len(changed))
	for service, view := range old {
		next[service] = view
	}
	for _, service := range changed {
		if view := t.roster.View(service); len(view) > 0 {
			next[service] = view
		} else {
			delete(next, service)
		}
	}
	t.views.Store(&next)
}
