package exchange

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

const (
	// contactTime is the time without a word of a control host after which an entry
	// host asks one: one heartbeat of a feed and a half.
	contactTime = 3 * feedHeartbeat / 2
	// mostContactTime bounds that time for a host to which answers bring nothing new:
	// control hosts feed a part of a large fleet only.
	mostContactTime = 2 * contactTime
)

// contact decides when an entry host asks a control host for the present state:
// until it is ready, and again once it has heard no control host for a time. It
// answers the load in which a cut ends: the views of both sides take seconds to
// merge, and changes do not wait for them. Its zero value asks at once.
type contact struct {
	heard time.Time
	// pause is the time without a word after which the host asks; 0 is
	// contactTime.
	pause time.Duration
	// next is the least time of the next question.
	next time.Time
	turn int
}

// hear takes in a word of a control host that a quorum confirms.
func (c *contact) hear(now time.Time) {
	c.heard, c.pause = now, contactTime
}

// answered takes in the present state.
func (c *contact) answered(now time.Time, isNews bool) {
	c.heard, c.turn = now, 0
	c.pause = min(2*max(c.pause, contactTime), mostContactTime)
	if isNews {
		c.pause = contactTime
	}
}

// due returns when the host asks next.
func (c *contact) due(isReady bool) time.Time {
	if !isReady {
		return c.next
	}
	return later(c.next, c.heard.Add(max(c.pause, contactTime)))
}

// Inquire returns the control host to ask for the present state now, if any, and
// when to look again.
func (c *Core) Inquire(now time.Time) (netip.AddrPort, time.Time) {
	if due := c.contact.due(c.Node.Ready()); due.After(now) {
		return netip.AddrPort{}, due
	}
	c.contact.next = now.Add(askPause)
	hosts := c.controlHosts()
	if len(hosts) == 0 {
		return netip.AddrPort{}, c.contact.next
	}
	c.contact.turn++
	return hosts[(c.contact.turn-1)%len(hosts)], c.contact.next
}

// controlHosts lists the control hosts that are known, nearest first, and those
// that are taken for lost last: after a cut all of them are. The seeds may be the
// only way to one after a start.
func (c *Core) controlHosts() []netip.AddrPort {
	self := c.Members.Self().Place
	members := c.Members.List()
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return cmp.Compare(self.To(a.Host.Place), self.To(b.Host.Place))
	})
	var all, lost []netip.AddrPort
	for _, m := range members {
		switch {
		case m.Host.Role != membership.Control:
		case m.Standing == membership.Lost:
			lost = append(lost, m.Host.Address)
		default:
			all = append(all, m.Host.Address)
		}
	}
	for _, address := range append(slices.Clone(c.Seeds), lost...) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// question returns what the host asks a control host for the present state with.
func (c *Core) question() question {
	return question{State: c.Node.State(), Statement: c.Members.Statement()}
}

// Asked takes in who asks, and returns the records that are news. It answers the
// loss of all control hosts: one that has just started learns from the questions
// which hosts to send changes to, before any catch-up.
func (c *Core) Asked(now time.Time, q question) []mustardramp.Record {
	if q.Statement.Kind != mustardramp.RecordHost || q.Statement.Key == "" {
		return nil
	}
	return c.Offer(now, q.Statement)
}

// Told takes in the state that a control host confirmed. It returns the records
// that are news.
func (c *Core) Told(now time.Time, control netip.AddrPort, state confirmedState) ([]mustardramp.Record, error) {
	records, err := c.Node.unpackStart(state.Records)
	if err != nil {
		return nil, err
	}
	news := c.Offer(now, records...)
	c.Node.Confirm(state.State)
	c.contact.answered(now, len(news) > 0)
	if name, ok := c.Members.At(control); ok {
		news = append(news, c.Offer(now, c.Members.Heard(now, name)...)...)
	}
	return news, nil
}

// Unheard returns how long an entry host has heard no control host.
func (c *Core) Unheard(now time.Time) time.Duration {
	return now.Sub(c.contact.heard)
}
