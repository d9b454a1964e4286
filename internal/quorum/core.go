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

// Timing holds the intervals of the election protocol, in ticks. A field that
// is zero or negative takes its default.
type Timing struct {
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the minimum election timeout. The actual timeout is
	// drawn at random between it and twice its value.
	ElectionTicks int
}

const (
	defaultHeartbeatTicks = 2
	defaultElectionTicks  = 14
)

func (t Timing) withDefaults() Timing {
	if t.HeartbeatTicks <= 0 {
		t.HeartbeatTicks = defaultHeartbeatTicks
	}
	if t.ElectionTicks <= 0 {
		t.ElectionTicks = defaultElectionTicks
	}
	return t
}

// hardState is the term and the vote of a member. It is synced to disk before
// any message that depends on it is sent.
type hardState struct {
	Term Term     `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
}

// syncPoint describes what is on disk after a sync.
type syncPoint struct {
	hardState hardState
	index     mustardramp.Index
	// generation is the value of core.generation when the sync started. The
	// index is valid for the current log only if no entries were replaced
	// since then.
	generation int
}

// core is the consensus state machine of one member. It is a pure function of
// messages, ticks and finished syncs: it reads no clock and does no I/O. The
// resulting actions are collected until takeOutput and takeBatch return them.
type core struct {
	self   Member
	timing Timing
	random *rand.Rand
	// maxAppendBytes limits the size of the commands in one append message.
	maxAppendBytes int
	// joinableHosts lists the hosts whose new identities the leader adds to the
	// group.
	joinableHosts map[mustardramp.HostName]bool
	// targetVoters is the number of voters that a group without a fixed list of
	// hosts grows to. It is 0 for a group with such a list.
	targetVoters int

	hardState hardState
	log       memoryLog
	// generation counts how often entries of the log were replaced.
	generation int
	// snapshot is the latest snapshot, or nil.
	snapshot *encodedSnapshot
	// commitIndex never decreases, and committed entries are never replaced.
	commitIndex mustardramp.Index
	// dispatched is the index of the last entry passed to the state machine.
	dispatched mustardramp.Index
	// applied is the index of the last entry that the state machine has applied.
	applied mustardramp.Index
	// isBehind is set while the state machine has so much left to apply that the member
	// accepts no entries.
	isBehind bool
	// isLeaderOverloaded is set while the leader states that it refuses large proposals.
	// On the leader itself it is not valid.
	isLeaderOverloaded bool
	// synced is what the last finished sync covers. Entries up to its index are
	// the same in memory and on disk.
	synced syncPoint

	role   role
	leader MemberID
	// elapsed counts the ticks since the last message from a leader; on a
	// leader, since the last check of its quorum.
	elapsed int
	// electionTimeout is the value of elapsed, in ticks, at which an election
	// starts.
	electionTimeout int
	// hasSeenLeader is set once the member has followed a leader or has led
	// since it was started.
	hasSeenLeader bool
	// votes holds the replies to this candidate's vote requests: true for a
	// granted vote.
	votes map[MemberID]bool
	// preVotes holds the replies to this candidate's last pre-vote requests, late ones
	// included.
	preVotes map[MemberID]bool

	// leaderState is nil in roles other than leader.
	leaderState *leaderState
	// answeredRound is the highest round answered in this term.
	answeredRound Round
	// incoming is the snapshot being received, or nil.
	incoming *incomingSnapshot

	out     output
	pending batch
}

// output holds the actions that need no sync and follow from the inputs so far.
type output struct {
	messages []Message
	// restore is a snapshot to load into the state machine before the committed
	// entries are applied, or nil.
	restore   *Snapshot
	committed []Entry
	reads     []readResult
	// refusedProposals lists the proposals that were not appended.
	refusedProposals []ProposalID
	// failedElections lists the pre-votes and elections that ended without a
	// quorum.
	failedElections []electionResult
	// memberChanges lists the membership changes that were started.
	memberChanges []memberChange
}

// batch holds what one sync writes to disk and the messages that wait for it.
type batch struct {
	// records are appended to the journal in this order.
	records []record
	// snapshot, if not nil, replaces all records of the journal and of this
	// batch. The retained records are written with it.
	snapshot *encodedSnapshot
	retained []record
	// messages are sent once the batch is synced.
	messages []Message
	// syncPoint is what is on disk after the sync.
	syncPoint syncPoint
}

func newCore(self Member, timing Timing, random *rand.Rand) *core {
	c := &core{self: self, timing: timing.withDefaults(), random: random, maxAppendBytes: defaultMaxAppendBytes}
	c.resetElectionTimeout()
	return c
}

func (c *core) membership() Membership {
	return c.log.latestMembership().membership
}

func (c *core) isVoter() bool {
	return c.membership().isVoter(c.self.ID)
}

// isBlank reports whether the member has neither a term nor log entries, and so
// has never taken part in a group.
func (c *core) isBlank() bool {
	return c.hardState.Term == 0 && c.log.lastIndex() == 0
}

func (c *core) resetElectionTimeout() {
	c.elapsed = 0
	shortest := c.timing.ElectionTicks
	if !c.hasSeenLeader {
		shortest = max(1, shortest/startupTimeoutDivisor)
	}
	c.electionTimeout = shortest + c.random.IntN(shortest)
}

// startupTimeoutDivisor shortens the election timeout of a started member until
// it first hears from a leader, so that it requests pre-votes more than once
// within the minimum election timeout. After all members have restarted there is
// no leader to wait for, and a pre-vote does not disturb a leader that other
// members still follow.
const startupTimeoutDivisor = 3

// setHardState sets the term and the vote and adds them to the pending batch.
func (c *core) setHardState(state hardState) {
	if c.hardState == state {
		return
	}
	c.hardState = state
	c.pending.records = append(c.pending.records, record{State: &state})
}

// becomeFollower enters a term as a follower. The leader is 0 if it is not known.
func (c *core) becomeFollower(term Term, leader MemberID) {
	if term > c.hardState.Term {
		c.setHardState(hardState{Term: term})
		c.answeredRound = 0
	}
	c.refuseReads()
	c.role = follower
	c.leader = leader
	c.hasSeenLeader = c.hasSeenLeader || leader != 0
	c.leaderState = nil
	c.isLeaderOverloaded = false
	c.votes = nil
	c.resetElectionTimeout()
}

// send queues a message that does not wait for a sync.
func (c *core) send(m Message) {
	c.out.messages = append(c.out.messages, c.withSender(m))
}

// sendAfterSync queues a message that is sent once all earlier changes are
// synced.
func (c *core) sendAfterSync(m Message) {
	c.pending.messages = append(c.pending.messages, c.withSender(m))
}

// withSender sets the sender of a message and, unless it is set already, the
// term.
func (c *core) withSender(m Message) Message {
	m.From = c.self.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	return m
}

// reply sends an answer that depends on no state other than the term and the
// vote. It waits for a sync only if those are not on disk yet.
func (c *core) reply(m Message) {
	if c.hardState == c.synced.hardState {
		c.send(m)
		return
	}
	c.sendAfterSync(m)
}

// tick advances the member's time by one tick.
func (c *core) tick() {
	c.elapsed++
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.electionTimeout {
		return
	}
	if !c.isVoter() {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.startPreVote()
}

// step processes a received message.
func (c *core) step(m Message) {
	if m.To != c.self.ID {
		return
	}
	if m.Term > c.hardState.Term && !c.adoptTerm(m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.refuseOldTerm(m)
		return
	}
	c.handle(m)
}

// adoptTerm enters the higher term of a message where the message kind calls for
// it. It returns false if the message must be dropped.
func (c *core) adoptTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if m.Reject {
			c.becomeFollower(m.Term, 0)
		}
		return true
	case MessageVote:
		if c.hasRecentLeader() {
			return false
		}
		c.becomeFollower(m.Term, 0)
	case MessageAppend, MessageSnapshotChunk:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// refuseOldTerm answers a message of an older term with the current one, so that
// a deposed leader steps down.
func (c *core) refuseOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshotChunk:
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
	case MessageRoundReply:
		c.handleRoundReply(m)
	case MessageSnapshotChunk:
		c.handleSnapshotChunk(m)
	case MessageSnapshotChunkReply:
		c.handleSnapshotChunkReply(m)
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

// recordSync records what a finished sync has written.
func (c *core) recordSync(p syncPoint) {
	c.synced.hardState = p.hardState
	if p.generation == c.generation {
		c.synced.index = p.index
	}
	if c.role == candidate && p.hardState == c.hardState {
		c.countVote(c.self.ID, true)
	}
	c.advanceCommit()
}

// takeOutput returns the actions collected since the last call that do not wait
// for a sync.
func (c *core) takeOutput() output {
	if c.role == leader {
		c.flush()
	}
	c.dispatchCommitted()
	out := c.out
	c.out = output{}
	return out
}

// takeBatch returns what was collected for the next sync. It must not be called
// before the previous batch has been reported to recordSync.
func (c *core) takeBatch(id identity) batch {
	b := c.pending
	c.pending = batch{}
	b.syncPoint = syncPoint{hardState: c.hardState, index: c.log.lastIndex(), generation: c.generation}
	if b.snapshot != nil {
		b.retained = c.retainedRecords(id)
	}
	return b
}

// dispatchCommitted passes newly committed entries to the state machine.
func (c *core) dispatchCommitted() {
	if c.dispatched >= c.commitIndex {
		return
	}
	c.out.committed = c.log.between(c.dispatched, c.commitIndex)
	c.dispatched = c.commitIndex
}

// append adds entries to the log and to the pending batch.
func (c *core) append(entries ...Entry) {
	c.log.append(entries...)
	c.pending.records = append(c.pending.records, record{Entries: entries})
}
