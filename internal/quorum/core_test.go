package quorum

import (
	"fmt"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// settle is how many steps any election and catch-up may take in these tests.
const settle = 600

func (w *world) propose(n *node, number int) {
	id := ProposalID{Member: n.core.self.ID, Number: uint64(number)}
	command := fmt.Appendf(nil, "%d", number)
	n.core.propose([]Entry{{Kind: EntryCommand, Proposal: id, Command: command}})
	w.pump(n)
}

// commitOne has a command committed on a node that serves.
func (w *world) commitOne(number int) {
	w.t.Helper()
	w.runUntil(settle, "leader", func() bool { return w.leader() != nil })
	n := w.leader()
	w.propose(n, number)
	w.runUntil(settle, "commit", func() bool { return w.holds(n, number) })
}

func (w *world) holds(n *node, number int) bool {
	m, ok := n.machine.(*tape)
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

func (w *world) all(holds func(n *node) bool) func() bool {
	return func() bool {
		for _, host := range w.hosts {
			if !holds(w.nodes[host]) {
				return false
			}
		}
		return true
	}
}

func (w *world) other(n *node) *node {
	for _, host := range w.hosts {
		if host != n.host {
			return w.nodes[host]
		}
	}
	return nil
}

func TestGroupsOfAllSizesCommit(t *testing.T) {
	for size := 1; size <= 7; size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newWorld(t, uint64(size), size)
			w.commitOne(1)
			w.runUntil(settle, "spread", w.all(func(n *node) bool { return w.holds(n, 1) }))
		})
	}
}

func TestLeaderThatCannotHearStepsDown(t *testing.T) {
	w := newWorld(t, 1, 5)
	w.commitOne(1)
	old := w.leader()
	w.isolate(old, true, false)
	w.runUntil(settle, "step down", func() bool { return old.core.role != leader })
	w.runUntil(settle, "new leader", func() bool { return w.leader() != nil && w.leader() != old })
	w.commitOne(2)
}

func TestMemberThatCannotSendDisturbsNobody(t *testing.T) {
	for name, tc := range map[string]struct{ in, out bool }{
		"cannot hear": {in: true},
		"cannot send": {out: true},
		"neither":     {in: true, out: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 5)
			w.commitOne(1)
			first := w.leader()
			term := first.core.state.Term
			w.isolate(w.other(first), tc.in, tc.out)
			for range settle {
				w.step()
			}
			w.heal()
			for range settle {
				w.step()
			}
			if got := w.leader(); got != first || got.core.state.Term != term {
				t.Errorf("got leader %v, want the first one in its term", got)
			}
		})
	}
}

func TestIsolatedLeaderNeitherReadsNorAccepts(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.commitOne(1)
	old := w.leader()
	w.isolate(old, true, true)
	served := false
	w.read = func(n *node, _ uint64, ok bool) { served = served || ok && n == old }
	w.propose(old, 2)
	old.core.read(1)
	w.pump(old)
	w.runUntil(settle, "new leader", func() bool { return w.leader() != nil && w.leader() != old })
	w.commitOne(3)
	old.core.read(2)
	w.pump(old)
	for range settle {
		w.step()
	}
	if served {
		t.Error("got a read from an isolated member, want none")
	}
	if w.holds(old, 2) {
		t.Error("got a commit on an isolated member, want none")
	}
	w.heal()
	w.runUntil(settle, "catch-up", func() bool { return w.holds(old, 3) })
	if w.holds(old, 2) {
		t.Error("got the command of a deposed leader, want it dropped")
	}
}

func TestMemberFarBehindTakesASnapshot(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.compactEvery = 10
	w.commitOne(1)
	behind := w.other(w.leader())
	w.crash(behind)
	for i := 2; i < 60; i++ {
		w.commitOne(i)
	}
	w.loss = 100
	w.restart(behind)
	w.runUntil(settle, "catch-up", func() bool { return w.holds(behind, 59) })
	if behind.core.snapshot == nil {
		t.Error("got no snapshot, want one")
	}
	for i := 1; i < 60; i++ {
		if !w.holds(behind, i) {
			t.Errorf("got no command %d, want it", i)
		}
	}
}

func TestLargeSnapshotTravelsInPieces(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.commitOne(1)
	behind := w.other(w.leader())
	w.crash(behind)
	lead := w.leader()
	big := make([]byte, 3*pieceSize)
	lead.core.propose([]Entry{{Kind: EntryCommand, Proposal: ProposalID{1, 7}, Command: big}})
	w.commitOne(2)
	w.compactEvery = 1
	w.commitOne(3)
	w.compactEvery = 0
	w.loss, w.repeat = 100, 100
	w.restart(behind)
	w.runUntil(settle, "catch-up", func() bool { return w.holds(behind, 3) })
	if behind.core.snapshot == nil {
		t.Error("got no snapshot, want one")
	}
}

