package quorum

import "github.com/mustardramp/mustardramp"

func (c *core) handleAppend(m Message) {
	c.followLeader(m.From)
	if !c.matchesAt(m.Index, m.LogTerm) {
		c.reply(Message{
			Kind:   MessageAppendReply,
			To:     m.From,
			Index:  m.Index,
			Reject: true,
			Hint:   c.rejectHint(m.Index),
			Round:  m.Round,
		})
		return
	}
	c.isLeaderOverloaded = m.Busy
	match := m.Index + mustardramp.Index(c.appendMissing(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.Commit, match))
	c.updateBehind()
	c.acknowledge(m, match)
}

// followLeader becomes a follower of the sender, which leads the current term,
// and restarts the election timeout.
func (c *core) followLeader(id MemberID) {
	if c.role != follower || c.leader != id {
		c.becomeFollower(c.hardState.Term, id)
	}
	c.elapsed = 0
}

// matchesAt reports whether the log agrees with the leader's up to a position.
// Committed entries agree with the log of every leader.
func (c *core) matchesAt(index mustardramp.Index, logTerm Term) bool {
	if index <= c.commitIndex {
		return true
	}
	term, ok := c.log.term(index)
	return ok && term == logTerm
}

// rejectHint returns the last index before the given one at which the logs may
// agree. It skips all entries of the conflicting term.
func (c *core) rejectHint(index mustardramp.Index) mustardramp.Index {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflictTerm, _ := c.log.term(index)
	hint := index - 1
	for hint > c.commitIndex {
		term, _ := c.log.term(hint)
		if term != conflictTerm {
			break
		}
		hint--
	}
	return hint
}

// appendMissing appends the entries from the first one that the log does not contain,
// unless the member is behind. It returns the number of entries that the log contains
// now.
func (c *core) appendMissing(entries []Entry) int {
	for i, entry := range entries {
		if c.matchesAt(entry.Index, entry.Term) {
			continue
		}
		if c.isBehind {
			return i
		}
		if entry.Index <= c.log.lastIndex() {
			c.generation++
			c.synced.index = min(c.synced.index, entry.Index-1)
		}
		c.append(entries[i:]...)
		break
	}
	return len(entries)
}

// acknowledge replies to the leader once all entries up to match are synced. The
// round is confirmed without that wait, since it depends on the synced term
// alone.
func (c *core) acknowledge(m Message, match mustardramp.Index) {
	ack := Message{Kind: MessageAppendReply, To: m.From, Index: match, Round: m.Round, Busy: c.isBehind}
	if match <= c.synced.index {
		c.reply(ack)
		return
	}
	if m.Round > c.answeredRound && c.hardState == c.synced.hardState {
		c.send(Message{Kind: MessageRoundReply, To: m.From, Round: m.Round})
	}
	c.answeredRound = max(c.answeredRound, m.Round)
	c.sendAfterSync(ack)
}
