package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
	"github.com/mustardramp/mustardramp/internal/journal"
)

// simulation runs cores and journals step by step over a simulated network and fake
// disks. It is deterministic for a given seed.
type simulation struct {
	// targetVoters is that of a group without a fixed list of hosts, or 0.
	targetVoters int
	// seeds are the hosts in the settings of all hosts. If there are any, hosts join by
	// the hellos of their bootstrappers.
	seeds    []mustardramp.HostName
	t        *testing.T
	random   *rand.Rand
	now      int
	nodes    map[mustardramp.HostName]*node
	inFlight []inFlightMessage
	// cutPaths holds the one-way paths that lose all messages.
	cutPaths map[path]bool
	// dropMessage, if set, selects further messages that are lost.
	dropMessage func(to mustardramp.HostName, m Message) bool
	// loss and duplication are the chances per message in 1000, delay is the
	// maximum number of steps that a message takes.
	loss, duplication, delay int
	// syncDelay is the maximum number of steps that a sync takes.
	syncDelay int
	// makeMachine returns the state machine of a started node.
	makeMachine func() mustardramp.StateMachine
	// brokenRule is the rule that is broken on purpose.
	brokenRule brokenRule
	// committed holds, by index, the entry that a node applied to its state
	// machine.
	committed map[mustardramp.Index]Entry
	// leaders holds the leader of each term.
	leaders map[Term]MemberID
	// votesCast holds the candidate for which each member voted in each term.
	votesCast map[voteKey]MemberID
	// maxAppendBytes replaces that of the cores if it is above 0.
	maxAppendBytes int
	// compactEvery is the number of applied entries after which a node takes a
	// snapshot. No snapshots are taken if it is 0.
	compactEvery int
	nextID       MemberID
	hosts        []mustardramp.HostName
	// onApplied is called with the result of each applied command.
	onApplied func(n *node, entry Entry, result []byte)
	// onRead is called for each answered read; ok is false if it was refused.
	onRead func(n *node, request uint64, ok bool)
}

// path is a one-way connection between two hosts.
type path struct {
	from, to mustardramp.HostName
}

// voteKey identifies the single vote that a member has in a term.
type voteKey struct {
	voter MemberID
	term  Term
}

// inFlightMessage is a message that arrives at the step due.
type inFlightMessage struct {
	due     int
	path    path
	message Message
}

// brokenRule is a rule of the protocol that a simulation breaks on purpose.
type brokenRule int

const (
	noBrokenRule brokenRule = iota
	// voteBeforeSync sends votes before they are synced.
	voteBeforeSync
	// acknowledgeBeforeSync acknowledges entries before they are synced.
	acknowledgeBeforeSync
	// readWithoutRound answers reads without a round of messages.
	readWithoutRound
	// readBeforeOwnEntry answers reads on a leader that has not committed an
	// entry of its own term.
	readBeforeOwnEntry
	// countOlderTerms commits entries of older terms by counting copies.
	countOlderTerms
	// voteForAnyone grants votes to candidates with an outdated log.
	voteForAnyone
	// keepIdentity has a host that lost its disk keep its member ID.
	keepIdentity
)

// node is a host with a member. Its core is nil while it is down.
type node struct {
	host    mustardramp.HostName
	disk    *disk.Fake
	journal *journal.Journal
	core    *core
	id      identity
	machine mustardramp.StateMachine
	// applied is the index of the last applied entry, compacted that of the last
	// snapshot.
	applied, compacted mustardramp.Index
	// starts counts the starts of the node.
	starts int
	// syncing is the batch being synced until the step syncDue, or nil.
	syncing *batch
	syncDue int
	reads   map[uint64]mustardramp.Index
	// bootstrapper is nil in a simulation without seeds.
	bootstrapper *bootstrapper
	// frozen is set while the process of the node stands still. Messages to it wait.
	frozen bool
}

