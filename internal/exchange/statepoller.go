package exchange

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

const (
	// minSilenceLimit is the time without contact with a control host after which
	// an entry host asks one: one and a half heartbeats of a changes-only link, and
	// the mean age of a confirmation when it is sent.
	minSilenceLimit = 3*changesOnlyHeartbeat/2 + confirmInterval/2
	// unconfirmedTTL is the time for which a control host that has said that no
	// quorum confirms it is asked after all others.
	unconfirmedTTL = 3 * changesOnlyHeartbeat
	// maxSilenceLimit bounds that time for a host to which the answers bring
	// nothing new: in a large fleet control hosts have direct links to a part of
	// the hosts only.
	maxSilenceLimit = 2 * minSilenceLimit
	// maxCurrentSilence is the time without contact for which an entry host counts as
	// current. It is twice the longest time between two requests, so that a lost one
	// has been repeated.
	maxCurrentSilence = 2 * maxSilenceLimit
)

// statePoller decides when an entry host asks a control host for the confirmed
// state: until the host is ready, when it drains, after a time without contact, and
// when the control host of the last contact has lost its quorum. Contact is a message
// of a control host that a quorum confirms and that holds the same changes as this
// host. Other messages do not show that this host is up to date. After a network cut
// the views of both sides take seconds to merge, and polling brings changes without
// that delay. The zero value asks at once.
type statePoller struct {
	// lastContact is when the quorum read behind the last contact began.
	lastContact time.Time
	// contact is the control host of the last contact, or empty.
	contact mustardramp.HostName
	// silenceLimit is the time without contact after which the host asks; 0
	// stands for minSilenceLimit.
	silenceLimit time.Duration
	// earliest is the earliest time of the next request.
	earliest time.Time
	// polls counts the requests since the last answer.
	polls int
	// unconfirmed holds when a control host last said that no quorum confirms it.
	unconfirmed map[mustardramp.HostName]time.Time
	// askNow makes the host ask without a silence, until it gets an answer.
	askNow bool
}

// controlMessage is what a message of a control host says of its state.
type controlMessage struct {
	from mustardramp.HostName
	// confirmed is set if a quorum confirms the host, by a read that began age before
	// the message was sent.
	confirmed bool
	age       time.Duration
	// inSync is set if the host holds the same changes as this one.
	inSync bool
}

// noteMessage records a message from a control host. A confirmed one with other changes
// is no contact, but shows that there may be news.
func (p *statePoller) noteMessage(now time.Time, m controlMessage) {
	if !m.confirmed {
		if p.unconfirmed == nil {
			p.unconfirmed = make(map[mustardramp.HostName]time.Time)
		}
		p.unconfirmed[m.from] = now
		p.askNow = p.askNow || m.from == p.contact
		return
	}
	delete(p.unconfirmed, m.from)
	p.silenceLimit = minSilenceLimit
	if confirmedAt := now.Add(-m.age); m.inSync && !confirmedAt.Before(p.lastContact) {
		p.lastContact, p.contact = confirmedAt, m.from
	}
}

// isUnconfirmed reports whether a control host has said within unconfirmedTTL that no
// quorum confirms it.
func (p *statePoller) isUnconfirmed(now time.Time, host mustardramp.HostName) bool {
	at, ok := p.unconfirmed[host]
	return ok && now.Sub(at) < unconfirmedTTL
}

// noteState records the answer of a control host. If it brought nothing new, the host
// waits longer before it asks again.
func (p *statePoller) noteState(now time.Time, from mustardramp.HostName, isNew bool) {
	p.lastContact, p.contact, p.polls, p.askNow = now, from, 0, false
	p.silenceLimit = min(2*max(p.silenceLimit, minSilenceLimit), maxSilenceLimit)
	if isNew {
		p.silenceLimit = minSilenceLimit
	}
}

// due returns the time of the next request.
func (p *statePoller) due(isReady bool) time.Time {
	if !isReady || p.askNow {
		return p.earliest
	}
	return later(p.earliest, p.lastContact.Add(max(p.silenceLimit, minSilenceLimit)))
}

