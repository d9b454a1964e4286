package quorum

import (
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxBacklogBytes limits the commands that a member holds for its state machine. A
	// member with more accepts no further entries of the leader, and a leader with more
	// refuses large proposals.
	maxBacklogBytes = 8 << 20
	// smallCommandBytes is the size up to which a proposal is small. A leader refuses
	// small proposals only at twice maxBacklogBytes, so that the leaving of a backend
	// does not wait for large configurations.
	smallCommandBytes = 16 << 10
	// maxUnackedBytes limits the commands that are sent to a member and not yet
	// acknowledged. They stay in memory until they are sent, even if the log has
	// dropped them.
	maxUnackedBytes = 2 << 20
)

// recordApplied records the index of the last entry that the state machine has applied.
func (c *core) recordApplied(index mustardramp.Index) {
	c.applied = max(c.applied, index)
	c.updateBehind()
}

// backlogBytes returns the size of the commands up to an index that the state machine
// has not applied yet.
func (c *core) backlogBytes(upTo mustardramp.Index) int {
	return c.log.commandBytes(c.applied, upTo)
}

// updateBehind decides whether the member accepts entries. Only committed entries count:
// they are sure to be applied, while others may need further entries to be committed.
func (c *core) updateBehind() {
	backlog := c.backlogBytes(c.commitIndex)
	if c.isBehind {
		c.isBehind = backlog > maxBacklogBytes/2
		return
	}
	c.isBehind = backlog > maxBacklogBytes
}

// isOverloaded reports whether this member, as the leader, refuses large proposals.
func (c *core) isOverloaded() bool {
	return c.role == leader && c.backlogBytes(c.log.lastIndex()) > maxBacklogBytes
}

// admit divides proposals into those that a leader appends and those that it refuses
// because its backlog is too large.
func (c *core) admit(proposals []Entry) (admitted, refused []Entry) {
	backlog := c.backlogBytes(c.log.lastIndex())
	for _, entry := range proposals {
		limit := maxBacklogBytes
		if len(entry.Command) <= smallCommandBytes {
			limit *= 2
		}
		if backlog > limit {
			refused = append(refused, entry)
			continue
		}
		backlog += len(entry.Command)
		admitted = append(admitted, entry)
	}
	return admitted, refused
}

// mayPropose reports whether the leader is likely to accept a command. A large command
// is not sent to a leader that would refuse it.
func (c *core) mayPropose(command []byte) bool {
	switch {
	case c.leader == 0:
		return false
	case len(command) <= smallCommandBytes:
		return true
	case c.role == leader:
		return !c.isOverloaded()
	}
	return !c.isLeaderOverloaded
}

// hasUnackedRoom reports whether more entries may be sent to a member.
func (c *core) hasUnackedRoom(p *progress) bool {
	return p.nextIndex-p.matchIndex <= maxUnackedEntries &&
		c.log.commandBytes(p.matchIndex, p.nextIndex-1) < maxUnackedBytes
}

// logBehind logs that the member no longer accepts entries, or accepts them again.
func (g *Group) logBehind() {
	if g.core.isBehind == g.loggedBehind {
		return
	}
	g.loggedBehind = g.core.isBehind
	klog.InfoS("apply-backlog", "group", g.config.Group, "behind", g.core.isBehind,
		"bytes", g.core.backlogBytes(g.core.commitIndex), "index", g.core.applied, "commit", g.core.commitIndex)
}
