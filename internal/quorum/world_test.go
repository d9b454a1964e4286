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

// world drives cores and journals step by step over a fake network and fake
// disks. The seed decides everything.
type world struct {
	// size is the number of voters of a group without a list of hosts, or 0.
	size   int
	t      *testing.T
	random *rand.Rand
	now    int
	nodes  map[mustardramp.HostName]*node
	flying []flight
	// cut holds the one-way paths that lose everything.
	cut map[path]bool
	// drop, if set, says which messages are lost besides.
	drop func(to mustardramp.HostName, m Message) bool
	// loss and repeat are chances in 1000 a message, delay the most steps.
	loss, repeat, delay int
	// makeMachine makes the machine of a (re)started node.
	makeMachine func() mustardramp.Machine
	// flaw breaks a rule on purpose.
	flaw flaw
	// chosen holds the entry that some node handed to its machine, by index.
	chosen map[mustardramp.Index]Entry
	// leaders holds the leader of each term.
	leaders map[Term]MemberID
	// votes holds what each member voted for in each term.
	votes map[ballot]MemberID
	// appendBytes replaces the members' own bound when it is above 0.
	appendBytes int
	// compactEvery is how many applied entries lead to a snapshot; 0 is never.
	compactEvery int
	nextID       MemberID
	hosts        []mustardramp.HostName
	// applied is told of each command's result, and where.
	applied func(n *node, entry Entry, result []byte)
	// read is told of each read that may be served from the node's machine.
	read func(n *node, request uint64, ok bool)
}

type path struct {
	from, to mustardramp.HostName
}

// ballot is a member's one vote in a term.
type ballot struct {
	voter MemberID
	term  Term
}

type flight struct {
	due  int
	path path
	m    Message
}

// flaw names a rule that a world breaks on purpose.
type flaw int

const (
	soundWorld flaw = iota
	// voteBeforeSync lets votes leave before their sync.
	voteBeforeSync
	// acknowledgeBeforeSync lets answers to appends leave before their sync.
	acknowledgeBeforeSync
	// readWithoutRound serves reads at once.
	readWithoutRound
	// readBeforeOwnEntry serves reads of a leader that has committed nothing.
	readBeforeOwnEntry
	// countOlderTerms commits entries of older terms by counting copies.
	countOlderTerms
	// voteForAnyone grants votes to logs that are behind.
	voteForAnyone
	// keepIdentity lets a host that lost its disk come back as itself.
	keepIdentity
)

type node struct {
	host    mustardramp.HostName
	disk    *disk.Fake
	journal *journal.Journal
	core    *core
	id      identity
	machine mustardramp.Machine
	// applied is the last index handed to the machine, compacted the last one
	// of which a snapshot was taken.
	applied, compacted mustardramp.Index
	// boots counts the starts.
	boots   int
	syncing *batch
	syncDue int
	reads   map[uint64]mustardramp.Index
}

func newWorld(t *testing.T, seed uint64, size int) *world {
	w := &world{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[mustardramp.HostName]*node{},
		cut:     map[path]bool{},
		chosen:  map[mustardramp.Index]Entry{},
		leaders: map[Term]MemberID{},
		votes:   map[ballot]MemberID{},
		delay:   3,
	}
	w.makeMachine = func() mustardramp.Machine { return &tape{} }
	w.applied = func(*node, Entry, []byte) {}
	w.read = func(*node, uint64, bool) {}
	var membership Membership
	for i := range size {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", i+1))
		w.hosts = append(w.hosts, host)
		w.nextID++
		membership = membership.with(Member{ID: w.nextID, Host: host, Voter: true})
	}
	for _, member := range membership {
		w.nodes[member.Host] = &node{host: member.Host, disk: &disk.Fake{}}
		w.boot(w.nodes[member.Host], member.ID)
	}
	first := w.nodes[w.hosts[0]]
	first.core.found(membership)
	return w
}

