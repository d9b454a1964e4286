package quorum

// hearsLeader reports whether a leader was heard within the least election
// timeout. Votes are refused meanwhile, so that a member that hears nobody
// cannot depose a leader that the others hear.
func (c *core) hearsLeader() bool {
	if c.role == leader {
		return true
	}
	return c.leader != 0 && c.elapsed < c.timing.Election
}

// ballotCount is how members answered a canvass or an election.
type ballotCount struct {
	// pre is set for a canvass, which binds nobody.
	pre  bool
	term Term
	// granted and refused list the members that answered, this one included.
	granted, refused []MemberID
}

// closeBallot notes a canvass or an election that no quorum granted in time.
func (c *core) closeBallot() {
	if c.votes == nil || c.role != preCandidate && c.role != candidate {
		return
	}
	count := ballotCount{pre: c.role == preCandidate, term: c.state.Term}
	if count.pre {
		count.term++
	}
	for _, member := range c.membership() {
		granted, answered := c.votes[member.ID]
		switch {
		case granted:
			count.granted = append(count.granted, member.ID)
		case answered:
			count.refused = append(count.refused, member.ID)
		}
	}
	c.out.unwon = append(c.out.unwon, count)
}

// campaign asks whether an election would be won, at no cost to the term.
func (c *core) campaign() {
	c.closeBallot()
	c.role = preCandidate
	c.leader = 0
	c.refuseReads()
	c.resetTimeout()
	c.votes = map[MemberID]bool{}
	c.canvass(MessagePreVote, c.state.Term+1)
	c.countPreVote(c.self.ID, true)
}

// elect asks for the votes of a new term, its own included.
func (c *core) elect() {
	c.role = candidate
	// The votes of a term wait for a sync at each member, so that a candidate waits
	// in full even if it is newly started.
	c.elapsed = 0
	c.timeout = c.timing.Election + c.random.IntN(c.timing.Election)
	c.votes = map[MemberID]bool{}
	c.heardRound = 0
	c.setState(hardState{Term: c.state.Term + 1, Vote: c.self.ID})
	c.canvass(MessageVote, c.state.Term)
}

func (c *core) canvass(kind MessageKind, term Term) {
	for _, member := range c.membership() {
		if !member.Voter || member.ID == c.self.ID {
			continue
		}
		m := Message{
			Kind:    kind,
			To:      member.ID,
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
		}
		if kind == MessageVote {
			c.sendSynced(m)
			continue
		}
		c.send(m)
	}
}

// isUpToDate reports whether a candidate's log holds at least what this one
// does.
func (c *core) isUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *core) handlePreVote(m Message) {
	granted := m.Term > c.state.Term && c.isUpToDate(m) && !c.hearsLeader()
	if granted {
		c.reply(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.reply(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
}

func (c *core) handlePreVoteReply(m Message) {
	if c.role != preCandidate {
		return
	}
	if !m.Reject && m.Term != c.state.Term+1 {
		return
	}
	c.countPreVote(m.From, !m.Reject)
}

func (c *core) countPreVote(from MemberID, granted bool) {
	c.votes[from] = granted
	if c.membership().isQuorum(c.hasVote) {
		c.elect()
	}
}

func (c *core) hasVote(id MemberID) bool {
	return c.votes[id]
}

func (c *core) handleVote(m Message) {
	free := c.state.Vote == 0 && c.leader == 0 || c.state.Vote == m.From
	granted := free && c.isUpToDate(m)
	if granted {
		c.setState(hardState{Term: c.state.Term, Vote: m.From})
		c.resetTimeout()
	}
	c.reply(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

func (c *core) handleVoteReply(m Message) {
	if c.role != candidate {
		return
	}
	c.countVote(m.From, !m.Reject)
	if c.role == candidate && !c.membership().isQuorum(c.mayVote) {
		c.standBack()
	}
}

// mayVote reports whether a member has not refused this candidate.
func (c *core) mayVote(id MemberID) bool {
	granted, answered := c.votes[id]
	return granted || !answered
}

// standBack ends an election that cannot be won any more. Candidates that split
// the votes wait for times spread over a whole election timeout, so that they
// hardly meet again.
func (c *core) standBack() {
	c.closeBallot()
	c.role = follower
	c.votes = nil
	c.elapsed = 0
	c.timeout = 1 + c.random.IntN(c.timing.Election)
}

func (c *core) countVote(from MemberID, granted bool) {
	c.votes[from] = granted
	if c.membership().isQuorum(c.hasVote) {
		c.lead()
	}
}