func newSimulation(t *testing.T, seed uint64, size int) *simulation {
	sim := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		nodes:     map[mustardramp.HostName]*node{},
		cutPaths:  map[path]bool{},
		committed: map[mustardramp.Index]Entry{},
		leaders:   map[Term]MemberID{},
		votesCast: map[voteKey]MemberID{},
		delay:     3,
		syncDelay: 3,
	}
	sim.makeMachine = func() mustardramp.StateMachine { return &recordingMachine{} }
	sim.onApplied = func(*node, Entry, []byte) {}
	sim.onRead = func(*node, uint64, bool) {}
	var membership Membership
	for i := range size {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", i+1))
		sim.hosts = append(sim.hosts, host)
		sim.nextID++
		membership = membership.with(Member{ID: sim.nextID, Host: host, Voter: true})
	}
	for _, member := range membership {
		sim.nodes[member.Host] = &node{host: member.Host, disk: &disk.Fake{}}
		sim.startNode(sim.nodes[member.Host], member.ID)
	}
	first := sim.nodes[sim.hosts[0]]
	first.core.bootstrap(membership)
	return sim
}

// startNode starts a node from its disk. A blank node gets the given ID.
func (sim *simulation) startNode(n *node, newID MemberID) {
	sim.t.Helper()
	j, recovered, err := journal.Open(n.disk, "data", journal.Options{SegmentSize: 2000})
	if err != nil {
		sim.t.Fatalf("%s: %v", n.host, err)
	}
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 2))
	c, id, err := recoverCore(recovered, Timing{}, random)
	if err != nil {
		sim.t.Fatalf("%s: %v", n.host, err)
	}
	if id == nil {
		id = &identity{Member: Member{ID: newID, Host: n.host}}
		c.self = id.Member
		if err := (batch{records: []record{{Identity: id}}}).write(j); err != nil {
			sim.t.Fatal(err)
		}
	}
	c.setJoinableHosts(sim.hosts)
	c.targetVoters = sim.targetVoters
	if sim.maxAppendBytes > 0 {
		c.maxAppendBytes = sim.maxAppendBytes
	}
	n.journal, n.core, n.id = j, c, *id
	if len(sim.seeds) > 0 {
		n.bootstrapper = newBootstrapper(id.Member, &Config{Hosts: sim.seeds, TargetVoters: sim.targetVoters})
	}
	n.machine = sim.makeMachine()
	n.applied, n.compacted, n.syncing = 0, 0, nil
	n.starts++
	n.reads = map[uint64]mustardramp.Index{}
	if c.snapshot != nil {
		sim.restore(n, &c.snapshot.Snapshot)
	}
}

func (sim *simulation) restore(n *node, s *Snapshot) {
	sim.t.Helper()
	if err := n.machine.Restore(s.State); err != nil {
		sim.t.Fatal(err)
	}
	n.applied, n.compacted = s.Index, s.Index
	n.core.recordApplied(s.Index)
}

// crash stops a node. Writes that are not synced are lost in part or completely.
func (sim *simulation) crash(n *node) {
	if n.core == nil {
		return
	}
	if n.syncing != nil && sim.random.IntN(2) == 0 {
		remainingWrites := sim.random.IntN(4)
		n.disk.Fail = func(disk.Operation, string) error {
			remainingWrites--
			if remainingWrites < 0 {
				return disk.ErrFake.New("crash")
			}
			return nil
		}
		_ = n.syncing.write(n.journal)
		n.disk.Fail = nil
	}
	n.disk.Crash(sim.random)
	n.core = nil
}

func (sim *simulation) restart(n *node) {
	if n.core == nil {
		sim.nextID++
		sim.startNode(n, sim.nextID)
	}
}

// loseDisk restarts a node with an empty disk, as a new member unless the rule that
// requires this is broken.
func (sim *simulation) loseDisk(n *node) {
	oldID := n.id.Member.ID
	n.core = nil
	n.disk = &disk.Fake{}
	sim.nextID++
	newID := sim.nextID
	if sim.brokenRule == keepIdentity {
		newID = oldID
	}
	sim.startNode(n, newID)
}

