package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/disk"
)

const (
	// catchUpTicks is the shortest time of the users' deployments after which a host
	// that is back no longer counts as lost.
	catchUpTicks = 80
	// freezeTicks is how long a host is frozen.
	freezeTicks = 140
	// successorTicks is the time from the loss of a host to the start of its successor.
	successorTicks = 20
	// replacementSeeds is the number of seeds for each order of events.
	replacementSeeds = 12
)

// newReplacementSimulation returns a group without a fixed list of hosts whose first
// three hosts are the seeds, with a committed command.
func newReplacementSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, seededVoters)
	sim.targetVoters = seededVoters
	sim.seeds = sim.hosts[:3]
	// The longest path of the users' deployments takes 8 ms and the slowest sync 5 ms, each
	// less than a tick.
	sim.delay, sim.syncDelay = 1, 1
	for _, host := range sim.hosts {
		n := sim.nodes[host]
		n.core.targetVoters = seededVoters
		n.bootstrapper = newBootstrapper(n.id.Member, &Config{Hosts: sim.seeds, TargetVoters: seededVoters})
	}
	sim.commit(1)
	sim.runUntil(maxSettleSteps, "replication", sim.onAllNodes(func(n *node) bool { return sim.hasCommand(n, 1) }))
	return sim
}

// startSpare starts a blank host that no membership has named before. The seeds in its
// settings are hosts that run.
func (sim *simulation) startSpare() *node {
	sim.seeds = nil
	for _, host := range sim.hosts {
		if sim.nodes[host].core != nil && len(sim.seeds) < 3 {
			sim.seeds = append(sim.seeds, host)
		}
	}
	host := mustardramp.HostName(fmt.Sprintf("host-%d", len(sim.hosts)+1))
	sim.hosts = append(sim.hosts, host)
	sim.nodes[host] = &node{host: host, disk: &disk.Fake{}}
	sim.nextID++
	sim.startNode(sim.nodes[host], sim.nextID)
	return sim.nodes[host]
}

func (sim *simulation) runSteps(count int) {
	sim.t.Helper()
	for range count {
		sim.step()
	}
}

// replacementCase is an order of events: one host is frozen, another one is gone for
// good, and an empty host takes its place.
type replacementCase struct {
	// frozen and gone are positions among the hosts, which is the order of their IDs.
	frozen, gone int
	// frozenLead is how many ticks the freeze begins before the other host is gone.
	frozenLead int
	// lead is the position of the host that leads at first.
	lead int
}

// replacementCases returns orders of events by name.
func replacementCases() map[string]replacementCase {
	cases := map[string]replacementCase{}
	for _, hosts := range []struct{ frozen, gone int }{{0, 4}, {4, 0}, {1, 3}, {3, 1}} {
		for _, frozenLead := range []int{-10, 0, 2, 10} {
			for leads, lead := range map[string]int{"another": 2, "the frozen one": hosts.frozen, "the one that is gone": hosts.gone} {
				name := fmt.Sprintf("frozen %d, gone %d after %d ticks, %s leads", hosts.frozen, hosts.gone, frozenLead, leads)
				cases[name] = replacementCase{hosts.frozen, hosts.gone, frozenLead, lead}
			}
		}
	}
	return cases
}

// elect makes the host at a position the leader.
func (sim *simulation) elect(position int) {
	sim.t.Helper()
	n := sim.nodes[sim.hosts[position]]
	for range 100 {
		if sim.leader() == n {
			sim.commit(2)
			return
		}
		if old := sim.leader(); old != nil {
			old.core.becomeFollower(old.core.hardState.Term, 0)
		}
		n.core.startPreVote()
		for _, other := range sim.nodes {
			other.core.leader = 0
		}
		sim.processOutput(n)
		sim.runSteps(10)
	}
	sim.t.Fatalf("got no leader %s", n.host)
}

// play plays the order of events until the frozen host goes on. It returns the host that
// is gone.
func (c replacementCase) play(sim *simulation) *node {
	sim.t.Helper()
	sim.elect(c.lead)
	frozen, gone := sim.nodes[sim.hosts[c.frozen]], sim.nodes[sim.hosts[c.gone]]
	freezeAt, goneAt := 0, c.frozenLead
	if c.frozenLead < 0 {
		freezeAt, goneAt = -c.frozenLead, 0
	}
	for tick := range freezeAt + freezeTicks {
		if tick == freezeAt {
			frozen.frozen = true
		}
		if tick == goneAt {
			sim.crash(gone)
		}
		if tick == goneAt+successorTicks {
			sim.startSpare()
		}
		sim.step()
	}
	frozen.frozen = false
	return gone
}

