package quorum

import "slices"

// propose appends commands if this member leads and forwards them to the leader
// otherwise. Without a known leader they are refused.
func (c *core) propose(entries []Entry) {
	if c.role == leader {
		admitted, refused := c.admit(entries)
		c.appendInTerm(admitted...)
		c.refuseProposals(refused)
		return
	}
	if c.leader == 0 {
		c.refuseProposals(entries)
		return
	}
	c.send(Message{Kind: MessagePropose, To: c.leader, Entries: entries})
}

// refuseProposals reports the proposals of this member that were not appended.
func (c *core) refuseProposals(entries []Entry) {
	for _, entry := range entries {
		c.out.refusedProposals = append(c.out.refusedProposals, entry.Proposal)
	}
}

// handlePropose appends the proposals of another member. A member that does not
// lead refuses them rather than forward them a second time.
func (c *core) handlePropose(m Message) {
	refused := m.Entries
	if c.role == leader {
		var admitted []Entry
		admitted, refused = c.admit(m.Entries)
		c.appendInTerm(admitted...)
		c.recordAwaitedCommit(m.From, c.log.lastIndex())
	}
	if len(refused) == 0 {
		return
	}
	refused = slices.Clone(refused)
	for i := range refused {
		refused[i] = Entry{Proposal: refused[i].Proposal}
	}
	c.reply(Message{Kind: MessageProposeReply, To: m.From, Entries: refused})
}

func (c *core) handleProposeReply(m Message) {
	c.refuseProposals(m.Entries)
}