// step advances the time by one tick.
func (sim *simulation) step() {
	sim.t.Helper()
	sim.now++
	sim.deliver()
	for _, host := range sim.hosts {
		n := sim.nodes[host]
		if n.core == nil || n.frozen {
			continue
		}
		if n.syncing != nil && sim.now >= n.syncDue {
			sim.finishSync(n)
		}
		// Clocks drift, so a node misses a tick from time to time.
		if sim.random.IntN(10) > 0 {
			n.core.tick()
		}
		sim.requestJoin(n)
		sim.processOutput(n)
	}
}

// deliver delivers the messages that are due, in random order.
func (sim *simulation) deliver() {
	messages := sim.inFlight
	sim.inFlight = nil
	sim.random.Shuffle(len(messages), func(i, k int) { messages[i], messages[k] = messages[k], messages[i] })
	for _, m := range messages {
		n := sim.nodes[m.path.to]
		switch {
		case m.due > sim.now || n.frozen:
			sim.inFlight = append(sim.inFlight, m)
		case n.core != nil && (m.message.Kind == MessageHello || m.message.Kind == MessageHelloReply):
			if !sim.cutPaths[m.path] {
				sim.sendToHosts(n, n.bootstrapper.handleHello(n.core, m.message))
			}
		case n.core != nil && !sim.cutPaths[m.path]:
			n.core.step(sim.falsifyCandidate(m.message))
			sim.processOutput(n)
		}
	}
}

// requestJoin sends the join requests of a host, as the bootstrapper does outside
// the simulation.
func (sim *simulation) requestJoin(n *node) {
	if n.bootstrapper != nil {
		sim.sendToHosts(n, n.bootstrapper.tick(n.core))
		return
	}
	if sim.now%20 != 0 || !sim.needsToJoin(n) {
		return
	}
	self := n.id.Member
	for _, host := range sim.hosts {
		other := sim.nodes[host]
		if other.core != nil {
			sim.transmit(n, host, Message{Kind: MessageChange, From: self.ID, To: other.id.Member.ID, Change: &Change{Add: &self}})
		}
	}
}

func (sim *simulation) sendToHosts(n *node, messages []hostMessage) {
	for _, m := range messages {
		sim.transmit(n, m.host, m.message)
	}
}

// needsToJoin reports whether a node asks to join: one with an empty log or, in a
// group without a fixed list of hosts, one that may have been removed without
// having received that change.
func (sim *simulation) needsToJoin(n *node) bool {
	_, member := n.core.membership().Member(n.id.Member.ID)
	if sim.targetVoters > 0 {
		return !member || n.core.leader == 0
	}
	return !member && n.core.log.lastIndex() == 0
}

// addSpares turns the group into one without a fixed list of hosts and with the
// same number of voters, and starts spare blank hosts.
func (sim *simulation) addSpares(count int) {
	sim.targetVoters = len(sim.hosts)
	for _, n := range sim.nodes {
		n.core.targetVoters = sim.targetVoters
	}
	for range count {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", len(sim.hosts)+1))
		sim.hosts = append(sim.hosts, host)
		sim.nextID++
		sim.nodes[host] = &node{host: host, disk: &disk.Fake{}}
		sim.startNode(sim.nodes[host], sim.nextID)
	}
}

// processOutput performs the actions that the core of a node has collected.
func (sim *simulation) processOutput(n *node) {
	sim.t.Helper()
	if sim.brokenRule != noBrokenRule {
		sim.applyBrokenRule(n)
	}
	out := n.core.takeOutput()
	sim.sendAll(n, out.messages)
	if out.restore != nil {
		sim.restore(n, out.restore)
	}
	for _, entry := range out.committed {
		sim.apply(n, entry)
	}
	for _, r := range out.reads {
		if r.refused {
			sim.onRead(n, r.request, false)
			continue
		}
		n.reads[r.request] = r.index
	}
	sim.serveReads(n)
	sim.checkLeader(n)
	sim.compact(n)
	if n.syncing == nil {
		sim.startSync(n)
	}
}