// TestWokenHostIsAsSafeAsAVoterWithinCatchUp guards against a configuration that is lost
// with two disks, since a member with a whole disk had no vote while a host that is gone
// still had one.
func TestWokenHostIsAsSafeAsAVoterWithinCatchUp(t *testing.T) {
	for name, c := range replacementCases() {
		t.Run(name, func(t *testing.T) {
			first, count := seedCount(t, replacementSeeds)
			for seed := first; seed < first+count; seed++ {
				sim := newReplacementSimulation(t, seed)
				gone := c.play(sim)
				sim.runSteps(catchUpTicks)
				sim.wantVotersOtherThan(gone, seed)
				sim.loseTwoDisks(c)
			}
		})
	}
}

// TestWokenHostIsAsSafeAsAVoterAlthoughTheLeaderIsLost has the leader fall silent right
// after the frozen host goes on. Two hosts count as lost then, and a third one may be lost
// once the frozen one has had its time.
func TestWokenHostIsAsSafeAsAVoterAlthoughTheLeaderIsLost(t *testing.T) {
	for name, c := range replacementCases() {
		t.Run(name, func(t *testing.T) {
			first, count := seedCount(t, replacementSeeds)
			for seed := first; seed < first+count; seed++ {
				sim := newReplacementSimulation(t, seed)
				c.play(sim)
				sim.runSteps(2)
				sim.crash(sim.leader())
				sim.runSteps(catchUpTicks - 2)
				lead := sim.leader()
				if lead == nil {
					t.Fatalf("seed %d: got no leader", seed)
				}
				// One of the two hosts that are down may have a vote: with a third one lost,
				// three of five are left.
				if dead := sim.deadVoters(lead); dead > 1 {
					t.Errorf("seed %d: got %d voters that are down, want 1 at most", seed, dead)
				}
			}
		})
	}
}

// deadVoters returns the number of voters that are down, as the leader knows the group.
func (sim *simulation) deadVoters(lead *node) int {
	dead := 0
	for _, member := range lead.core.membership() {
		if n := sim.nodes[member.Host]; member.Voter && (n.core == nil || n.id.Member.ID != member.ID) {
			dead++
		}
	}
	return dead
}

// wantVotersOtherThan checks that the target number of voters is alive.
func (sim *simulation) wantVotersOtherThan(gone *node, seed uint64) {
	sim.t.Helper()
	lead := sim.leader()
	if lead == nil {
		sim.t.Fatalf("seed %d: got no leader", seed)
	}
	got := 0
	for _, member := range lead.core.membership() {
		if member.Voter && member.Host != gone.host {
			got++
		}
	}
	if got != seededVoters || lead.core.membership().VoterCount() != seededVoters {
		sim.t.Fatalf("seed %d: got %d of %d voters that are not gone, want %d of %d", seed, got, lead.core.membership().VoterCount(), seededVoters, seededVoters)
	}
}

// loseTwoDisks takes the disks of two hosts that have stayed up, and waits until the
// group has what was committed before.
func (sim *simulation) loseTwoDisks(c replacementCase) {
	sim.t.Helper()
	lost := 0
	for i, host := range sim.hosts[:seededVoters] {
		if i != c.frozen && i != c.gone && lost < 2 {
			sim.loseDisk(sim.nodes[host])
			lost++
		}
	}
	sim.commit(3)
	for _, number := range []int{1, 2} {
		if !sim.hasCommand(sim.leader(), number) {
			sim.t.Fatalf("got no command %d, want it", number)
		}
	}
}

// succeed takes a host away for good, if there is one, and starts an empty one in its
// place. It returns once that one has had the time to catch up.
func (sim *simulation) succeed(gone *node) *node {
	sim.t.Helper()
	if gone != nil {
		sim.crash(gone)
		sim.runSteps(successorTicks)
	}
	successor := sim.startSpare()
	sim.runSteps(catchUpTicks)
	return successor
}

