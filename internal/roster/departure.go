package roster

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// departure is the newest incarnation of an instance that leaves for good.
type departure struct {
	incarnation mustardramp.Incarnation
	// at is when this host learned of it.
	at time.Time
}

// Depart takes in that an incarnation of an instance, and all earlier ones,
// take no new work, at whatever address they are. The word may come before the
// incarnation's own announcement.
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
		if now.Sub(d.at) > KeepGone {
			delete(r.departed, name)
		}
	}
}

// Incarnation returns the newest incarnation of an instance that is known, one
// that departed included.
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

func (r *Roster) hasDeparted(b mustardramp.Backend) bool {
	if b.Instance == "" {
		return false
	}
	d, ok := r.departed[b.Instance]
	return ok && b.Incarnation <= d.incarnation
}

// occupy notes the entry as the holder of its address unless a later
// incarnation holds it.
func (r *Roster) occupy(e *entry) {
	b := e.statement.Backend
	holder := r.addresses[b.Address]
	if holder == nil || holder == e {
		r.addresses[b.Address] = e
		return
	}
	if holder.statement.Backend.Incarnation > b.Incarnation {
		return
	}
	r.addresses[b.Address] = e
	r.changed[holder.statement.Backend.Service] = true
}

// replaced reports whether a later incarnation of another service holds the
// entry's address.
func (r *Roster) replaced(e *entry) bool {
	b := e.statement.Backend
	holder := r.addresses[b.Address]
	return holder != nil && holder != e && holder.statement.Backend.Incarnation > b.Incarnation
}
