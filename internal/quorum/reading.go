package quorum

import "github.com/mustardramp/mustardramp"

// readRequest is a member's wish to read.
type readRequest struct {
	from    MemberID
	request uint64
}

// activeRead waits for a quorum to answer its round.
type activeRead struct {
	round    Round
	index    mustardramp.Index
	requests []readRequest
}

// readResult says that the state at an index is new enough for a read, or
// that the read was refused.
type readResult struct {
	request uint64
	index   mustardramp.Index
	refused bool
}

// read asks for an index that holds all that was committed before.
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

func (c *core) queueRead(r readRequest) {
	if c.role != leader {
		c.finishRead(r, 0)
		return
	}
	c.leading.queued = append(c.leading.queued, r)
}

// startRound puts the queued reads into a round. A leader whose first entry is
// not committed does not know yet what earlier leaders committed.
func (c *core) startRound() {
	if len(c.leading.queued) == 0 || c.commit < c.leading.start {
		return
	}
	c.leading.round++
	c.leading.reads = append(c.leading.reads, activeRead{
		round:    c.leading.round,
		index:    c.commit,
		requests: c.leading.queued,
	})
	c.leading.queued = nil
	c.finishReads()
}

// finishReads answers the reads whose round a quorum has answered.
func (c *core) finishReads() {
	round := quorumValue(c.membership(), c.roundOf)
	for len(c.leading.reads) > 0 && c.leading.reads[0].round <= round {
		for _, r := range c.leading.reads[0].requests {
			c.finishRead(r, c.leading.reads[0].index)
		}
		c.leading.reads = c.leading.reads[1:]
	}
}

func (c *core) roundOf(id MemberID) Round {
	if id == c.self.ID {
		return c.leading.round
	}
	return c.leading.peers[id].round
}

// finishRead answers a read; index 0 refuses it.
func (c *core) finishRead(r readRequest, index mustardramp.Index) {
	if r.from == c.self.ID {
		result := readResult{request: r.request, index: index, refused: index == 0}
		c.out.reads = append(c.out.reads, result)
		return
	}
	if c.leading != nil {
		c.owe(r.from, index)
	}
	c.reply(Message{
		Kind:    MessageReadReply,
		To:      r.from,
		Request: r.request,
		Index:   index,
		Reject:  index == 0,
	})
}

// refuseReads answers the reads of a leader that steps down.
func (c *core) refuseReads() {
	if c.leading == nil {
		return
	}
	for _, active := range c.leading.reads {
		c.leading.queued = append(c.leading.queued, active.requests...)
	}
	for _, r := range c.leading.queued {
		c.finishRead(r, 0)
	}
}

func (c *core) handleReadReply(m Message) {
	result := readResult{request: m.Request, index: m.Index, refused: m.Reject}
	c.out.reads = append(c.out.reads, result)
}
