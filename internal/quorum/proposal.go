package quorum

import "slices"

// propose appends commands if this member leads and forwards them to the leader
// otherwise. Without a known leader they are refused.
func (c *core) propose(entries []Entry) {
	if c.role == leader {
		c.appendInTerm(slices.Clone(entries)...)
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
	if c.role == leader {
		c.propose(m.Entries)
		c.recordAwaitedCommit(m.From, c.log.lastIndex())
		return
	}
	refused := make([]Entry, len(m.Entries))
	for i, entry := range m.Entries {
		refused[i] = Entry{Proposal: entry.Proposal}
	}
	c.reply(Message{Kind: MessageProposeReply, To: m.From, Entries: refused})
}

func (c *core) handleProposeReply(m Message) {
	c.refuseProposals(m.Entries)
}
