package quorum

import "github.com/mustardramp/mustardramp"

// Change is a request for one membership change. It is idempotent: a change that
// is already made has no effect.
type Change struct {
	// Add is the member to add as a learner, or nil.
	Add *Member `cbor:"1,keyasint,omitempty"`
	// Remove is the ID of the member to remove, or 0.
	Remove MemberID `cbor:"2,keyasint,omitempty"`
}

// requestChange starts a change if this member leads, and forwards it to the
// leader otherwise. Without a known leader it is dropped.
func (c *core) requestChange(change Change) {
	if c.role == leader {
		c.startChange(change)
		return
	}
	if c.leader != 0 {
		c.send(Message{Kind: MessageChange, To: c.leader, Change: &change})
	}
}

// handleChange handles a change request of another host. A host that is not a
// member may not know the leader, so its request is forwarded. A request of a
// member is handled by the leader alone.
func (c *core) handleChange(m Message) {
	if m.Change == nil {
		return
	}
	_, isMember := c.membership().Member(m.From)
	if c.role == leader || !isMember {
		c.requestChange(*m.Change)
	}
}

// canChangeMembership reports whether a new membership change may start. The last
// change must be committed: any two quorums of memberships that differ by one voter
// overlap, but quorums of memberships that differ by more may not. The leader's
// first entry must be committed too, so that no change of an earlier leader is still
// in progress.
func (c *core) canChangeMembership() bool {
	return c.commitIndex >= c.leaderState.firstIndex && c.commitIndex >= c.log.latestMembership().index
}

// startChange appends the membership that results from a change, unless the
// change is already made or not allowed now.
func (c *core) startChange(change Change) {
	if !c.canChangeMembership() {
		return
	}
	if _, ok := c.membership().Member(change.Remove); ok {
		c.removeMember(change.Remove)
		return
	}
	if change.Add == nil || !c.canJoin(change.Add.Host) {
		return
	}
	if _, ok := c.membership().Member(change.Add.ID); ok {
		return
	}
	learner := Member{ID: change.Add.ID, Host: change.Add.Host}
	if old, ok := c.learnerOfHost(learner.Host); ok {
		if c.isSilent(old) {
			c.removeMember(old)
		}
		return
	}
	if c.membership().LearnerCount() >= MaxLearners {
		c.makeRoom(learner)
		return
	}
	c.appendMembership(c.membership().with(learner), memberChange{action: memberAdded, member: learner})
}

// MaxLearners limits the learners of a group. A live learner is never removed for
// another member.
const MaxLearners = 8

const (
	// forgetTicks is the time after which a silent learner of a group without a fixed list
	// of hosts is removed: 5 minutes. A host that is back after that has to ask to join.
	forgetTicks = 6000
	// refusalIntervalTicks is the least time between two reports of hosts that cannot join.
	refusalIntervalTicks = 200
)

// canJoin reports whether a new identity of a host may be added.
func (c *core) canJoin(host mustardramp.HostName) bool {
	return c.targetVoters > 0 || c.joinableHosts[host]
}

// learnerOfHost returns the learner of a host, if there is one. A new identity of that
// host means that the folder of the old one is lost. It waits until the old one is
// silent, so that two processes under one name cannot remove each other again and again.
func (c *core) learnerOfHost(host mustardramp.HostName) (MemberID, bool) {
	for _, member := range c.membership() {
		if member.Host == host && !member.Voter {
			return member.ID, true
		}
	}
	return 0, false
}

// makeRoom removes the learner that has been silent for longest, so that another member
// can join when it asks again. If all learners are live, the member is refused.
func (c *core) makeRoom(joining Member) {
	if id, ticks := c.mostSilentLearner(); ticks >= c.silenceLimit() {
		c.removeMember(id)
		return
	}
	if c.leaderState.refusalTicks > 0 {
		return
	}
	c.leaderState.refusalTicks = refusalIntervalTicks
	c.out.memberChanges = append(c.out.memberChanges, memberChange{action: memberRefused, member: joining})
}

// forgetLearner removes a learner that has been silent for forgetTicks, so that hosts that
// are gone for good do not stay members until there is no room left.
func (c *core) forgetLearner() {
	if c.targetVoters == 0 || !c.canChangeMembership() {
		return
	}
	if id, ticks := c.mostSilentLearner(); ticks >= forgetTicks {
		c.removeMember(id)
	}
}

