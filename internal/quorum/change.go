package quorum

import "github.com/mustardramp/mustardramp"

// Change asks for one change of the membership. A change that is made already
// is asked for at no cost, so that it can be repeated.
type Change struct {
	// Add is a member to be added, first without a vote; or nil.
	Add *Member `cbor:"1,keyasint,omitempty"`
	// Remove is a member to be removed, or 0.
	Remove MemberID `cbor:"2,keyasint,omitempty"`
}

// change makes a change, or passes it to the leader.
func (c *core) change(change Change) {
	if c.role == leader {
		c.makeChange(change)
		return
	}
	if c.leader != 0 {
		c.send(Message{Kind: MessageChange, To: c.leader, Change: &change})
	}
}

// handleChange passes the question of a host that is no member on to the leader,
// which the host may not know. The leader's answer to a member needs no second
// way.
func (c *core) handleChange(m Message) {
	if m.Change == nil {
		return
	}
	_, isMember := c.membership().Member(m.From)
	if c.role == leader || !isMember {
		c.change(*m.Change)
	}
}

// mayChange reports whether the last change is committed. Two memberships that
// differ by one voter share a member in any two quorums; ones that differ by
// more need not. The leader's own first entry must be committed too, so that
// no change of an earlier leader is still under way.
func (c *core) mayChange() bool {
	return c.commit >= c.leading.start && c.commit >= c.log.newest().index
}

func (c *core) makeChange(change Change) {
	if !c.mayChange() {
		return
	}
	if _, ok := c.membership().Member(change.Remove); ok {
		c.appendMembership(c.membership().without(change.Remove))
		return
	}
	if change.Add == nil || !c.mayJoin(change.Add.Host) {
		return
	}
	if _, ok := c.membership().Member(change.Add.ID); ok {
		return
	}
	learner := Member{ID: change.Add.ID, Host: change.Add.Host}
	c.appendMembership(c.membership().with(learner))
}

// learnerLimit bounds the members without a vote of a group without a list of
// hosts.
const learnerLimit = 8

// mayJoin reports whether a new identity of a host may be added.
func (c *core) mayJoin(host mustardramp.HostName) bool {
	if c.size == 0 {
		return c.joinable[host]
	}
	return len(c.membership())-c.membership().voters() < learnerLimit
}

func (c *core) appendMembership(membership Membership) {
	c.appendOwn(Entry{Kind: EntryMembership, Membership: membership})
	c.followMembership()
}

// admitLearner gives a vote to a member that has synced all that is committed.
// An earlier identity of its host goes first, once it has fallen silent: its
// folder is lost, so that it would only enlarge the quorum.
func (c *core) admitLearner() {
	if !c.mayChange() {
		return
	}
	for _, member := range c.membership() {
		if member.Voter || !c.hasCaughtUp(member.ID) {
			continue
		}
		old, ok := c.otherOf(member)
		if !ok && c.isFull() {
			old, ok = c.silentVoter()
			if !ok {
				return
			}
		}
		if !ok {
			member.Voter = true
			c.appendMembership(c.membership().with(member))
			return
		}
		if c.isSilent(old) {
			c.appendMembership(c.membership().without(old))
			return
		}
	}
}

// isFull reports whether the group has as many voters as it grows to.
func (c *core) isFull() bool {
	return c.size > 0 && c.membership().voters() >= c.size
}

// silentVoter returns a voter whose place another member may take.
func (c *core) silentVoter() (MemberID, bool) {
	for _, member := range c.membership() {
		if member.Voter && c.isSilent(member.ID) {
			return member.ID, true
		}
	}
	return 0, false
}

func (c *core) hasCaughtUp(id MemberID) bool {
	p := c.leading.peers[id]
	return p != nil && p.match >= c.commit && p.silent < c.timing.Election
}

// otherOf returns another identity of a member's host.
func (c *core) otherOf(member Member) (MemberID, bool) {
	for _, other := range c.membership() {
		if other.Host == member.Host && other.ID != member.ID {
			return other.ID, true
		}
	}
	return 0, false
}

func (c *core) isSilent(id MemberID) bool {
	p := c.leading.peers[id]
	return p != nil && p.silent >= 2*c.timing.Election
}

// found starts a group of which no member has taken part in anything.
func (c *core) found(membership Membership) {
	c.setState(hardState{Term: 1})
	c.append(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: membership})
	c.elapsed = c.timeout
}

// allow names the hosts that may join.
func (c *core) allow(hosts []mustardramp.HostName) {
	c.joinable = make(map[mustardramp.HostName]bool, len(hosts))
	for _, host := range hosts {
		c.joinable[host] = true
	}
}
