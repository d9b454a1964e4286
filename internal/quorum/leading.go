package quorum

import "github.com/mustardramp/mustardramp"

const (
	// defaultAppendBytes bounds the commands of one append.
	defaultAppendBytes = 1 << 20
	// windowLimit bounds the entries sent to a member and not yet
	// acknowledged.
	windowLimit = 8192
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last entry known to be synced there; next is the one to be
	// sent next. match < next.
	match mustardramp.Index
	next  mustardramp.Index
	// probing is set while it is not known where the logs part. Appends are
	// then without entries, and waiting is set while one is under way.
	probing bool
	waiting bool
	// silent counts the ticks since the member was heard.
	silent int
	// told is the commit index last sent. One below owed is sent at once, for
	// callers wait for it there; otherwise with the next append or heartbeat.
	told mustardramp.Index
	owed mustardramp.Index
	// round is the newest round that the member has answered, asked the
	// newest sent to it.
	round Round
	asked Round
	// heard is set by any message since the last check of the quorum.
	heard bool
	// transfer is a snapshot under way, or nil.
	transfer *transfer
}

// leading is the state of a leader.
type leading struct {
	peers map[MemberID]*progress
	// start is the index of the leader's first entry; nothing may be read or
	// changed before it is committed.
	start     mustardramp.Index
	heartbeat int
	round     Round
	reads     []activeRead
	queued    []readRequest
}

// lead takes over the term. The empty entry commits those of earlier terms,
// which may not be committed by counting their copies.
func (c *core) lead() {
	c.role = leader
	c.ledBefore = true
	c.leader = c.self.ID
	c.elapsed = 0
	c.votes = nil
	c.leading = &leading{start: c.log.last() + 1}
	c.appendOwn(Entry{Kind: EntryEmpty})
	c.followMembership()
	c.beat()
}

// appendOwn adds entries of the leader's term.
func (c *core) appendOwn(list ...Entry) {
	for i := range list {
		list[i].Index = c.log.last() + 1 + mustardramp.Index(i)
		list[i].Term = c.state.Term
	}
	c.append(list...)
}

// followMembership keeps a progress for each other member.
func (c *core) followMembership() {
	peers := map[MemberID]*progress{}
	for _, member := range c.membership() {
		if member.ID == c.self.ID {
			continue
		}
		peers[member.ID] = c.leading.peers[member.ID]
		if peers[member.ID] == nil {
			peers[member.ID] = &progress{next: c.log.last() + 1, probing: true, heard: true}
		}
	}
	c.leading.peers = peers
}

func (c *core) tickLeader() {
	if c.elapsed >= c.timing.Election {
		c.elapsed = 0
		if !c.checkQuorum() {
			c.become(c.state.Term, 0)
			return
		}
	}
	for _, p := range c.leading.peers {
		p.silent++
	}
	c.leading.heartbeat++
	if c.leading.heartbeat >= c.timing.Heartbeat {
		c.beat()
		c.admitLearner()
	}
}

// checkQuorum reports whether a quorum was heard since the last check.
func (c *core) checkQuorum() bool {
	alive := c.membership().isQuorum(func(id MemberID) bool {
		return id == c.self.ID || c.leading.peers[id].heard
	})
	for _, p := range c.leading.peers {
		p.heard = false
	}
	return alive
}

// beat sends something to every member. It also repeats what may have been
// lost: an append without entries names the position before the next one, and
// a member that lacks it says so.
func (c *core) beat() {
	c.leading.heartbeat = 0
	for _, member := range c.membership() {
		p := c.leading.peers[member.ID]
		if p == nil {
			continue
		}
		if p.transfer != nil {
			c.sendPiece(member.ID, p)
			continue
		}
		c.sendAppend(member.ID, p, 0)
	}
}

// flush sends what gathered since the last flush, so that one message carries
// many entries, a commit index and a round.
func (c *core) flush() {
	c.startRound()
	for _, member := range c.membership() {
		p := c.leading.peers[member.ID]
		if p != nil && p.transfer == nil {
			c.flushTo(member.ID, p)
		}
	}
}

func (c *core) flushTo(id MemberID, p *progress) {
	if p.probing {
		if !p.waiting || p.asked < c.leading.round {
			c.sendAppend(id, p, 0)
		}
		return
	}
	if p.next <= c.log.last() && p.next-p.match <= windowLimit {
		c.sendAppend(id, p, c.appendBytes)
		return
	}
	isWaiting := p.told < c.commit && p.told < p.owed
	if isWaiting || p.asked < c.leading.round {
		c.sendAppend(id, p, 0)
	}
}

// owe notes that callers on a member wait for an index to be applied there.
func (c *core) owe(id MemberID, index mustardramp.Index) {
	if p := c.leading.peers[id]; p != nil {
		p.owed = max(p.owed, index)
	}
}

// sendAppend sends entries of up to limit bytes from the member's next one on.
func (c *core) sendAppend(id MemberID, p *progress, limit int) {
	before := p.next - 1
	term, ok := c.log.term(before)
	if !ok {
		c.startTransfer(id, p)
		return
	}
	list := c.log.between(before, c.log.last())
	list = list[:countWithin(list, limit)]
	c.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Index:   before,
		LogTerm: term,
		Entries: list,
		Commit:  c.commit,
		Round:   c.leading.round,
	})
	p.told = c.commit
	p.asked = c.leading.round
	p.waiting = true
	p.next += mustardramp.Index(len(list))
}

// countWithin returns how many entries fit into a limit of bytes; at least one
// does when the limit is above 0.
func countWithin(list []Entry, limit int) int {
	size := 0
	for i, entry := range list {
		if size >= limit {
			return i
		}
		size += len(entry.Command) + 1
	}
	return len(list)
}

func (c *core) handleAppendReply(m Message) {
	p := c.heardFrom(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.goBack(m, p)
		return
	}
	if p.transfer != nil && m.Index >= p.transfer.image.Index {
		p.transfer = nil
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	c.advanceCommit()
}

// heardFrom notes a sign of life; it returns nil when this is no leader or the
// sender no member.
func (c *core) heardFrom(m Message) *progress {
	if c.role != leader || c.leading.peers[m.From] == nil {
		return nil
	}
	p := c.leading.peers[m.From]
	p.heard = true
	p.silent = 0
	if m.Round > p.round {
		p.round = m.Round
		c.finishReads()
	}
	return p
}

func (c *core) handleHeard(m Message) {
	c.heardFrom(m)
}

// goBack moves to where a member's log may agree. While probing, answers to
// earlier appends are passed over.
func (c *core) goBack(m Message, p *progress) {
	if p.transfer != nil || m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.probing, p.waiting = true, false
	p.next = max(min(m.Hint+1, m.Index), p.match+1)
}

// advanceCommit commits what a quorum has synced, if its last entry is of the
// leader's own term.
func (c *core) advanceCommit() {
	if c.role != leader {
		return
	}
	index := quorumValue(c.membership(), c.matchOf)
	term, ok := c.log.term(index)
	if index <= c.commit || !ok || term != c.state.Term {
		return
	}
	c.commit = index
	if c.log.newest().index <= c.commit && !c.isVoter() {
		c.become(c.state.Term, 0)
	}
}

func (c *core) matchOf(id MemberID) mustardramp.Index {
	if id == c.self.ID {
		return c.synced.index
	}
	return c.leading.peers[id].match
}
