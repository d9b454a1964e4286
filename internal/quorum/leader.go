package quorum

import "github.com/mustardramp/mustardramp"

const (
	// defaultMaxAppendBytes limits the size of the commands in one append.
	defaultMaxAppendBytes = 1 << 20
	// maxUnackedEntries limits the entries sent to a member that are not yet
	// acknowledged.
	maxUnackedEntries = 8192
)

// progress is a leader's view of another member.
type progress struct {
	// matchIndex is the last entry known to be synced at the member; nextIndex
	// is the next entry to send. matchIndex is always below nextIndex.
	matchIndex mustardramp.Index
	nextIndex  mustardramp.Index
	// probing is set while the index at which the logs diverge is not known.
	// Appends then carry no entries, and probeInFlight is set once one has been
	// sent.
	probing       bool
	probeInFlight bool
	// silentTicks counts the ticks since the last message from the member. It starts at
	// the minimum election timeout: a leader that has not heard a member yet waits less
	// for it, so that a change of the leader delays no replacement of a silent voter.
	silentTicks int
	// sentCommit is the commit index last sent to the member, and awaitedCommit
	// the index that callers on the member wait for. A new commit index is sent
	// without delay while sentCommit is below awaitedCommit, and otherwise with
	// the next append or heartbeat.
	sentCommit    mustardramp.Index
	awaitedCommit mustardramp.Index
	// ackedRound is the highest round that the member has answered, sentRound
	// the highest one sent to it.
	ackedRound Round
	sentRound  Round
	// recentlyActive is set by any message since the last quorum check.
	recentlyActive bool
	// isBehind is set while the member accepts no entries.
	isBehind bool
	// transfer is the snapshot being sent to the member, or nil.
	transfer *snapshotTransfer
}

// leaderState is the state that a member has only while it leads.
type leaderState struct {
	peers map[MemberID]*progress
	// firstIndex is the index of the leader's first entry. No read is answered
	// and no membership is changed before that entry is committed.
	firstIndex mustardramp.Index
	// heartbeatElapsed counts the ticks since the last heartbeat.
	heartbeatElapsed int
	// refusalTicks is the number of ticks until the next host that cannot join is reported.
	refusalTicks int
	// round is the number of the last round started.
	round Round
	// activeReads wait for their rounds to be answered, queuedReads for a round
	// to start.
	activeReads []readBatch
	queuedReads []readRequest
}

// becomeLeader starts to lead the term. Entries of earlier terms must not be
// committed by counting their copies; the empty entry commits them once it is
// committed itself.
func (c *core) becomeLeader() {
	c.role = leader
	c.hasSeenLeader = true
	c.leader = c.self.ID
	c.elapsed = 0
	c.votes = nil
	c.leaderState = &leaderState{firstIndex: c.log.lastIndex() + 1}
	c.appendInTerm(Entry{Kind: EntryEmpty})
	c.updatePeers()
	c.broadcastHeartbeat()
}

// appendInTerm appends entries of the leader's own term.
func (c *core) appendInTerm(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	for i := range entries {
		entries[i].Index = c.log.lastIndex() + 1 + mustardramp.Index(i)
		entries[i].Term = c.hardState.Term
	}
	c.append(entries...)
}

// updatePeers makes the peers the other members of the current membership.
func (c *core) updatePeers() {
	peers := map[MemberID]*progress{}
	for _, member := range c.membership() {
		if member.ID == c.self.ID {
			continue
		}
		peers[member.ID] = c.leaderState.peers[member.ID]
		if peers[member.ID] == nil {
			peers[member.ID] = &progress{
				nextIndex: c.log.lastIndex() + 1, probing: true, recentlyActive: true, silentTicks: c.timing.ElectionTicks,
			}
		}
	}
	c.leaderState.peers = peers
}

func (c *core) tickLeader() {
	if c.elapsed >= c.timing.ElectionTicks {
		c.elapsed = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.hardState.Term, 0)
			return
		}
	}
	for _, p := range c.leaderState.peers {
		p.silentTicks++
	}
	c.leaderState.refusalTicks--
	c.leaderState.heartbeatElapsed++
	if c.leaderState.heartbeatElapsed >= c.timing.HeartbeatTicks {
		c.broadcastHeartbeat()
		c.promoteLearner()
		c.forgetLearner()
	}
}

// checkQuorum reports whether messages from a quorum arrived since the last check.
func (c *core) checkQuorum() bool {
	hasQuorum := c.membership().hasQuorum(func(id MemberID) bool {
		return id == c.self.ID || c.leaderState.peers[id].recentlyActive
	})
	for _, p := range c.leaderState.peers {
		p.recentlyActive = false
	}
	return hasQuorum
}

// broadcastHeartbeat sends an append without entries to every member, or the
// current chunk of a snapshot. This also makes up for lost messages: the append
// names the position before the next entry, and a member that lacks that position
// rejects it.
func (c *core) broadcastHeartbeat() {
	c.leaderState.heartbeatElapsed = 0
	for _, member := range c.membership() {
		p := c.leaderState.peers[member.ID]
		if p == nil {
			continue
		}
		if p.transfer != nil {
			c.sendChunk(member.ID, p)
			continue
		}
		c.sendAppend(member.ID, p, 0)
	}
}

