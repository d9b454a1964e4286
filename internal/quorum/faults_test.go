package quorum

import (
	"github.com/mustardramp/mustardramp"
)

// faultInjector injects random faults into a simulation. Faults may overlap and
// repeat.
type faultInjector struct {
	sim *simulation
	// diskLosses is the number of disks that may still be lost.
	diskLosses int
}

// meanStepsBetweenFaults is the mean number of steps between faults.
const meanStepsBetweenFaults = 25

// step injects a random fault in some of the steps, and rarely a crash of all hosts
// as well.
func (f *faultInjector) step() {
	sim := f.sim
	if sim.random.IntN(meanStepsBetweenFaults) > 0 {
		return
	}
	n := sim.nodes[sim.hosts[sim.random.IntN(len(sim.hosts))]]
	switch sim.random.IntN(10) {
	case 0, 1:
		sim.crash(n)
	case 2, 3, 4:
		sim.restart(n)
	case 5:
		sim.isolate(n, sim.random.IntN(2) == 0, sim.random.IntN(2) == 0)
	case 6:
		sim.cutPaths[path{n.host, sim.hosts[sim.random.IntN(len(sim.hosts))]}] = true
	case 7:
		sim.heal()
	case 8:
		sim.loss, sim.duplication = sim.random.IntN(150), sim.random.IntN(150)
		sim.delay = 1 + sim.random.IntN(12)
	case 9:
		f.loseDisk(n)
	}
	if sim.random.IntN(60) == 0 {
		f.crashAll()
	}
}

// crashAll crashes all hosts at the same time and restarts them.
func (f *faultInjector) crashAll() {
	for _, host := range f.sim.hosts {
		f.sim.crash(f.sim.nodes[host])
	}
	for _, host := range f.sim.hosts {
		f.sim.restart(f.sim.nodes[host])
	}
}

// loseDisk empties the disk of a node, unless an earlier loss is not repaired yet.
// Other nodes may be down or isolated at the same time.
func (f *faultInjector) loseDisk(n *node) {
	if f.diskLosses > 0 && f.sim.isRepaired() {
		f.diskLosses--
		f.sim.loseDisk(n)
	}
}

// repairAll ends all faults.
func (f *faultInjector) repairAll() {
	f.sim.heal()
	f.sim.loss, f.sim.duplication, f.sim.delay = 0, 0, 2
	for _, host := range f.sim.hosts {
		f.sim.restart(f.sim.nodes[host])
	}
}

// isRepaired reports whether the voters are exactly the current identities of all
// hosts. In a group without a fixed list of hosts, the voters need to be current
// identities and as many as the group's target.
func (sim *simulation) isRepaired() bool {
	n := sim.leader()
	if sim.targetVoters > 0 {
		return n != nil && n.core.canChangeMembership() && sim.hasCurrentVoters(n.core.membership())
	}
	if n == nil || !n.core.canChangeMembership() || n.core.membership().VoterCount() != len(sim.hosts) {
		return false
	}
	for _, host := range sim.hosts {
		if !n.core.membership().isVoter(sim.nodes[host].id.Member.ID) {
			return false
		}
	}
	return true
}

// hasCurrentVoters reports whether a group has its target number of voters and
// each of them is the current identity of a host.
func (sim *simulation) hasCurrentVoters(group Membership) bool {
	current := map[MemberID]bool{}
	for _, n := range sim.nodes {
		current[n.id.Member.ID] = true
	}
	for _, member := range group {
		if member.Voter && !current[member.ID] {
			return false
		}
	}
	return group.VoterCount() == sim.targetVoters
}

// attempt is one submission of a client's operation to a node.
type attempt struct {
	node *node
	// starts is that of the node at the time of the submission.
	starts int
	number uint64
	// deadline is the step at which the client tries again.
	deadline int
}

// isAnsweredBy reports whether a result on a node answers the attempt. It does not if
// the node was restarted since.
func (a attempt) isAnsweredBy(n *node, number uint64) bool {
	return a.node == n && a.starts == n.starts && a.number == number
}

// attemptTimeoutSteps is the number of steps after which a client tries again.
const attemptTimeoutSteps = 60

// newAttempt picks a random node. It returns false if that node is down.
func (sim *simulation) newAttempt(number uint64) (attempt, bool) {
	n := sim.nodes[sim.hosts[sim.random.IntN(len(sim.hosts))]]
	if n.core == nil {
		return attempt{}, false
	}
	return attempt{node: n, starts: n.starts, number: number, deadline: sim.now + attemptTimeoutSteps}, true
}

func (a attempt) propose(sim *simulation, command []byte) {
	id := ProposalID{Member: a.node.id.Member.ID, Number: a.number}
	a.node.core.propose([]Entry{{Kind: EntryCommand, Proposal: id, Command: command}})
	sim.processOutput(a.node)
}

func (a attempt) read(sim *simulation) {
	a.node.core.read(a.number)
	sim.processOutput(a.node)
}

// listMachine is a state machine that holds lists by key. A repeated command
// returns its first result and has no other effect.
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
