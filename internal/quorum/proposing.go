package quorum

import "slices"

// propose appends commands, or passes them to the leader.
func (c *core) propose(list []Entry) {
	if c.role == leader {
		c.appendOwn(slices.Clone(list)...)
		return
	}
	if c.leader == 0 {
		c.refuse(list)
		return
	}
	c.send(Message{Kind: MessagePropose, To: c.leader, Entries: list})
}

func (c *core) refuse(list []Entry) {
	for _, entry := range list {
		c.out.refused = append(c.out.refused, entry.Proposal)
	}
}

// handlePropose takes proposals of another member. They are not passed on
// twice.
func (c *core) handlePropose(m Message) {
	if c.role == leader {
		c.propose(m.Entries)
		c.owe(m.From, c.log.last())
		return
	}
	names := make([]Entry, len(m.Entries))
	for i, entry := range m.Entries {
		names[i] = Entry{Proposal: entry.Proposal}
	}
	c.reply(Message{Kind: MessageProposeReply, To: m.From, Entries: names})
}

func (c *core) handleProposeReply(m Message) {
	c.refuse(m.Entries)
}
