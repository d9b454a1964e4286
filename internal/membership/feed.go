package membership

import (
	"cmp"
	"slices"
	"time"
)

// feedLimit bounds the entry hosts that one control host feeds. Five to seven
// control hosts feed all hosts of today's fleets; of a larger one they feed a
// part, from which changes spread by the other links.
const feedLimit = 64

// Fed returns the entry hosts that this control host sends changes to itself:
// those to which no other control host is nearer. An entry host feeds none.
func (m *Members) Fed(now time.Time) []Host {
	if m.self.Role != Control {
		return nil
	}
	alive := m.alive(now)
	feeders := append(alive.where(func(h *Host) bool { return h.Role == Control }), &m.self)
	var fed []Host
	for _, h := range alive {
		if h.Role == Entry && feeders.nearest(h).Name == m.self.Name {
			fed = append(fed, *h)
		}
	}
	slices.SortFunc(fed, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return fed[:min(len(fed), feedLimit)]
}

// nearest returns the host nearest to another, by hash among those equally far.
func (h hosts) nearest(to *Host) *Host {
	return slices.MinFunc(h, func(a, b *Host) int {
		return cmp.Or(
			cmp.Compare(a.Place.To(to.Place), b.Place.To(to.Place)),
			cmp.Compare(score(string(to.Name), string(a.Name)), score(string(to.Name), string(b.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
}