// boot starts a node on its disk. A blank one takes the identity.
func (w *world) boot(n *node, fresh MemberID) {
	w.t.Helper()
	j, found, err := journal.Open(n.disk, "data", journal.Options{SegmentSize: 2000})
	if err != nil {
		w.t.Fatalf("%s: %v", n.host, err)
	}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	c, id, err := recoverCore(found, Timing{}, random)
	if err != nil {
		w.t.Fatalf("%s: %v", n.host, err)
	}
	if id == nil {
		id = &identity{Member: Member{ID: fresh, Host: n.host}}
		c.self = id.Member
		if err := (batch{records: []record{{Identity: id}}}).write(j); err != nil {
			w.t.Fatal(err)
		}
	}
	c.allow(w.hosts)
	c.size = w.size
	if w.appendBytes > 0 {
		c.appendBytes = w.appendBytes
	}
	n.journal, n.core, n.id = j, c, *id
	n.machine = w.makeMachine()
	n.applied, n.compacted, n.syncing = 0, 0, nil
	n.boots++
	n.reads = map[uint64]mustardramp.Index{}
	if c.snapshot != nil {
		w.restore(n, &c.snapshot.Snapshot)
	}
}

func (w *world) restore(n *node, s *Snapshot) {
	w.t.Helper()
	if err := n.machine.Restore(s.State); err != nil {
		w.t.Fatal(err)
	}
	n.applied, n.compacted = s.Index, s.Index
}

// crash stops a node; what was not synced is lost in part or whole.
func (w *world) crash(n *node) {
	if n.core == nil {
		return
	}
	if n.syncing != nil && w.random.IntN(2) == 0 {
		left := w.random.IntN(4)
		n.disk.Fail = func(disk.Operation, string) error {
			left--
			if left < 0 {
				return disk.ErrFake.New("crash")
			}
			return nil
		}
		_ = n.syncing.write(n.journal)
		n.disk.Fail = nil
	}
	n.disk.Crash(w.random)
	n.core = nil
}

func (w *world) restart(n *node) {
	if n.core == nil {
		w.nextID++
		w.boot(n, w.nextID)
	}
}

// loseDisk gives a node an empty disk. It comes back as a new member.
func (w *world) loseDisk(n *node) {
	old := n.id.Member.ID
	n.core = nil
	n.disk = &disk.Fake{}
	w.nextID++
	fresh := w.nextID
	if w.flaw == keepIdentity {
		fresh = old
	}
	w.boot(n, fresh)
}

// step lets time pass by one tick.
func (w *world) step() {
	w.t.Helper()
	w.now++
	w.deliver()
	for _, host := range w.hosts {
		n := w.nodes[host]
		if n.core == nil {
			continue
		}
		if n.syncing != nil && w.now >= n.syncDue {
			w.finishSync(n)
		}
		// Clocks drift: now and then a tick is missed.
		if w.random.IntN(10) > 0 {
			n.core.tick()
		}
		w.askToJoin(n)
		w.pump(n)
	}
}

func (w *world) deliver() {
	flying := w.flying
	w.flying = nil
	w.random.Shuffle(len(flying), func(i, k int) { flying[i], flying[k] = flying[k], flying[i] })
	for _, f := range flying {
		n := w.nodes[f.path.to]
		switch {
		case f.due > w.now:
			w.flying = append(w.flying, f)
		case n.core != nil && !w.cut[f.path]:
			n.core.step(w.bend(f.m))
			w.pump(n)
		}
	}
}

// askToJoin stands for the runner's join of a blank host.
func (w *world) askToJoin(n *node) {
	if w.now%20 != 0 || !w.isOutside(n) {
		return
	}
	self := n.id.Member
	for _, host := range w.hosts {
		other := w.nodes[host]
		if other.core != nil {
			w.launch(n, host, Message{Kind: MessageChange, From: self.ID, To: other.id.Member.ID, Change: &Change{Add: &self}})
		}
	}
}