// flush sends what has accumulated since the last call, so that one message
// carries many entries, the commit index and a round.
func (c *core) flush() {
	c.startReadRound()
	for _, member := range c.membership() {
		p := c.leaderState.peers[member.ID]
		if p != nil && p.transfer == nil {
			c.flushTo(member.ID, p)
		}
	}
}

// flushTo sends an append to a member if there is anything that must not wait for
// the next heartbeat.
func (c *core) flushTo(id MemberID, p *progress) {
	if p.probing {
		if !p.probeInFlight || p.sentRound < c.leaderState.round {
			c.sendAppend(id, p, 0)
		}
		return
	}
	if p.nextIndex <= c.log.lastIndex() && !p.isBehind && c.hasUnackedRoom(p) {
		c.sendAppend(id, p, c.maxAppendBytes)
		return
	}
	isCommitAwaited := p.sentCommit < c.commitIndex && p.sentCommit < p.awaitedCommit
	if isCommitAwaited || p.sentRound < c.leaderState.round {
		c.sendAppend(id, p, 0)
	}
}

// recordAwaitedCommit records that callers on a member wait until the entry at an
// index is applied there.
func (c *core) recordAwaitedCommit(id MemberID, index mustardramp.Index) {
	if p := c.leaderState.peers[id]; p != nil {
		p.awaitedCommit = max(p.awaitedCommit, index)
	}
}

// sendAppend sends the entries from the member's nextIndex, up to about maxBytes
// of commands. If the log no longer holds the entry before them, it starts a
// snapshot transfer instead.
func (c *core) sendAppend(id MemberID, p *progress, maxBytes int) {
	prevIndex := p.nextIndex - 1
	prevTerm, ok := c.log.term(prevIndex)
	if !ok {
		c.startTransfer(id, p)
		return
	}
	entries := c.log.between(prevIndex, c.log.lastIndex())
	entries = entries[:countWithin(entries, maxBytes)]
	c.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   prevIndex,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  c.commitIndex,
		Round:   c.leaderState.round,
		Busy:    c.isOverloaded(),
	})
	p.sentCommit = c.commitIndex
	p.sentRound = c.leaderState.round
	p.probeInFlight = true
	p.nextIndex += mustardramp.Index(len(entries))
}

// countWithin returns the number of entries to send so that their size reaches
// maxBytes. It is at least one if maxBytes is above 0 and there are entries.
func countWithin(entries []Entry, maxBytes int) int {
	size := 0
	for i, entry := range entries {
		if size >= maxBytes {
			return i
		}
		size += len(entry.Command) + 1
	}
	return len(entries)
}

func (c *core) handleAppendReply(m Message) {
	p := c.recordActivity(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.backtrack(m, p)
		return
	}
	if p.transfer != nil && m.Index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.probing {
		p.probing = false
		p.nextIndex = p.matchIndex + 1
	}
	if p.isBehind = m.Busy; p.isBehind {
		// The member has declined the entries after those that it acknowledges.
		p.nextIndex = p.matchIndex + 1
	}
	c.advanceCommit()
}

// recordActivity records that a member has sent a message and which round it has
// answered. It returns nil if this member does not lead or the sender is not a
// member.
func (c *core) recordActivity(m Message) *progress {
	if c.role != leader || c.leaderState.peers[m.From] == nil {
		return nil
	}
	p := c.leaderState.peers[m.From]
	p.recentlyActive = true
	p.silentTicks = 0
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
		c.finishReads()
	}
	return p
}

func (c *core) handleRoundReply(m Message) {
	c.recordActivity(m)
}

// backtrack moves nextIndex back to where the member's log may agree. Replies to
// earlier appends are ignored while probing.
func (c *core) backtrack(m Message, p *progress) {
	if p.transfer != nil || m.Index <= p.matchIndex || p.probing && m.Index != p.nextIndex-1 {
		return
	}
	p.probing, p.probeInFlight = true, false
	p.nextIndex = max(min(m.Hint+1, m.Index), p.matchIndex+1)
}

// advanceCommit commits the entries that a quorum has synced, if the last of them
// is of the leader's own term. A leader that is no longer a voter steps down once
// the membership without it is committed.
func (c *core) advanceCommit() {
	if c.role != leader {
		return
	}
	index := quorumValue(c.membership(), c.matchIndexOf)
	term, ok := c.log.term(index)
	if index <= c.commitIndex || !ok || term != c.hardState.Term {
		return
	}
	c.commitIndex = index
	if c.log.latestMembership().index <= c.commitIndex && !c.isVoter() {
		c.becomeFollower(c.hardState.Term, 0)
	}
}

func (c *core) matchIndexOf(id MemberID) mustardramp.Index {
	if id == c.self.ID {
		return c.synced.index
	}
	return c.leaderState.peers[id].matchIndex
}
