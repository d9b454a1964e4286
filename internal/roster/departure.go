package roster

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// departure is the newest incarnation of an instance that left for good.
type departure struct {
	incarnation mustardramp.Incarnation
	// at is the time at which this host learned of the departure.
	at time.Time
}

// Depart records that an incarnation of an instance, and all earlier ones, take no
// new work at any address. It may be called before the incarnation is announced.
func (r *Roster) Depart(now time.Time, instance string, incarnation mustardramp.Incarnation) {
	r.init()
	if known, ok := r.departed[instance]; ok && known.incarnation >= incarnation {
		return
	}
	r.departed[instance] = departure{incarnation: incarnation, at: now}
	for _, e := range r.entries {
		if b := e.statement.Backend; b.Instance == instance && b.Incarnation <= incarnation {
			r.changed[b.Service] = true
		}
	}
	for name, d := range r.departed {
		if now.Sub(d.at) > GoneRetention {
			delete(r.departed, name)
		}
	}
}

// Incarnation returns the newest known incarnation of an instance, whether it
// departed or not.
func (r *Roster) Incarnation(instance string) (mustardramp.Incarnation, bool) {
	d, found := r.departed[instance]
	newest := d.incarnation
	for _, e := range r.entries {
		if b := e.statement.Backend; b.Instance == instance {
			newest, found = max(newest, b.Incarnation), true
		}
	}
	return newest, found
}

// HasDeparted reports whether a departure of the incarnation or of a later one is
// recorded.
func (r *Roster) HasDeparted(b mustardramp.Backend) bool {
	if b.Instance == "" {
		return false
	}
	d, ok := r.departed[b.Instance]
	return ok && b.Incarnation <= d.incarnation
}

// assignAddress makes the entry the holder of its address unless a later
// incarnation holds the address.
func (r *Roster) assignAddress(e *entry) {
	b := e.statement.Backend
	current := r.addresses[b.Address]
	if current == nil || current == e {
		r.addresses[b.Address] = e
		return
	}
	if current.statement.Backend.Incarnation > b.Incarnation {
		return
	}
	r.addresses[b.Address] = e
	r.changed[current.statement.Backend.Service] = true
}

// isReplaced reports whether a later incarnation of another service holds the
// address of the entry.
func (r *Roster) isReplaced(e *entry) bool {
	b := e.statement.Backend
	current := r.addresses[b.Address]
	return current != nil && current != e && current.statement.Backend.Incarnation > b.Incarnation
}
