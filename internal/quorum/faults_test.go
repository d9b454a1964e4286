package quorum

import (
	"github.com/mustardramp/mustardramp"
)

// trouble makes faults happen in a world, any of them at any moment, together
// or twice.
type trouble struct {
	w *world
	// losses counts the disks that may still be lost.
	losses int
}

// faultEvery is the mean time between faults, in steps.
const faultEvery = 25

func (f *trouble) step() {
	w := f.w
	if w.random.IntN(faultEvery) > 0 {
		return
	}
	n := w.nodes[w.hosts[w.random.IntN(len(w.hosts))]]
	switch w.random.IntN(10) {
	case 0, 1:
		w.crash(n)
	case 2, 3, 4:
		w.restart(n)
	case 5:
		w.isolate(n, w.random.IntN(2) == 0, w.random.IntN(2) == 0)
	case 6:
		w.cut[path{n.host, w.hosts[w.random.IntN(len(w.hosts))]}] = true
	case 7:
		w.heal()
	case 8:
		w.loss, w.repeat = w.random.IntN(150), w.random.IntN(150)
		w.delay = 1 + w.random.IntN(12)
	case 9:
		f.loseDisk(n)
	}
	if w.random.IntN(60) == 0 {
		f.crashAll()
	}
}

// crashAll takes the power from all hosts at once.
func (f *trouble) crashAll() {
	for _, host := range f.w.hosts {
		f.w.crash(f.w.nodes[host])
	}
	for _, host := range f.w.hosts {
		f.w.restart(f.w.nodes[host])
	}
}

// loseDisk takes a disk when the last such loss is repaired. Others may be
// down or cut off meanwhile.
func (f *trouble) loseDisk(n *node) {
	if f.losses > 0 && f.w.isRepaired() {
		f.losses--
		f.w.loseDisk(n)
	}
}

// end mends everything.
func (f *trouble) end() {
	f.w.heal()
	f.w.loss, f.w.repeat, f.w.delay = 0, 0, 2
	for _, host := range f.w.hosts {
		f.w.restart(f.w.nodes[host])
	}
}

// isRepaired reports whether the voters are just the present identities of all
// hosts.
func (w *world) isRepaired() bool {
	n := w.leader()
	if w.size > 0 {
		return n != nil && n.core.mayChange() && w.hasPresentVoters(n.core.membership())
	}
	if n == nil || !n.core.mayChange() || n.core.membership().voters() != len(w.hosts) {
		return false
	}
	for _, host := range w.hosts {
		if !n.core.membership().isVoter(w.nodes[host].id.Member.ID) {
			return false
		}
	}
	return true
}

// hasPresentVoters reports whether a group has its size in voters, each of which
// is a host's present identity.
func (w *world) hasPresentVoters(group Membership) bool {
	present := map[MemberID]bool{}
	for _, n := range w.nodes {
		present[n.id.Member.ID] = true
	}
	for _, member := range group {
		if member.Voter && !present[member.ID] {
			return false
		}
	}
	return group.voters() == w.size
}

// attempt is one sending of a client's operation through a node.
type attempt struct {
	node   *node
	boots  int
	number uint64
	until  int
}

// isBy reports whether a result on a node answers the attempt: the process
// that took it must still run.
func (a attempt) isBy(n *node, number uint64) bool {
	return a.node == n && a.boots == n.boots && a.number == number
}

// patience is how long a client waits before it sends again, in steps.
const patience = 60

// attempt picks a running node, or reports false.
func (w *world) attempt(number uint64) (attempt, bool) {
	n := w.nodes[w.hosts[w.random.IntN(len(w.hosts))]]
	if n.core == nil {
		return attempt{}, false
	}
	return attempt{node: n, boots: n.boots, number: number, until: w.now + patience}, true
}

func (a attempt) propose(w *world, command []byte) {
	id := ProposalID{Member: a.node.id.Member.ID, Number: a.number}
	a.node.core.propose([]Entry{{Kind: EntryCommand, Proposal: id, Command: command}})
	w.pump(a.node)
}

func (a attempt) read(w *world) {
	a.node.core.read(a.number)
	w.pump(a.node)
}

// listMachine keeps lists by key. A command that was applied before returns
// its first result.
type listMachine struct {
	state listState
}

type listState struct {
	Lists   map[string][]uint64
	Results map[uint64]int
}

type listCommand struct {
	Operation uint64
	Key       string
}

func newListMachine() *listMachine {
	return &listMachine{listState{Lists: map[string][]uint64{}, Results: map[uint64]int{}}}
}

func (m *listMachine) Apply(_ mustardramp.Index, command []byte) []byte {
	var c listCommand
	if err := decode(command, &c); err != nil {
		panic(err)
	}
	length, ok := m.state.Results[c.Operation]
	if !ok {
		m.state.Lists[c.Key] = append(m.state.Lists[c.Key], c.Operation)
		length = len(m.state.Lists[c.Key])
		m.state.Results[c.Operation] = length
	}
	result, err := encode(length)
	if err != nil {
		panic(err)
	}
	return result
}

func (m *listMachine) Snapshot() ([]byte, error) {
	return encode(m.state)
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.state = newListMachine().state
	return decode(snapshot, &m.state)
}
