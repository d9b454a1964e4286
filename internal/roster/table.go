package roster

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Views holds the backends of each service at one time. It is never changed
// after it is built.
type Views map[mustardramp.ServiceName][]mustardramp.Backend

// Table is a Roster for many goroutines. Readers take a snapshot through an
// atomic pointer; writers take turns. Its zero value works once Pass is set or
// when records need not travel.
type Table struct {
	// Pass is given each record that is to travel, outside of the table's
	// lock. It is set before the first call, or nil.
	Pass func(mustardramp.Record)
	// Floor is handed to the roster. It is set before the first call, or nil.
	Floor func(mustardramp.ServiceName) mustardramp.Percent

	mu     sync.Mutex
	roster Roster
	views  atomic.Pointer[Views]
}

// Announce is Roster.Announce.
func (t *Table) Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error {
	return t.write(func(r *Roster) ([]mustardramp.Record, error) { return r.Announce(now, b, lease) })
}

// Leave is Roster.Leave.
func (t *Table) Leave(now time.Time, id mustardramp.BackendID, dispatched time.Time) error {
	return t.write(func(r *Roster) ([]mustardramp.Record, error) { return r.Leave(now, id, dispatched) })
}

// Depart is Roster.Depart.
func (t *Table) Depart(now time.Time, instance string, incarnation mustardramp.Incarnation) {
	// Without a record there is nothing that could fail.
	_ = t.write(func(r *Roster) ([]mustardramp.Record, error) {
		r.Depart(now, instance, incarnation)
		return nil, nil
	})
}

// Incarnation is Roster.Incarnation.
func (t *Table) Incarnation(instance string) (mustardramp.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roster.Incarnation(instance)
}

// Merge is Roster.Merge.
func (t *Table) Merge(now time.Time, record mustardramp.Record) error {
	return t.write(func(r *Roster) ([]mustardramp.Record, error) { return r.Merge(now, record) })
}

// Expire is Roster.Expire.
func (t *Table) Expire(now time.Time, work func(mustardramp.BackendID) Work) error {
	return t.write(func(r *Roster) ([]mustardramp.Record, error) { return r.Expire(now, work) })
}

// View lists the backends of a service that are not gone, by id. The caller
// does not change the list.
func (t *Table) View(service mustardramp.ServiceName) []mustardramp.Backend {
	return t.Views()[service]
}

// Views returns the backends of all services.
func (t *Table) Views() Views {
	if v := t.views.Load(); v != nil {
		return *v
	}
	return nil
}

// Services lists the services with at least one backend.
func (t *Table) Services() []mustardramp.ServiceName {
	views := t.Views()
	out := make([]mustardramp.ServiceName, 0, len(views))
	for service := range views {
		out = append(out, service)
	}
	return out
}

func (t *Table) write(step func(*Roster) ([]mustardramp.Record, error)) error {
	records, err := t.locked(step)
	if t.Pass == nil {
		return err
	}
	for _, record := range records {
		t.Pass(record)
	}
	return err
}

func (t *Table) locked(step func(*Roster) ([]mustardramp.Record, error)) ([]mustardramp.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.Floor = t.Floor
	records, err := step(&t.roster)
	t.publish(t.roster.Changed())
	return records, err
}

// publish replaces the snapshot by one with the services' present views.
func (t *Table) publish(changed []mustardramp.ServiceName) {
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