// isOutside reports whether a node asks to join: a blank one, or, in a group
// without a list of hosts, one that may have been removed unheard.
func (w *world) isOutside(n *node) bool {
	_, member := n.core.membership().Member(n.id.Member.ID)
	if w.size > 0 {
		return !member || n.core.leader == 0
	}
	return !member && n.core.log.last() == 0
}

// addSpares makes the group one without a list of hosts, which keeps its size,
// and starts blank hosts beside it.
func (w *world) addSpares(count int) {
	w.size = len(w.hosts)
	for _, n := range w.nodes {
		n.core.size = w.size
	}
	for range count {
		host := mustardramp.HostName(fmt.Sprintf("host-%d", len(w.hosts)+1))
		w.hosts = append(w.hosts, host)
		w.nextID++
		w.nodes[host] = &node{host: host, disk: &disk.Fake{}}
		w.boot(w.nodes[host], w.nextID)
	}
}

// pump does what the core asks for.
func (w *world) pump(n *node) {
	w.t.Helper()
	if w.flaw != soundWorld {
		w.breakRule(n)
	}
	out := n.core.take()
	w.sendAll(n, out.messages)
	if out.restore != nil {
		w.restore(n, out.restore)
	}
	for _, entry := range out.committed {
		w.apply(n, entry)
	}
	for _, r := range out.reads {
		if r.refused {
			w.read(n, r.request, false)
			continue
		}
		n.reads[r.request] = r.index
	}
	w.serveReads(n)
	w.checkLeader(n)
	w.compact(n)
	if n.syncing == nil {
		w.startSync(n)
	}
}

func (w *world) apply(n *node, entry Entry) {
	w.t.Helper()
	if entry.Index != n.applied+1 {
		w.violate("%s: entry %d follows %d", n.host, entry.Index, n.applied)
	}
	n.applied = entry.Index
	chosen, ok := w.chosen[entry.Index]
	if ok && (chosen.Term != entry.Term || chosen.Proposal != entry.Proposal) {
		w.violate("%s: entry %d is %v, want %v", n.host, entry.Index, entry.Proposal, chosen.Proposal)
	}
	w.chosen[entry.Index] = entry
	if entry.Kind == EntryCommand {
		w.applied(n, entry, n.machine.Apply(entry.Index, entry.Command))
	}
}

// violation is a broken promise that a world has seen.
type violation string