// NextStatePoll returns the control host to ask for the confirmed state now, or
// the zero address, and when to call it again.
func (c *Core) NextStatePoll(now time.Time) (netip.AddrPort, time.Time) {
	if due := c.statePoller.due(c.Node.Ready()); due.After(now) {
		return netip.AddrPort{}, due
	}
	c.statePoller.earliest = now.Add(statePollInterval)
	hosts := c.controlHosts(now)
	if len(hosts) == 0 {
		return netip.AddrPort{}, c.statePoller.earliest
	}
	if c.statePoller.polls == 0 && c.Node.Ready() {
		klog.InfoS("state-requested", "ms", c.ControlSilence(now).Milliseconds(), "contact", c.statePoller.contact, "host", hosts[0], "index", c.Node.Newest())
	}
	c.statePoller.polls++
	return hosts[(c.statePoller.polls-1)%len(hosts)], c.statePoller.earliest
}

// StatePollDue returns when NextStatePoll is due. A message or a drain can make it
// due earlier than NextStatePoll said.
func (c *Core) StatePollDue() time.Time {
	return c.statePoller.due(c.Node.Ready())
}

// controlHosts lists the addresses of the known control hosts, nearest first, then
// the seeds, which may be the only way to a control host after a start, then the
// control hosts counted as lost, as all are after a network cut, and last those that
// no quorum confirms.
func (c *Core) controlHosts(now time.Time) []netip.AddrPort {
	self := c.Members.Self().Place
	members := c.Members.List()
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return cmp.Compare(self.To(a.Host.Place), self.To(b.Host.Place))
	})
	var all, lost, unconfirmed []netip.AddrPort
	for _, m := range members {
		switch {
		case m.Host.Role != membership.Control:
		case c.statePoller.isUnconfirmed(now, m.Host.Name):
			unconfirmed = append(unconfirmed, m.Host.Address)
		case m.Standing == membership.Lost:
			lost = append(lost, m.Host.Address)
		default:
			all = append(all, m.Host.Address)
		}
	}
	for _, address := range append(slices.Clone(c.Seeds), lost...) {
		if !slices.Contains(all, address) && !slices.Contains(unconfirmed, address) {
			all = append(all, address)
		}
	}
	return append(all, unconfirmed...)
}

// stateRequest returns the request for the confirmed state.
func (c *Core) stateRequest() stateRequest {
	return stateRequest{State: c.Node.State(), Statement: c.Members.Statement(), Ready: c.Node.Ready()}
}

// HandleStateRequest merges the statement of the asking host and returns the
// accepted records. From these statements a control host that starts after all
// control hosts were lost learns where to send changes, before any catch-up. A
// serving host gets further changes directly for a time.
func (c *Core) HandleStateRequest(now time.Time, r stateRequest) []mustardramp.Record {
	if r.Statement.Kind != mustardramp.RecordHost || r.Statement.Key == "" {
		return nil
	}
	accepted := c.Offer(now, r.Statement)
	// A started host becomes known to the nearest control host by its statement.
	host := mustardramp.HostName(r.Statement.Key)
	if r.Ready && c.Members.Subscribe(now, host) {
		klog.InfoS("direct-changes-begun", "host", host, "index", r.Newest)
	}
	return accepted
}

// HandleState merges the state that a control host confirmed. It returns the
// accepted records.
func (c *Core) HandleState(now time.Time, control netip.AddrPort, state confirmedState) ([]mustardramp.Record, error) {
	records, err := c.Node.unpackBootstrap(state.Records)
	if err != nil {
		return nil, err
	}
	hosts, err := c.Node.unpackBootstrap(state.Hosts)
	if err != nil {
		return nil, err
	}
	accepted := c.Offer(now, records...)
	isNewState := len(accepted) > 0
	accepted = append(accepted, c.learn(now, c.Node.adopt(hosts))...)
	c.Node.Confirm(state.State)
	name, ok := c.Members.HostAt(control)
	c.statePoller.noteState(now, name, isNewState)
	if ok {
		accepted = append(accepted, c.Offer(now, c.Members.ReportSuccess(now, name)...)...)
	}
	return accepted, nil
}

// ControlSilence returns the time since an entry host's last contact with a
// control host.
func (c *Core) ControlSilence(now time.Time) time.Duration {
	return now.Sub(c.statePoller.lastContact)
}

// IsCurrent reports whether a control host confirmed not long ago that an entry host
// holds the newest changes.
func (c *Core) IsCurrent(now time.Time) bool {
	return c.ControlSilence(now) <= maxCurrentSilence
}