func TestRestartOfAllKeepsWhatWasCommitted(t *testing.T) {
	w := newWorld(t, 5, 5)
	w.compactEvery = 7
	for round := range 10 {
		for i := range 5 {
			w.commitOne(round*5 + i)
		}
		for _, host := range w.hosts {
			w.crash(w.nodes[host])
		}
		for _, host := range w.hosts {
			w.restart(w.nodes[host])
		}
	}
	w.commitOne(1000)
	for i := range 50 {
		if !w.holds(w.leader(), i) {
			t.Errorf("got no command %d, want it", i)
		}
	}
}

func TestHostThatLostItsDiskComesBackAsANewMember(t *testing.T) {
	w := newWorld(t, 6, 3)
	w.compactEvery = 20
	for i := range 50 {
		w.commitOne(i)
	}
	lost := w.other(w.leader())
	old := lost.id.Member.ID
	w.loseDisk(lost)
	fresh := lost.id.Member.ID
	w.runUntil(2*settle, "vote of the new identity", func() bool {
		n := w.leader()
		return n != nil && n.core.membership().isVoter(fresh) && n.core.mayChange()
	})
	membership := w.leader().core.membership()
	if _, ok := membership.Member(old); ok || membership.voters() != 3 {
		t.Errorf("got %v, want 3 voters without %d", membership, old)
	}
	// A second host is lost right after the repair.
	second := w.nodes[w.hosts[0]]
	if second == lost {
		second = w.nodes[w.hosts[1]]
	}
	w.crash(second)
	w.commitOne(100)
	for i := range 50 {
		w.runUntil(settle, "catch-up", func() bool { return w.holds(lost, i) })
	}
}

func TestRemovedMemberDisturbsNobody(t *testing.T) {
	w := newWorld(t, 7, 5)
	w.commitOne(1)
	lead := w.leader()
	gone := w.other(lead)
	lead.core.change(Change{Remove: gone.id.Member.ID})
	w.commitOne(2)
	for range settle {
		w.step()
	}
	if got := w.leader(); got != lead {
		t.Errorf("got another leader, want the same")
	}
	if got, want := lead.core.membership().voters(), 4; got != want {
		t.Errorf("got %d voters, want %d", got, want)
	}
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	w := newWorld(t, 8, 3)
	w.commitOne(1)
	old := w.leader()
	old.core.change(Change{Remove: old.id.Member.ID})
	w.pump(old)
	w.runUntil(settle, "new leader", func() bool { return w.leader() != nil && w.leader() != old })
	w.commitOne(2)
	if got, want := w.leader().core.membership().voters(), 2; got != want {
		t.Errorf("got %d voters, want %d", got, want)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	w := newWorld(t, 9, 5)
	w.commitOne(1)
	lead := w.leader()
	for _, host := range w.hosts {
		if n := w.nodes[host]; n != lead {
			lead.core.change(Change{Remove: n.id.Member.ID})
		}
	}
	if got, want := lead.core.membership().voters(), 4; got != want {
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

func TestLateSnapshotKeepsWhatFollowsIt(t *testing.T) {
	w := newWorld(t, 10, 3)
	for i := range 5 {
		w.commitOne(i)
	}
	behind := w.other(w.leader())
	w.runUntil(settle, "copy", func() bool { return w.holds(behind, 4) })
	last := behind.core.log.last()
	term := behind.core.log.lastTerm()
	i, err := newImage(Snapshot{Index: last - 1, Term: term, Membership: behind.core.membership()})
	if err != nil {
		t.Fatal(err)
	}
	behind.core.commit, behind.core.handed = 1, 1
	behind.core.step(Message{
		Kind:    MessagePiece,
		From:    w.leader().id.Member.ID,
		To:      behind.id.Member.ID,
		Term:    behind.core.state.Term,
		Index:   i.Index,
		LogTerm: i.Term,
		Piece:   &Piece{Size: len(i.encoded), Sum: i.sum, Data: i.encoded},
	})
	if got := behind.core.log.last(); got != last {
		t.Errorf("got last entry %d, want %d", got, last)
	}
	if got, want := behind.core.commit, last-1; got != want {
		t.Errorf("got commit %d, want %d", got, want)
	}
}