func (w *world) violate(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

func (w *world) serveReads(n *node) {
	for _, request := range slices.Sorted(maps.Keys(n.reads)) {
		if n.reads[request] <= n.applied {
			delete(n.reads, request)
			w.read(n, request, true)
		}
	}
}

func (w *world) checkLeader(n *node) {
	w.t.Helper()
	if n.core.role != leader {
		return
	}
	id, ok := w.leaders[n.core.state.Term]
	if ok && id != n.core.self.ID {
		w.violate("term %d has leaders %d and %d", n.core.state.Term, id, n.core.self.ID)
	}
	w.leaders[n.core.state.Term] = n.core.self.ID
}

func (w *world) compact(n *node) {
	w.t.Helper()
	if w.compactEvery == 0 || n.applied < n.compacted+mustardramp.Index(w.compactEvery) {
		return
	}
	state, err := n.machine.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	n.compacted = n.applied
	if err := n.core.compact(n.applied, state); err != nil {
		w.t.Fatal(err)
	}
	// Members that are behind are to need the snapshot.
	n.core.log.drop(n.applied)
}

func (w *world) startSync(n *node) {
	b := n.core.takeBatch(n.id)
	if !b.mustSync() {
		w.sendAll(n, b.messages)
		return
	}
	b.messages = slices.DeleteFunc(b.messages, func(m Message) bool {
		early := w.flaw == voteBeforeSync && m.Kind == MessageVoteReply ||
			w.flaw == acknowledgeBeforeSync && m.Kind == MessageAppendReply
		if early {
			w.sendAll(n, []Message{m})
		}
		return early
	})
	n.syncing = &b
	n.syncDue = w.now + w.random.IntN(3)
}

func (w *world) finishSync(n *node) {
	w.t.Helper()
	b := n.syncing
	n.syncing = nil
	if err := b.write(n.journal); err != nil {
		w.t.Fatalf("%s: %v", n.host, err)
	}
	w.sendAll(n, b.messages)
	n.core.saved(b.mark)
}

func (w *world) sendAll(n *node, messages []Message) {
	for _, m := range messages {
		w.checkVote(m)
		for host, other := range w.nodes {
			if other.id.Member.ID == m.To {
				w.launch(n, host, m)
			}
		}
	}
}

func (w *world) checkVote(m Message) {
	if m.Kind != MessageVoteReply || m.Reject {
		return
	}
	b := ballot{m.From, m.Term}
	if earlier, ok := w.votes[b]; ok && earlier != m.To {
		w.violate("member %d voted for %d and %d in term %d", m.From, earlier, m.To, m.Term)
	}
	w.votes[b] = m.To
}

func (w *world) launch(n *node, to mustardramp.HostName, m Message) {
	p := path{n.host, to}
	if w.drop != nil && w.drop(to, m) {
		return
	}
	copies := 1
	if w.random.IntN(1000) < w.repeat {
		copies++
	}
	for range copies {
		if w.cut[p] || w.random.IntN(1000) < w.loss {
			continue
		}
		due := w.now + 1 + w.random.IntN(w.delay)
		w.flying = append(w.flying, flight{due: due, path: p, m: m})
	}
}

// bend makes a candidate's log look newer than any.
func (w *world) bend(m Message) Message {
	if w.flaw == voteForAnyone && (m.Kind == MessageVote || m.Kind == MessagePreVote) {
		m.LogTerm = 1 << 40
	}
	return m
}

// breakRule does to the core what a program without the rule would do.
func (w *world) breakRule(n *node) {
	c := n.core
	switch w.flaw {
	case countOlderTerms:
		if c.role == leader {
			c.commit = max(c.commit, quorumValue(c.membership(), c.matchOf))
		}
	case readWithoutRound:
		if c.role != leader {
			return
		}
		for _, r := range c.leading.queued {
			c.finishRead(r, max(c.commit, 1))
		}
		c.leading.queued = nil
	case readBeforeOwnEntry:
		if c.role == leader {
			c.leading.start = 0
			c.commit = max(c.commit, 1)
		}
	}
}

// runUntil steps until a condition holds, for at most limit steps.
func (w *world) runUntil(limit int, what string, holds func() bool) {
	w.t.Helper()
	for range limit {
		if holds() {
			return
		}
		w.step()
	}
	if !holds() {
		w.t.Fatalf("after %d steps: no %s", limit, what)
	}
}

// leader returns the node that leads the highest term, or nil.
func (w *world) leader() *node {
	var found *node
	for _, host := range w.hosts {
		n := w.nodes[host]
		if n.core == nil || n.core.role != leader {
			continue
		}
		if found == nil || n.core.state.Term > found.core.state.Term {
			found = n
		}
	}
	return found
}

// isolate cuts a node off in one direction or both.
func (w *world) isolate(n *node, in, out bool) {
	for _, host := range w.hosts {
		if host == n.host {
			continue
		}
		w.cut[path{host, n.host}] = in
		w.cut[path{n.host, host}] = out
	}
}

func (w *world) heal() {
	clear(w.cut)
}

// tape is a machine that keeps all commands.
type tape struct {
	mu       sync.Mutex
	commands [][]byte
}

// list returns the commands so far. A running member may apply one a second time
// after its result is known.
func (m *tape) list() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

func (m *tape) Apply(_ mustardramp.Index, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, command)
	return command
}

func (m *tape) Snapshot() ([]byte, error) {
	return encode(m.list())
}

func (m *tape) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return decode(snapshot, &m.commands)
}