// mostSilentLearner returns the learner that has been silent for longest, and for how
// many ticks.
func (c *core) mostSilentLearner() (MemberID, int) {
	var found MemberID
	longest := -1
	for _, member := range c.membership() {
		p := c.leaderState.peers[member.ID]
		if !member.Voter && p != nil && p.silentTicks > longest {
			found, longest = member.ID, p.silentTicks
		}
	}
	return found, longest
}

// memberAction is what a membership change does to a member.
type memberAction string

const (
	memberAdded    memberAction = "added"
	memberPromoted memberAction = "promoted"
	memberDemoted  memberAction = "demoted"
	memberRemoved  memberAction = "removed"
	// memberRefused is the action for a host that asks to join a group without room.
	memberRefused memberAction = "refused"
)

// memberChange describes a membership change that this member has started, or refused, as
// the leader.
type memberChange struct {
	action memberAction
	member Member
	// silentTicks is the number of ticks since the leader's last message from the member.
	silentTicks int
}

func (c *core) appendMembership(membership Membership, change memberChange) {
	if p := c.leaderState.peers[change.member.ID]; p != nil {
		change.silentTicks = p.silentTicks
	}
	c.out.memberChanges = append(c.out.memberChanges, change)
	c.appendInTerm(Entry{Kind: EntryMembership, Membership: membership})
	c.updatePeers()
}

func (c *core) removeMember(id MemberID) {
	member, _ := c.membership().Member(id)
	c.appendMembership(c.membership().without(id), memberChange{action: memberRemoved, member: member})
}

// promoteLearner makes a learner a voter once it has synced all committed entries.
// An earlier identity of its host is removed first, as soon as it is silent: its
// folder is lost, so it would only enlarge the quorum. In a group that has its
// target number of voters, a silent voter makes room: it becomes a learner.
func (c *core) promoteLearner() {
	if !c.canChangeMembership() {
		return
	}
	for _, member := range c.membership() {
		if member.Voter || !c.hasCaughtUp(member.ID) {
			continue
		}
		if old, ok := c.otherIdentity(member); ok {
			if c.isSilent(old) {
				c.removeMember(old)
				return
			}
			continue
		}
		if c.hasTargetVoters() {
			c.demoteSilentVoter()
			return
		}
		member.Voter = true
		c.appendMembership(c.membership().with(member), memberChange{action: memberPromoted, member: member})
		return
	}
}

// demoteSilentVoter makes a silent voter a learner. It stays a member, since silence
// does not tell a host that is gone from one that is frozen or cut off: that one hears
// the leader as soon as it is back, and replaces the next silent voter at once.
func (c *core) demoteSilentVoter() {
	member, ok := c.findSilentVoter()
	if !ok {
		return
	}
	member.Voter = false
	c.appendMembership(c.membership().with(member), memberChange{action: memberDemoted, member: member})
}

// hasTargetVoters reports whether the group has grown to its target number of
// voters.
func (c *core) hasTargetVoters() bool {
	return c.targetVoters > 0 && c.membership().VoterCount() >= c.targetVoters
}

// findSilentVoter returns a silent voter, which another member may replace.
func (c *core) findSilentVoter() (Member, bool) {
	for _, member := range c.membership() {
		if member.Voter && c.isSilent(member.ID) {
			return member, true
		}
	}
	return Member{}, false
}

// hasCaughtUp reports whether a member is active and has synced all committed
// entries.
func (c *core) hasCaughtUp(id MemberID) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.matchIndex >= c.commitIndex && p.silentTicks < c.timing.ElectionTicks
}

// otherIdentity returns another member with the same host, if there is one.
func (c *core) otherIdentity(member Member) (MemberID, bool) {
	for _, other := range c.membership() {
		if other.Host == member.Host && other.ID != member.ID {
			return other.ID, true
		}
	}
	return 0, false
}

// isSilent reports whether no message from a member has arrived for twice the
// minimum election timeout.
func (c *core) isSilent(id MemberID) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.silentTicks >= c.silenceLimit()
}

func (c *core) silenceLimit() int {
	return 2 * c.timing.ElectionTicks
}

// bootstrap starts a new group. None of its members may have taken part in a
// group before.
func (c *core) bootstrap(membership Membership) {
	c.setHardState(hardState{Term: 1})
	c.append(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: membership})
	c.elapsed = c.electionTimeout
}

// setJoinableHosts sets the hosts that may join the group.
func (c *core) setJoinableHosts(hosts []mustardramp.HostName) {
	c.joinableHosts = make(map[mustardramp.HostName]bool, len(hosts))
	for _, host := range hosts {
		c.joinableHosts[host] = true
	}
}
