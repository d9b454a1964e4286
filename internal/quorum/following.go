package quorum

import "github.com/mustardramp/mustardramp"

func (c *core) handleAppend(m Message) {
	c.follow(m.From)
	if !c.holds(m.Index, m.LogTerm) {
		c.reply(Message{
			Kind:   MessageAppendReply,
			To:     m.From,
			Index:  m.Index,
			Reject: true,
			Hint:   c.hint(m.Index),
			Round:  m.Round,
		})
		return
	}
	c.takeEntries(m.Entries)
	match := m.Index + mustardramp.Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, match))
	c.acknowledge(m, match)
}

// follow takes the sender for the leader of this term.
func (c *core) follow(id MemberID) {
	if c.role != follower || c.leader != id {
		c.become(c.state.Term, id)
	}
	c.elapsed = 0
}

// holds reports whether the log agrees with the leader's up to a position.
// Committed entries agree with any leader's.
func (c *core) holds(index mustardramp.Index, logTerm Term) bool {
	if index <= c.commit {
		return true
	}
	term, ok := c.log.term(index)
	return ok && term == logTerm
}

// hint returns the last position before index that may agree: entries of the
// term that disagrees are passed over.
func (c *core) hint(index mustardramp.Index) mustardramp.Index {
	if index > c.log.last() {
		return c.log.last()
	}
	wrong, _ := c.log.term(index)
	hint := index - 1
	for hint > c.commit {
		term, _ := c.log.term(hint)
		if term != wrong {
			break
		}
		hint--
	}
	return hint
}

// takeEntries appends from the first entry that the log does not hold.
func (c *core) takeEntries(list []Entry) {
	for i, entry := range list {
		if c.holds(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= c.log.last() {
			c.generation++
			c.synced.index = min(c.synced.index, entry.Index-1)
		}
		c.append(list[i:]...)
		return
	}
}

// acknowledge answers once everything up to match is synced. The round is
// answered at once: it needs no more than the synced term.
func (c *core) acknowledge(m Message, match mustardramp.Index) {
	ack := Message{Kind: MessageAppendReply, To: m.From, Index: match, Round: m.Round}
	if match <= c.synced.index {
		c.reply(ack)
		return
	}
	if m.Round > c.heardRound && c.state == c.synced.state {
		c.send(Message{Kind: MessageHeard, To: m.From, Round: m.Round})
	}
	c.heardRound = max(c.heardRound, m.Round)
	c.sendSynced(ack)
}
