package quorum

import "github.com/mustardramp/mustardramp"

// readRequest identifies a read of a member.
type readRequest struct {
	from    MemberID
	request uint64
}

// readBatch holds reads that wait until a quorum has answered their round.
type readBatch struct {
	round    Round
	index    mustardramp.Index
	requests []readRequest
}

// readResult is the reply to a read: either the index that must be applied before
// the read, or a refusal.
type readResult struct {
	request uint64
	index   mustardramp.Index
	refused bool
}

// read requests an index that covers all entries committed before the call.
func (c *core) read(request uint64) {
	if c.role != leader && c.leader != 0 {
		c.send(Message{Kind: MessageRead, To: c.leader, Request: request})
		return
	}
	c.queueRead(readRequest{from: c.self.ID, request: request})
}

func (c *core) handleRead(m Message) {
	c.queueRead(readRequest{from: m.From, request: m.Request})
}

// queueRead adds a read to the next round, or refuses it if this member does not
// lead.
func (c *core) queueRead(r readRequest) {
	if c.role != leader {
		c.finishRead(r, 0)
		return
	}
	c.leaderState.queuedReads = append(c.leaderState.queuedReads, r)
}

// startReadRound starts a round for the queued reads. A leader whose first entry
// is not committed yet cannot know which entries earlier leaders committed, so
// the reads stay queued until then.
func (c *core) startReadRound() {
	if len(c.leaderState.queuedReads) == 0 || c.commitIndex < c.leaderState.firstIndex {
		return
	}
	c.leaderState.round++
	c.leaderState.activeReads = append(c.leaderState.activeReads, readBatch{
		round:    c.leaderState.round,
		index:    c.commitIndex,
		requests: c.leaderState.queuedReads,
	})
	c.leaderState.queuedReads = nil
	c.finishReads()
}

// finishReads replies to the reads whose round a quorum has answered.
func (c *core) finishReads() {
	round := quorumValue(c.membership(), c.ackedRoundOf)
	for len(c.leaderState.activeReads) > 0 && c.leaderState.activeReads[0].round <= round {
		for _, r := range c.leaderState.activeReads[0].requests {
			c.finishRead(r, c.leaderState.activeReads[0].index)
		}
		c.leaderState.activeReads = c.leaderState.activeReads[1:]
	}
}

func (c *core) ackedRoundOf(id MemberID) Round {
	if id == c.self.ID {
		return c.leaderState.round
	}
	return c.leaderState.peers[id].ackedRound
}

// finishRead replies to a read. Index 0 refuses it.
func (c *core) finishRead(r readRequest, index mustardramp.Index) {
	if r.from == c.self.ID {
		result := readResult{request: r.request, index: index, refused: index == 0}
		c.out.reads = append(c.out.reads, result)
		return
	}
	if c.leaderState != nil {
		c.recordAwaitedCommit(r.from, index)
	}
	c.reply(Message{
		Kind:    MessageReadReply,
		To:      r.from,
		Request: r.request,
		Index:   index,
		Reject:  index == 0,
	})
}

// refuseReads refuses all pending reads of a leader that steps down.
func (c *core) refuseReads() {
	if c.leaderState == nil {
		return
	}
	for _, active := range c.leaderState.activeReads {
		c.leaderState.queuedReads = append(c.leaderState.queuedReads, active.requests...)
	}
	for _, r := range c.leaderState.queuedReads {
		c.finishRead(r, 0)
	}
}

func (c *core) handleReadReply(m Message) {
	result := readResult{request: m.Request, index: m.Index, refused: m.Reject}
	c.out.reads = append(c.out.reads, result)
}
