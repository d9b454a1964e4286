package quorum

import (
	"fmt"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// maxSettleSteps limits the steps that an election or a catch-up may take in these
// tests.
const maxSettleSteps = 600

// propose proposes a command that consists of the number.
func (sim *simulation) propose(n *node, number int) {
	id := ProposalID{Member: n.core.self.ID, Number: uint64(number)}
	command := fmt.Appendf(nil, "%d", number)
	n.core.propose([]Entry{{Kind: EntryCommand, Proposal: id, Command: command}})
	sim.processOutput(n)
}

// commit has the command with the number committed by the leader.
func (sim *simulation) commit(number int) {
	sim.t.Helper()
	sim.runUntil(maxSettleSteps, "leader", func() bool { return sim.leader() != nil })
	n := sim.leader()
	sim.propose(n, number)
	sim.runUntil(maxSettleSteps, "commit", func() bool { return sim.hasCommand(n, number) })
}

// hasCommand reports whether a node has applied the command with the number.
func (sim *simulation) hasCommand(n *node, number int) bool {
	m, ok := n.machine.(*recordingMachine)
	if !ok || n.core == nil {
		return false
	}
	for _, command := range m.commands {
		if string(command) == fmt.Sprint(number) {
			return true
		}
	}
	return false
}

// onAllNodes returns a condition that holds once the given one holds on all nodes.
func (sim *simulation) onAllNodes(condition func(n *node) bool) func() bool {
	return func() bool {
		for _, host := range sim.hosts {
			if !condition(sim.nodes[host]) {
				return false
			}
		}
		return true
	}
}

// otherNode returns the first node other than n.
func (sim *simulation) otherNode(n *node) *node {
	for _, host := range sim.hosts {
		if host != n.host {
			return sim.nodes[host]
		}
	}
	return nil
}

func TestGroupsOfAllSizesCommit(t *testing.T) {
	for size := 1; size <= 7; size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			sim := newSimulation(t, uint64(size), size)
			sim.commit(1)
			sim.runUntil(maxSettleSteps, "replication", sim.onAllNodes(func(n *node) bool { return sim.hasCommand(n, 1) }))
		})
	}
}

func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	sim := newSimulation(t, 1, 5)
	sim.commit(1)
	old := sim.leader()
	sim.isolate(old, true, false)
	sim.runUntil(maxSettleSteps, "step down", func() bool { return old.core.role != leader })
	sim.runUntil(maxSettleSteps, "new leader", func() bool { return sim.leader() != nil && sim.leader() != old })
	sim.commit(2)
}

func TestIsolatedMemberDoesNotDisturbLeader(t *testing.T) {
	for name, tc := range map[string]struct{ in, out bool }{
		"cannot receive": {in: true},
		"cannot send":    {out: true},
		"isolated":       {in: true, out: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 5)
			sim.commit(1)
			first := sim.leader()
			term := first.core.hardState.Term
			sim.isolate(sim.otherNode(first), tc.in, tc.out)
			for range maxSettleSteps {
				sim.step()
			}
			sim.heal()
			for range maxSettleSteps {
				sim.step()
			}
			if got := sim.leader(); got != first || got.core.hardState.Term != term {
				t.Errorf("got leader %v, want the first leader in its first term", got)
			}
		})
	}
}

func TestIsolatedLeaderNeitherReadsNorAccepts(t *testing.T) {
	sim := newSimulation(t, 2, 3)
	sim.commit(1)
	old := sim.leader()
	sim.isolate(old, true, true)
	served := false
	sim.onRead = func(n *node, _ uint64, ok bool) { served = served || ok && n == old }
	sim.propose(old, 2)
	old.core.read(1)
	sim.processOutput(old)
	sim.runUntil(maxSettleSteps, "new leader", func() bool { return sim.leader() != nil && sim.leader() != old })
	sim.commit(3)
	old.core.read(2)
	sim.processOutput(old)
	for range maxSettleSteps {
		sim.step()
	}
	if served {
		t.Error("got a read served by the isolated leader, want none")
	}
	if sim.hasCommand(old, 2) {
		t.Error("got a commit on the isolated leader, want none")
	}
	sim.heal()
	sim.runUntil(maxSettleSteps, "catch-up", func() bool { return sim.hasCommand(old, 3) })
	if sim.hasCommand(old, 2) {
		t.Error("got the uncommitted command of the deposed leader, want it dropped")
	}
}

func TestMemberFarBehindTakesASnapshot(t *testing.T) {
	sim := newSimulation(t, 3, 3)
	sim.compactEvery = 10
	sim.commit(1)
	behind := sim.otherNode(sim.leader())
	sim.crash(behind)
	for i := 2; i < 60; i++ {
		sim.commit(i)
	}
	sim.loss = 100
	sim.restart(behind)
	sim.runUntil(maxSettleSteps, "catch-up", func() bool { return sim.hasCommand(behind, 59) })
	if behind.core.snapshot == nil {
		t.Error("got no snapshot, want one")
	}
	for i := 1; i < 60; i++ {
		if !sim.hasCommand(behind, i) {
			t.Errorf("got no command %d, want it", i)
		}
	}
}

func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	sim := newSimulation(t, 4, 3)
	sim.commit(1)
	behind := sim.otherNode(sim.leader())
	sim.crash(behind)
	lead := sim.leader()
	big := make([]byte, 3*chunkBytes)
	lead.core.propose([]Entry{{Kind: EntryCommand, Proposal: ProposalID{1, 7}, Command: big}})
	sim.commit(2)
	sim.compactEvery = 1
	sim.commit(3)
	sim.compactEvery = 0
	sim.loss, sim.duplication = 100, 100
	sim.restart(behind)
	sim.runUntil(maxSettleSteps, "catch-up", func() bool { return sim.hasCommand(behind, 3) })
	if behind.core.snapshot == nil {
		t.Error("got no snapshot, want one")
	}
}

