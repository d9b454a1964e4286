package quorum

import (
	"fmt"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// recoverViolation turns the panic of an invariant violation into an error. If a
// rule is broken on purpose, any panic counts as a detection of that.
func recoverViolation(broken brokenRule, err *error) {
	r := recover()
	if r == nil {
		return
	}
	if _, ok := r.(invariantViolation); !ok && broken == noBrokenRule {
		panic(r)
	}
	*err = fmt.Errorf("%v", r)
}

// voteTwice has a member crash between its vote and the sync of that vote, and then
// requests its vote for another candidate in the same term.
func voteTwice(t *testing.T, seed uint64, broken brokenRule) (err error) {
	defer recoverViolation(broken, &err)
	sim := newSimulation(t, seed, 3)
	sim.brokenRule = broken
	sim.commit(1)
	voter := sim.otherNode(sim.leader())
	sim.runUntil(maxSettleSteps, "replication", func() bool { return sim.hasCommand(voter, 1) })
	sim.isolate(voter, true, true)
	sim.runUntil(maxSettleSteps, "loss of the leader", func() bool { return voter.core.leader == 0 })
	sim.heal()
	for _, host := range sim.hosts {
		if host == voter.host {
			continue
		}
		candidate := sim.nodes[host].id.Member.ID
		m := Message{Kind: MessageVote, From: candidate, To: voter.id.Member.ID, Term: 1000, Index: 1000, LogTerm: 999}
		voter.core.step(m)
		sim.processOutput(voter)
		voter.disk.Crash(nil)
		sim.startNode(voter, 0)
	}
	return nil
}

// commitOlderTerm has a leader replicate an entry of an earlier term to a quorum,
// but none of its own term. The next leader is a member with an entry of a term
// between these two, which replaces that entry. It must not have been committed.
func commitOlderTerm(t *testing.T, seed uint64, broken brokenRule) (err error) {
	defer recoverViolation(broken, &err)
	sim := newSimulation(t, seed, 5)
	sim.brokenRule = broken
	sim.maxAppendBytes = 1
	for _, n := range sim.nodes {
		n.core.maxAppendBytes = 1
	}
	sim.commit(1)
	for range maxSettleSteps / 10 {
		sim.step()
	}

	// The entry of the first leader reaches one other member.
	first := sim.leader()
	second := sim.otherNode(first)
	var rest []*node
	for _, host := range sim.hosts {
		if n := sim.nodes[host]; n != first && n != second {
			rest = append(rest, n)
		}
	}
	for _, n := range rest {
		sim.isolate(n, true, true)
	}
	sim.propose(first, 2)
	position := first.core.log.lastIndex()
	sim.runUntil(maxSettleSteps, "replication", func() bool { return second.core.synced.index >= position })
	sim.crash(first)
	sim.crash(second)

	// Another member is elected and crashes while its entry is on its own disk
	// only.
	sim.heal()
	between := sim.waitForLeader(rest)
	sim.isolate(between, true, true)
	sim.inFlight = nil
	sim.runUntil(maxSettleSteps, "synced entry", func() bool { return between.core.synced.index >= position })
	sim.crash(between)

	// The earlier entry reaches a third member, but no later entry does.
	var third, fourth *node
	for _, n := range rest {
		switch {
		case n == between:
		case third == nil:
			third = n
		default:
			fourth = n
		}
	}
	sim.crash(fourth)
	sim.heal()
	sim.dropMessage = func(to mustardramp.HostName, m Message) bool {
		return to == third.host && len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Index > position
	}
	sim.restart(first)
	sim.restart(second)
	sim.waitForLeader([]*node{first, second})
	sim.runUntil(maxSettleSteps, "replication", func() bool { return third.core.synced.index >= position })
	for range maxSettleSteps / 10 {
		sim.step()
	}

	// The member with the entry of the term in between is elected by the members
	// that lack the last entry.
	sim.crash(first)
	sim.crash(second)
	sim.dropMessage = nil
	sim.restart(between)
	sim.restart(fourth)
	sim.commit(3)
	return nil
}

// waitForLeader runs the simulation until one of the nodes leads, and returns it.
func (sim *simulation) waitForLeader(nodes []*node) *node {
	sim.t.Helper()
	var found *node
	sim.runUntil(maxSettleSteps, "leader", func() bool {
		for _, n := range nodes {
			if n.core != nil && n.core.role == leader {
				found = n
			}
		}
		return found != nil
	})
	return found
}

func TestScenarios(t *testing.T) {
	for name, run := range map[string]func(*testing.T, uint64, brokenRule) error{
		"vote twice":        voteTwice,
		"commit older term": commitOlderTerm,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				if err := run(t, seed, noBrokenRule); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestBrokenRulesAreDetected breaks one rule at a time. The checks must detect each
// broken rule within a limited number of histories.
func TestBrokenRulesAreDetected(t *testing.T) {
	const maxHistories = 400
	for name, tc := range map[string]struct {
		broken brokenRule
		run    func(*testing.T, uint64, brokenRule) error
		// first is the seed to start from.
		first uint64
	}{
		"vote before its sync":            {voteBeforeSync, voteTwice, 1},
		"count copies of older terms":     {countOlderTerms, commitOlderTerm, 1},
		"acknowledge before the sync":     {acknowledgeBeforeSync, listHistoryError, 150},
		"read without a round":            {readWithoutRound, listHistoryError, 1},
		"read before an own entry":        {readBeforeOwnEntry, listHistoryError, 1},
		"vote for an outdated log":        {voteForAnyone, listHistoryError, 1},
		"keep identity after losing disk": {keepIdentity, listHistoryError, 153},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := tc.first; seed < tc.first+maxHistories; seed++ {
				if err := tc.run(t, seed, tc.broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no error in %d histories, want one", maxHistories)
		})
	}
}

func listHistoryError(t *testing.T, seed uint64, broken brokenRule) error {
	_, err := runListHistory(t, seed, broken)
	return err
}
