package quorum

// hasRecentLeader reports whether this member leads or has received a message
// from a leader within the minimum election timeout. It then grants no vote, so
// that a member that receives no messages cannot depose a leader that the others
// still follow.
func (c *core) hasRecentLeader() bool {
	if c.role == leader {
		return true
	}
	return c.leader != 0 && c.elapsed < c.timing.ElectionTicks
}

// electionResult holds the votes of a pre-vote or an election.
type electionResult struct {
	// isPreVote is set for a pre-vote, which commits no member to a vote.
	isPreVote bool
	term      Term
	// granted and refused list the members that replied, this one included.
	granted, refused []MemberID
}

// recordFailedElection records the result of a pre-vote or an election in
// progress. It is called when that ends without a quorum.
func (c *core) recordFailedElection() {
	if c.votes == nil || c.role != preCandidate && c.role != candidate {
		return
	}
	result := electionResult{isPreVote: c.role == preCandidate, term: c.hardState.Term}
	if result.isPreVote {
		result.term++
	}
	for _, member := range c.membership() {
		granted, answered := c.votes[member.ID]
		switch {
		case granted:
			result.granted = append(result.granted, member.ID)
		case answered:
			result.refused = append(result.refused, member.ID)
		}
	}
	c.out.failedElections = append(c.out.failedElections, result)
}

// startPreVote asks the voters whether they would grant their votes. It does not
// increment the term.
func (c *core) startPreVote() {
	c.recordFailedElection()
	c.role = preCandidate
	c.leader = 0
	c.refuseReads()
	c.resetElectionTimeout()
	c.votes = map[MemberID]bool{}
	c.preVotes = map[MemberID]bool{}
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
	c.countPreVote(c.self.ID, true)
}

// startElection enters a new term as a candidate, votes for itself and requests
// the votes of the other voters.
func (c *core) startElection() {
	c.role = candidate
	// Each member syncs its vote before it replies. A candidate therefore waits
	// for the full election timeout, even just after its start.
	c.elapsed = 0
	c.electionTimeout = c.timing.ElectionTicks + c.random.IntN(c.timing.ElectionTicks)
	c.votes = map[MemberID]bool{}
	c.answeredRound = 0
	c.setHardState(hardState{Term: c.hardState.Term + 1, Vote: c.self.ID})
	c.requestVotes(MessageVote, c.hardState.Term)
}

// requestVotes sends a pre-vote or vote request to all other voters. A vote
// request waits until the candidate's own vote is synced.
func (c *core) requestVotes(kind MessageKind, term Term) {
	for _, member := range c.membership() {
		if !member.Voter || member.ID == c.self.ID {
			continue
		}
		m := Message{
			Kind:    kind,
			To:      member.ID,
			Term:    term,
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
		}
		if kind == MessageVote {
			c.sendAfterSync(m)
			continue
		}
		c.send(m)
	}
}

// isUpToDate reports whether the log of the candidate that sent m is at least as
// up to date as this one.
func (c *core) isUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *core) handlePreVote(m Message) {
	granted := m.Term > c.hardState.Term && c.isUpToDate(m) && !c.hasRecentLeader()
	if granted {
		c.reply(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.reply(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
}

func (c *core) handlePreVoteReply(m Message) {
	if c.role == candidate && !m.Reject && m.Term == c.hardState.Term {
		c.preVotes[m.From] = true
	}
	if c.role != preCandidate {
		return
	}
	if !m.Reject && m.Term != c.hardState.Term+1 {
		return
	}
	c.countPreVote(m.From, !m.Reject)
}

func (c *core) countPreVote(from MemberID, granted bool) {
	c.votes[from] = granted
	c.preVotes[from] = granted
	if c.membership().hasQuorum(c.hasGrantedVote) {
		c.startElection()
	}
}

func (c *core) hasGrantedVote(id MemberID) bool {
	return c.votes[id]
}

func (c *core) handleVote(m Message) {
	canVote := c.hardState.Vote == 0 && c.leader == 0 || c.hardState.Vote == m.From
	granted := canVote && c.isUpToDate(m)
	if granted {
		c.setHardState(hardState{Term: c.hardState.Term, Vote: m.From})
		c.resetElectionTimeout()
	}
	c.reply(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

func (c *core) handleVoteReply(m Message) {
	if c.role != candidate {
		return
	}
	c.countVote(m.From, !m.Reject)
	if c.role == candidate && !c.membership().hasQuorum(c.mayStillGrantVote) {
		c.abandonElection()
	}
}

// mayStillGrantVote reports whether a member may yet vote for this candidate. One that
// has not answered the pre-vote is probably down. Waiting for it after a split vote
// would take a whole election timeout each time.
func (c *core) mayStillGrantVote(id MemberID) bool {
	granted, answered := c.votes[id]
	return granted || !answered && c.preVotes[id]
}

// abandonElection ends an election that can no longer be won. After a split vote
// the candidates wait for random times spread over a whole election timeout, so
// that they are unlikely to split the votes again.
func (c *core) abandonElection() {
	c.recordFailedElection()
	c.role = follower
	c.votes = nil
	c.elapsed = 0
	c.electionTimeout = 1 + c.random.IntN(c.timing.ElectionTicks)
}

func (c *core) countVote(from MemberID, granted bool) {
	c.votes[from] = granted
	if c.membership().hasQuorum(c.hasGrantedVote) {
		c.becomeLeader()
	}
}
