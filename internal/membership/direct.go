package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// maxDirectTargets bounds the number of entry hosts to which one control host
// sends changes directly. Five to seven control hosts cover the fleets in use. In a
// larger fleet they cover a part, from which changes spread over the other links.
const maxDirectTargets = 64

// subscriptionTTL is the time for which a control host sends changes directly to a
// serving host that asked it for the confirmed state. It is longer than most network
// cuts last.
const subscriptionTTL = time.Minute

// Subscribe records that a serving entry host asked this control host for the
// confirmed state, and reports whether its subscription begins. A host asks when no
// control host keeps it up to date, for example because it is stopping or because the
// nearest one is cut off from a quorum.
func (m *Members) Subscribe(now time.Time, host mustardramp.HostName) bool {
	e := m.members[host]
	if e == nil {
		return false
	}
	begins := !e.isSubscribed(now)
	e.subscribedAt = now
	return begins
}

// isSubscribed reports whether the host asked within subscriptionTTL.
func (e *member) isSubscribed(now time.Time) bool {
	return !e.subscribedAt.IsZero() && now.Sub(e.subscribedAt) < subscriptionTTL
}

// DirectTargets returns the entry hosts to which this control host sends changes
// directly: those to which no other control host is nearer, and then those that
// asked it lately. It returns none on an entry host.
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
	sortByName(targets)
	targets = append(targets, m.subscribers(now, targets)...)
	return targets[:min(len(targets), maxDirectTargets)]
}

// subscribers returns the entry hosts that asked this host within subscriptionTTL,
// whatever their standing, except the given ones.
func (m *Members) subscribers(now time.Time, except []Host) []Host {
	var out []Host
	for _, e := range m.members {
		isKnown := func(h Host) bool { return h.Name == e.Host.Name }
		if e.Host.Role == Entry && e.isSubscribed(now) && !slices.ContainsFunc(except, isKnown) {
			out = append(out, e.Host)
		}
	}
	sortByName(out)
	return out
}

func sortByName(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
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