// apply applies an entry and checks that no other entry was applied at its index.
func (sim *simulation) apply(n *node, entry Entry) {
	sim.t.Helper()
	if entry.Index != n.applied+1 {
		sim.failInvariant("%s: entry %d applied after entry %d", n.host, entry.Index, n.applied)
	}
	n.applied = entry.Index
	n.core.recordApplied(entry.Index)
	earlier, ok := sim.committed[entry.Index]
	if ok && (earlier.Term != entry.Term || earlier.Proposal != entry.Proposal) {
		sim.failInvariant("%s: entry %d holds proposal %v, want %v", n.host, entry.Index, entry.Proposal, earlier.Proposal)
	}
	sim.committed[entry.Index] = entry
	if entry.Kind == EntryCommand {
		sim.onApplied(n, entry, n.machine.Apply(entry.Index, entry.Command))
	}
}

// invariantViolation is the panic value for a violated invariant.
type invariantViolation string

func (sim *simulation) failInvariant(format string, args ...any) {
	panic(invariantViolation(fmt.Sprintf(format, args...)))
}

// serveReads answers the reads whose index is applied.
func (sim *simulation) serveReads(n *node) {
	for _, request := range slices.Sorted(maps.Keys(n.reads)) {
		if n.reads[request] <= n.applied {
			delete(n.reads, request)
			sim.onRead(n, request, true)
		}
	}
}

// checkLeader checks that a term has no second leader.
func (sim *simulation) checkLeader(n *node) {
	sim.t.Helper()
	if n.core.role != leader {
		return
	}
	id, ok := sim.leaders[n.core.hardState.Term]
	if ok && id != n.core.self.ID {
		sim.failInvariant("term %d has leaders %d and %d", n.core.hardState.Term, id, n.core.self.ID)
	}
	sim.leaders[n.core.hardState.Term] = n.core.self.ID
}

func (sim *simulation) compact(n *node) {
	sim.t.Helper()
	if sim.compactEvery == 0 || n.applied < n.compacted+mustardramp.Index(sim.compactEvery) {
		return
	}
	state, err := n.machine.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	n.compacted = n.applied
	if err := n.core.compact(n.applied, state); err != nil {
		sim.t.Fatal(err)
	}
	// Members that are behind must need the snapshot.
	n.core.log.discardThrough(n.applied)
}

func (sim *simulation) startSync(n *node) {
	b := n.core.takeBatch(n.id)
	if !b.needsSync() {
		sim.sendAll(n, b.messages)
		return
	}
	b.messages = slices.DeleteFunc(b.messages, func(m Message) bool {
		early := sim.brokenRule == voteBeforeSync && m.Kind == MessageVoteReply ||
			sim.brokenRule == acknowledgeBeforeSync && m.Kind == MessageAppendReply
		if early {
			sim.sendAll(n, []Message{m})
		}
		return early
	})
	n.syncing = &b
	n.syncDue = sim.now + sim.random.IntN(sim.syncDelay)
}

func (sim *simulation) finishSync(n *node) {
	sim.t.Helper()
	b := n.syncing
	n.syncing = nil
	if err := b.write(n.journal); err != nil {
		sim.t.Fatalf("%s: %v", n.host, err)
	}
	sim.sendAll(n, b.messages)
	n.core.recordSync(b.syncPoint)
}

func (sim *simulation) sendAll(n *node, messages []Message) {
	for _, m := range messages {
		sim.checkVote(m)
		for host, other := range sim.nodes {
			if other.id.Member.ID == m.To {
				sim.transmit(n, host, m)
			}
		}
	}
}

