package quorum

import (
	"math/rand/v2"

	"github.com/mustardramp/mustardramp"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Timing counts in ticks. Zero fields take the defaults.
type Timing struct {
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat int
	// Election is the least time without a leader before an election; the
	// actual one is drawn between it and its double.
	Election int
}

const (
	defaultHeartbeat = 2
	defaultElection  = 14
)

func (t Timing) orDefault() Timing {
	if t.Heartbeat <= 0 {
		t.Heartbeat = defaultHeartbeat
	}
	if t.Election <= 0 {
		t.Election = defaultElection
	}
	return t
}

// hardState is synced before any message that follows from it leaves.
type hardState struct {
	Term Term     `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
}

// mark is a state that a sync has reached.
type mark struct {
	state hardState
	index mustardramp.Index
	// generation counts how often entries were replaced before the mark was
	// made. The index says something about the present log only if none was
	// replaced since.
	generation int
}

// core is the state of one member. It is a pure function of messages, ticks
// and syncs: it reads no clock and does no I/O. What is to be done is
// collected until take and takeBatch.
type core struct {
	self   Member
	timing Timing
	random *rand.Rand
	// appendBytes bounds the commands of one append.
	appendBytes int
	// joinable lists the hosts whose new identities the leader adds.
	joinable map[mustardramp.HostName]bool
	// size is the number of voters that a group without a list of hosts grows
	// to; 0 for one with a list.
	size int

	state hardState
	log   entries
	// generation counts how often entries were replaced.
	generation int
	// snapshot is the newest one, or nil.
	snapshot *image
	// commit never moves back; committed entries are never replaced.
	commit mustardramp.Index
	// handed is the index up to which entries went to the machine.
	handed mustardramp.Index
	// synced is what the last finished sync has reached. Its index is never
	// above an entry that differs from the disk's.
	synced mark

	role   role
	leader MemberID
	// elapsed counts ticks since a leader was heard; for a leader, since the
	// last check of its quorum.
	elapsed int
	timeout int
	// ledBefore is true once a leader was heard, or the member led, since its
	// start.
	ledBefore bool
	// votes holds the answers to this candidate.
	votes map[MemberID]bool

	// leading is the state of a leader, nil in other roles.
	leading *leading
	// heardRound is the newest round answered in this term.
	heardRound Round
	// incoming is a snapshot that arrives in pieces, or nil.
	incoming *incoming

	out     output
	pending batch
}

// output is what a member must do at once after its inputs.
type output struct {
	messages []Message
	// restore is a snapshot for the machine, ahead of committed.
	restore   *Snapshot
	committed []Entry
	reads     []readResult
	// refused names proposals that were not appended.
	refused []ProposalID
	// unwon are the canvasses and elections that ended without a quorum.
	unwon []ballotCount
}

// batch is what is to be synced together.
type batch struct {
	// records go to the journal in order.
	records []record
	// snapshot and what is retained beside it replace the journal's records,
	// those of this batch included; or nil.
	snapshot *image
	retained []record
	// messages leave when the batch is synced.
	messages []Message
	// mark is what is then reached.
	mark mark
}

func newCore(self Member, timing Timing, random *rand.Rand) *core {
	c := &core{self: self, timing: timing.orDefault(), random: random, appendBytes: defaultAppendBytes}
	c.resetTimeout()
	return c
}

func (c *core) membership() Membership {
	return c.log.newest().membership
}

func (c *core) isVoter() bool {
	return c.membership().isVoter(c.self.ID)
}

// isBlank reports whether the member has never taken part in a group.
func (c *core) isBlank() bool {
	return c.state.Term == 0 && c.log.last() == 0
}

func (c *core) resetTimeout() {
	c.elapsed = 0
	least := c.timing.Election
	if !c.ledBefore {
		least = max(1, least/firstElections)
	}
	c.timeout = least + c.random.IntN(least)
}

// firstElections is the number of times that a started member canvasses in the
// least election timeout until it first hears a leader: after the loss of all
// members nobody leads, and a pre-vote disturbs no leader that others hear.
const firstElections = 3

// setState changes term and vote and has them synced.
func (c *core) setState(state hardState) {
	if c.state == state {
		return
	}
	c.state = state
	c.pending.records = append(c.pending.records, record{State: &state})
}

// become enters a term as a follower. The leader may be unknown.
func (c *core) become(term Term, leader MemberID) {
	if term > c.state.Term {
		c.setState(hardState{Term: term})
		c.heardRound = 0
	}
	c.refuseReads()
	c.role = follower
	c.leader = leader
	c.ledBefore = c.ledBefore || leader != 0
	c.leading = nil
	c.votes = nil
	c.resetTimeout()
}

// send lets a message leave at once.
func (c *core) send(m Message) {
	c.out.messages = append(c.out.messages, c.signed(m))
}

// sendSynced lets a message leave when everything before it is synced.
func (c *core) sendSynced(m Message) {
	c.pending.messages = append(c.pending.messages, c.signed(m))
}

func (c *core) signed(m Message) Message {
	m.From = c.self.ID
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	return m
}

// reply sends an answer that depends on the synced term and vote alone.
func (c *core) reply(m Message) {
	if c.state == c.synced.state {
		c.send(m)
		return
	}
	c.sendSynced(m)
}

// tick counts time.
func (c *core) tick() {
	c.elapsed++
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.timeout {
		return
	}
	if !c.isVoter() {
		c.become(c.state.Term, 0)
		return
	}
	c.campaign()
}

// step takes in a message.
func (c *core) step(m Message) {
	if m.To != c.self.ID {
		return
	}
	if m.Term > c.state.Term && !c.admitTerm(m) {
		return
	}
	if m.Term < c.state.Term {
		c.refuseOldTerm(m)
		return
	}
	c.handle(m)
}

// admitTerm takes over the higher term of a message, or reports that the
// message is to be dropped.
func (c *core) admitTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if m.Reject {
			c.become(m.Term, 0)
		}
		return true
	case MessageVote:
		if c.hearsLeader() {
			return false
		}
		c.become(m.Term, 0)
	case MessageAppend, MessagePiece:
		c.become(m.Term, m.From)
	default:
		c.become(m.Term, 0)
	}
	return true
}

// refuseOldTerm tells a sender of an older term about the present one, so that
// a deposed leader steps down.
func (c *core) refuseOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessagePiece:
		c.reply(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	case MessagePreVote:
		c.reply(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessagePropose, MessageProposeReply, MessageRead, MessageReadReply, MessageChange:
		c.handle(m)
	}
}

func (c *core) handle(m Message) {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessagePreVoteReply:
		c.handlePreVoteReply(m)
	case MessageVote:
		c.handleVote(m)
	case MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend:
		c.handleAppend(m)
	case MessageAppendReply:
		c.handleAppendReply(m)
	case MessageHeard:
		c.handleHeard(m)
	case MessagePiece:
		c.handlePiece(m)
	case MessagePieceReply:
		c.handlePieceReply(m)
	case MessagePropose:
		c.handlePropose(m)
	case MessageProposeReply:
		c.handleProposeReply(m)
	case MessageRead:
		c.handleRead(m)
	case MessageReadReply:
		c.handleReadReply(m)
	case MessageChange:
		c.handleChange(m)
	}
}

// saved takes in a finished sync.
func (c *core) saved(m mark) {
	c.synced.state = m.state
	if m.generation == c.generation {
		c.synced.index = m.index
	}
	if c.role == candidate && m.state == c.state {
		c.countVote(c.self.ID, true)
	}
	c.advanceCommit()
}

// take returns what is to be done at once after the inputs so far.
func (c *core) take() output {
	if c.role == leader {
		c.flush()
	}
	c.handOver()
	out := c.out
	c.out = output{}
	return out
}

// takeBatch returns what gathered to be synced. It is called only when the
// batch before has been reported to saved.
func (c *core) takeBatch(id identity) batch {
	b := c.pending
	c.pending = batch{}
	b.mark = mark{state: c.state, index: c.log.last(), generation: c.generation}
	if b.snapshot != nil {
		b.retained = c.retained(id)
	}
	return b
}

// handOver passes newly committed entries to the machine.
func (c *core) handOver() {
	if c.handed >= c.commit {
		return
	}
	c.out.committed = c.log.between(c.handed, c.commit)
	c.handed = c.commit
}

// append adds entries to the log and has them synced.
func (c *core) append(list ...Entry) {
	c.log.append(list...)
	c.pending.records = append(c.pending.records, record{Entries: list})
}
