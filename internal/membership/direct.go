package membership

import (
	"cmp"
	"slices"
	"time"
)

// maxDirectTargets bounds the number of entry hosts to which one control host
// sends changes directly. Five to seven control hosts cover the fleets in use. In a
// larger fleet they cover a part, from which changes spread over the other links.
const maxDirectTargets = 64

// DirectTargets returns the entry hosts to which this control host sends changes
// directly: those to which no other control host is nearer. It returns none on an
// entry host.
func (m *Members) DirectTargets(now time.Time) []Host {
	if m.self.Role != Control {
		return nil
	}
	alive := m.linkCandidates(now)
	senders := append(alive.filter(func(h *Host) bool { return h.Role == Control }), &m.self)
	var targets []Host
	for _, h := range alive {
		if h.Role == Entry && senders.nearest(h).Name == m.self.Name {
			targets = append(targets, *h)
		}
	}
	slices.SortFunc(targets, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return targets[:min(len(targets), maxDirectTargets)]
}

// nearest returns the host nearest to another. A hash decides between hosts at the
// same distance.
func (h hostList) nearest(to *Host) *Host {
	return slices.MinFunc(h, func(a, b *Host) int {
		return cmp.Or(
			cmp.Compare(a.Place.To(to.Place), b.Place.To(to.Place)),
			cmp.Compare(score(string(to.Name), string(a.Name)), score(string(to.Name), string(b.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
}