// TestSuccessorsJoinAfterManyReplacements guards against a configuration that is lost
// after many replacements, since learners that were gone for good left no room for others.
func TestSuccessorsJoinAfterManyReplacements(t *testing.T) {
	for name, replacements := range map[string]int{"fewer than the limit": 3, "more than the limit": 2 * MaxLearners} {
		t.Run(name, func(t *testing.T) {
			sim := newReplacementSimulation(t, 1)
			sixth := sim.succeed(nil)
			for range replacements {
				sixth = sim.succeed(sixth)
			}
			for i := range seededVoters {
				sim.succeed(sim.nodes[sim.hosts[i]])
				sim.commit(10 + i)
				sim.wantLiveVoters()
			}
		})
	}
}

// wantLiveVoters checks that the group has its target number of voters and that all of
// them run.
func (sim *simulation) wantLiveVoters() {
	sim.t.Helper()
	voters, live := 0, 0
	for _, member := range sim.leader().core.membership() {
		if !member.Voter {
			continue
		}
		voters++
		if n := sim.nodes[member.Host]; n.core != nil && n.id.Member.ID == member.ID {
			live++
		}
	}
	if voters != seededVoters || live != seededVoters {
		sim.t.Fatalf("got %d voters of which %d run, want %d", voters, live, seededVoters)
	}
}

// TestLiveLearnersStayMembers has one host more ask to join than there is room for. It
// must be refused and reported, at a limited rate, and no live learner be removed for it.
func TestLiveLearnersStayMembers(t *testing.T) {
	sim := newReplacementSimulation(t, 1)
	for range MaxLearners {
		sim.succeed(nil)
	}
	lead := sim.leader()
	before := lead.core.membership()
	joining := Member{ID: 1000, Host: "host-1000"}
	refusals := 0
	for range 2 * refusalIntervalTicks {
		lead.core.requestChange(Change{Add: &joining})
		for _, change := range lead.core.out.memberChanges {
			if change.action == memberRefused {
				refusals++
			}
		}
		sim.step()
	}
	if got := lead.core.membership(); !slices.Equal(got, before) {
		t.Errorf("got members %v, want %v", got, before)
	}
	if refusals < 1 || refusals > 3 {
		t.Errorf("got %d reports of a refusal in %d ticks, want 1 to 3", refusals, 2*refusalIntervalTicks)
	}
}

// TestSilentLearnerIsForgotten guards against a group that keeps members that are gone for
// good. A host that was only frozen must be a member again within the time to catch up.
func TestSilentLearnerIsForgotten(t *testing.T) {
	sim := newReplacementSimulation(t, 1)
	spare := sim.succeed(nil)
	sim.isolate(spare, true, true)
	spare.frozen = true
	isMember := func() bool {
		_, ok := sim.leader().core.membership().Member(spare.id.Member.ID)
		return ok
	}
	sim.runSteps(forgetTicks / 2)
	if !isMember() {
		t.Errorf("got no member %s after half the time, want it", spare.host)
	}
	sim.runSteps(forgetTicks)
	if isMember() {
		t.Errorf("got a silent member %s, want it removed", spare.host)
	}
	spare.frozen = false
	sim.heal()
	sim.runSteps(catchUpTicks)
	if !isMember() {
		t.Errorf("got no member %s after it went on, want it", spare.host)
	}
}

// TestOneLearnerPerHost has a host start with an empty folder again and again. Each start
// has a new identity, and the ones before must not stay members.
func TestOneLearnerPerHost(t *testing.T) {
	for name, targetVoters := range map[string]int{"listed hosts": 0, "seeds": seededVoters} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, seededVoters)
			sim.targetVoters = targetVoters
			for _, n := range sim.nodes {
				n.core.targetVoters = targetVoters
			}
			sim.commit(1)
			lost := sim.otherNode(sim.leader())
			for range 3 * MaxLearners {
				sim.loseDisk(lost)
				sim.isolate(lost, true, false)
				sim.runSteps(2*catchUpTicks + 5)
				sim.heal()
			}
			got := 0
			for _, member := range sim.leader().core.membership() {
				if member.Host == lost.host {
					got++
				}
			}
			if got > 2 {
				t.Errorf("got %d identities of the host, want a voter and a learner at most", got)
			}
		})
	}
}