func TestRestartOfAllKeepsWhatWasCommitted(t *testing.T) {
	sim := newSimulation(t, 5, 5)
	sim.compactEvery = 7
	for round := range 10 {
		for i := range 5 {
			sim.commit(round*5 + i)
		}
		for _, host := range sim.hosts {
			sim.crash(sim.nodes[host])
		}
		for _, host := range sim.hosts {
			sim.restart(sim.nodes[host])
		}
	}
	sim.commit(1000)
	for i := range 50 {
		if !sim.hasCommand(sim.leader(), i) {
			t.Errorf("got no command %d, want it", i)
		}
	}
}

func TestHostThatLostItsDiskComesBackAsANewMember(t *testing.T) {
	sim := newSimulation(t, 6, 3)
	sim.compactEvery = 20
	for i := range 50 {
		sim.commit(i)
	}
	lost := sim.otherNode(sim.leader())
	old := lost.id.Member.ID
	sim.loseDisk(lost)
	fresh := lost.id.Member.ID
	sim.runUntil(2*maxSettleSteps, "vote of the new identity", func() bool {
		n := sim.leader()
		return n != nil && n.core.membership().isVoter(fresh) && n.core.canChangeMembership()
	})
	membership := sim.leader().core.membership()
	if _, ok := membership.Member(old); ok || membership.VoterCount() != 3 {
		t.Errorf("got %v, want 3 voters without %d", membership, old)
	}
	// A second host fails right after the first one has been replaced.
	second := sim.nodes[sim.hosts[0]]
	if second == lost {
		second = sim.nodes[sim.hosts[1]]
	}
	sim.crash(second)
	sim.commit(100)
	for i := range 50 {
		sim.runUntil(maxSettleSteps, "catch-up", func() bool { return sim.hasCommand(lost, i) })
	}
}

func TestRemovedMemberDoesNotDisturbLeader(t *testing.T) {
	sim := newSimulation(t, 7, 5)
	sim.commit(1)
	lead := sim.leader()
	gone := sim.otherNode(lead)
	lead.core.requestChange(Change{Remove: gone.id.Member.ID})
	sim.commit(2)
	for range maxSettleSteps {
		sim.step()
	}
	if got := sim.leader(); got != lead {
		t.Errorf("got another leader, want the first one")
	}
	if got, want := lead.core.membership().VoterCount(), 4; got != want {
		t.Errorf("got %d voters, want %d", got, want)
	}
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	sim := newSimulation(t, 8, 3)
	sim.commit(1)
	old := sim.leader()
	old.core.requestChange(Change{Remove: old.id.Member.ID})
	sim.processOutput(old)
	sim.runUntil(maxSettleSteps, "new leader", func() bool { return sim.leader() != nil && sim.leader() != old })
	sim.commit(2)
	if got, want := sim.leader().core.membership().VoterCount(), 2; got != want {
		t.Errorf("got %d voters, want %d", got, want)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	sim := newSimulation(t, 9, 5)
	sim.commit(1)
	lead := sim.leader()
	for _, host := range sim.hosts {
		if n := sim.nodes[host]; n != lead {
			lead.core.requestChange(Change{Remove: n.id.Member.ID})
		}
	}
	if got, want := lead.core.membership().VoterCount(), 4; got != want {
		t.Errorf("got %d voters before the first change is committed, want %d", got, want)
	}
}

func TestQuorumValue(t *testing.T) {
	for name, tc := range map[string]struct {
		values []mustardramp.Index
		want   mustardramp.Index
	}{
		"none":  {nil, 0},
		"one":   {[]mustardramp.Index{4}, 4},
		"two":   {[]mustardramp.Index{4, 9}, 4},
		"three": {[]mustardramp.Index{9, 4, 7}, 7},
		"four":  {[]mustardramp.Index{9, 4, 7, 8}, 7},
		"five":  {[]mustardramp.Index{1, 1, 7, 8, 9}, 7},
	} {
		t.Run(name, func(t *testing.T) {
			var m Membership
			for i := range tc.values {
				m = m.with(Member{ID: MemberID(i), Voter: true})
			}
			got := quorumValue(m, func(id MemberID) mustardramp.Index { return tc.values[id] })
			if got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

func TestLateSnapshotKeepsLaterEntries(t *testing.T) {
	sim := newSimulation(t, 10, 3)
	for i := range 5 {
		sim.commit(i)
	}
	behind := sim.otherNode(sim.leader())
	sim.runUntil(maxSettleSteps, "replication", func() bool { return sim.hasCommand(behind, 4) })
	last := behind.core.log.lastIndex()
	term := behind.core.log.lastTerm()
	snapshot, err := encodeSnapshot(Snapshot{Index: last - 1, Term: term, Membership: behind.core.membership()})
	if err != nil {
		t.Fatal(err)
	}
	behind.core.commitIndex, behind.core.dispatched = 1, 1
	behind.core.step(Message{
		Kind:    MessageSnapshotChunk,
		From:    sim.leader().id.Member.ID,
		To:      behind.id.Member.ID,
		Term:    behind.core.hardState.Term,
		Index:   snapshot.Index,
		LogTerm: snapshot.Term,
		Chunk:   &SnapshotChunk{TotalSize: len(snapshot.encoded), Checksum: snapshot.checksum, Data: snapshot.encoded},
	})
	if got := behind.core.log.lastIndex(); got != last {
		t.Errorf("got last entry %d, want %d", got, last)
	}
	if got, want := behind.core.commitIndex, last-1; got != want {
		t.Errorf("got commit %d, want %d", got, want)
	}
}