// checkVote checks that a member grants only one vote in a term.
func (sim *simulation) checkVote(m Message) {
	if m.Kind != MessageVoteReply || m.Reject {
		return
	}
	key := voteKey{m.From, m.Term}
	if earlier, ok := sim.votesCast[key]; ok && earlier != m.To {
		sim.failInvariant("member %d voted for %d and %d in term %d", m.From, earlier, m.To, m.Term)
	}
	sim.votesCast[key] = m.To
}

// transmit sends a message over the simulated network, which may lose, delay or
// duplicate it.
func (sim *simulation) transmit(n *node, to mustardramp.HostName, m Message) {
	p := path{n.host, to}
	if sim.dropMessage != nil && sim.dropMessage(to, m) {
		return
	}
	copies := 1
	if sim.random.IntN(1000) < sim.duplication {
		copies++
	}
	for range copies {
		if sim.cutPaths[p] || sim.random.IntN(1000) < sim.loss {
			continue
		}
		due := sim.now + 1 + sim.random.IntN(sim.delay)
		sim.inFlight = append(sim.inFlight, inFlightMessage{due: due, path: p, message: m})
	}
}

// falsifyCandidate makes the log of a candidate look newer than all others if the
// rule against outdated candidates is broken.
func (sim *simulation) falsifyCandidate(m Message) Message {
	if sim.brokenRule == voteForAnyone && (m.Kind == MessageVote || m.Kind == MessagePreVote) {
		m.LogTerm = 1 << 40
	}
	return m
}

// applyBrokenRule changes the core as an implementation without the rule would.
func (sim *simulation) applyBrokenRule(n *node) {
	c := n.core
	switch sim.brokenRule {
	case countOlderTerms:
		if c.role == leader {
			c.commitIndex = max(c.commitIndex, quorumValue(c.membership(), c.matchIndexOf))
		}
	case readWithoutRound:
		if c.role != leader {
			return
		}
		for _, r := range c.leaderState.queuedReads {
			c.finishRead(r, max(c.commitIndex, 1))
		}
		c.leaderState.queuedReads = nil
	case readBeforeOwnEntry:
		if c.role == leader {
			c.leaderState.firstIndex = 0
			c.commitIndex = max(c.commitIndex, 1)
		}
	}
}

// runUntil runs steps until a condition holds, up to the limit. The event names the
// condition in the failure.
func (sim *simulation) runUntil(limit int, event string, condition func() bool) {
	sim.t.Helper()
	for range limit {
		if condition() {
			return
		}
		sim.step()
	}
	if !condition() {
		sim.t.Fatalf("after %d steps: got no %s, want one", limit, event)
	}
}

// leader returns the node that leads the highest term, or nil.
func (sim *simulation) leader() *node {
	var found *node
	for _, host := range sim.hosts {
		n := sim.nodes[host]
		if n.core == nil || n.core.role != leader {
			continue
		}
		if found == nil || n.core.hardState.Term > found.core.hardState.Term {
			found = n
		}
	}
	return found
}

// isolate cuts the paths to a node (in), from it (out) or both. A direction that is
// not cut is restored.
func (sim *simulation) isolate(n *node, in, out bool) {
	for _, host := range sim.hosts {
		if host == n.host {
			continue
		}
		sim.cutPaths[path{host, n.host}] = in
		sim.cutPaths[path{n.host, host}] = out
	}
}

// heal restores all paths.
func (sim *simulation) heal() {
	clear(sim.cutPaths)
}

// recordingMachine is a state machine that keeps all commands.
type recordingMachine struct {
	mu       sync.Mutex
	commands [][]byte
}

// recorded returns a copy of the commands so far. A running member may still apply
// a command a second time after its result is known.
func (m *recordingMachine) recorded() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

func (m *recordingMachine) Apply(_ mustardramp.Index, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, command)
	return command
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	return encode(m.recorded())
}

func (m *recordingMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return decode(snapshot, &m.commands)
}
