package quorum

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	backlogCommands = 60
	backlogSize     = 1 << 20
	// backlogLimit is a tenth of the memory of a control host of 280 MB.
	backlogLimit = 28 << 20
)

// gate holds up its users until it is open. newGate makes one.
type gate struct {
	opened chan struct{}
	once   sync.Once
}

// newGate returns a gate that opens at the end of the test at the latest.
func newGate(t *testing.T) *gate {
	g := &gate{opened: make(chan struct{})}
	t.Cleanup(g.open)
	return g
}

func (g *gate) open() {
	g.once.Do(func() { close(g.opened) })
}

func (g *gate) pass() {
	<-g.opened
}

// gatedMachine applies nothing until its gate is open, and keeps nothing of the
// commands.
type gatedMachine struct {
	nullMachine
	gate *gate
}

func (m *gatedMachine) Apply(mustardramp.Index, []byte) []byte {
	m.gate.pass()
	return nil
}

// heldBytes returns the size of the commands that a member holds in its log and for its
// state machine, each counted once.
func (c *cluster) heldBytes(host mustardramp.HostName) int {
	c.t.Helper()
	held := make(chan int, 1)
	measure := func(g *Group) {
		total := 0
		for _, entry := range g.core.log.entries {
			total += len(entry.Command)
		}
		for _, entry := range g.queuedTask.entries {
			if entry.Index <= g.core.log.baseIndex {
				total += len(entry.Command)
			}
		}
		held <- total
	}
	if err := c.network.groups[host].callLoop(c.ctx, measure); err != nil {
		c.t.Fatal(err)
	}
	return <-held
}

// startWith starts a host with a state machine.
func (c *cluster) startWith(host mustardramp.HostName, machine mustardramp.StateMachine) {
	c.t.Helper()
	config := c.config(host)
	config.Machine = machine
	g, err := Open(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.run(host, g)
}

// proposeUntilKnown proposes a command until its result is known.
func (c *cluster) proposeUntilKnown(host mustardramp.HostName, command []byte) {
	c.t.Helper()
	for {
		_, err := c.network.groups[host].Propose(c.ctx, command)
		if err == nil {
			return
		}
		if !ErrUnknown.Has(err) || c.ctx.Err() != nil {
			c.t.Fatal(err)
		}
	}
}

// waitLeader returns the host that leads the group.
func (c *cluster) waitLeader() mustardramp.HostName {
	c.t.Helper()
	for c.ctx.Err() == nil {
		for _, host := range c.hosts {
			if c.network.groups[host].IsLeading() {
				return host
			}
		}
		time.Sleep(c.tick)
	}
	c.t.Fatal("got no leader, want one")
	return ""
}

// TestBacklogOfASlowMemberExceedsTheMemory guards against a member that applies commands
// more slowly than the others and holds all that is committed or proposed meanwhile in
// memory, until its process is killed. Small commands are accepted all the time.
func TestBacklogOfASlowMemberExceedsTheMemory(t *testing.T) {
	const proposeTimeout = 25 * time.Millisecond
	for name, tc := range map[string]struct{ isLeaderSlow bool }{
		"follower": {},
		"leader":   {isLeaderSlow: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			// No member may take the others for lost while it handles large commands.
			c.tick = DefaultTick
			machines := map[mustardramp.HostName]*gatedMachine{}
			for _, host := range c.hosts {
				machines[host] = &gatedMachine{gate: newGate(t)}
				c.startWith(host, machines[host])
			}
			leader := c.waitLeader()
			var slow, proposer mustardramp.HostName
			for _, host := range c.hosts {
				if (host == leader) == tc.isLeaderSlow {
					slow = host
				} else {
					proposer = host
				}
			}
			for host, m := range machines {
				if host != slow {
					m.gate.open()
				}
			}
			g := c.network.groups[proposer]
			for i := range backlogCommands {
				ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
				_, _ = g.Propose(ctx, bytes.Repeat([]byte{byte(i)}, backlogSize))
				cancel()
				if got := c.heldBytes(slow); got > backlogLimit {
					t.Fatalf("got %d bytes held after %d commands, want at most %d", got, i+1, backlogLimit)
				}
			}
			c.proposeUntilKnown(proposer, []byte("small"))
			machines[slow].gate.open()
			c.proposeUntilKnown(proposer, make([]byte, backlogSize))
			if err := c.network.groups[slow].Confirm(c.ctx); err != nil {
				t.Errorf("Confirm on the slow member: got %v, want none", err)
			}
		})
	}
}

// TestNewLeaderHoldsBackLargeCommands guards against a leader that holds back its own
// large commands for good, because the leader before it refused them.
func TestNewLeaderHoldsBackLargeCommands(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.commit(1)
	old := sim.leader()
	n := sim.otherNode(old)
	n.core.step(Message{
		Kind: MessageAppend, From: old.core.self.ID, To: n.core.self.ID, Term: old.core.hardState.Term,
		Index: n.core.log.lastIndex(), LogTerm: n.core.log.lastTerm(), Busy: true,
	})
	large := make([]byte, smallCommandBytes+1)
	if got := n.core.mayPropose(large); got {
		t.Errorf("large command for a leader that refuses it: got %t, want it held back", got)
	}
	n.core.becomeLeader()
	if got := n.core.mayPropose(large); !got {
		t.Errorf("large command of the new leader: got %t, want it proposed", got)
	}
}

// TestUnansweredAppendsExceedTheMemory guards against a leader that sends entries to a
// member faster than the member takes them: they wait in the queue to that member even
// after the leader's log has dropped them.
func TestUnansweredAppendsExceedTheMemory(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.commit(1)
	n := sim.leader()
	slow := sim.otherNode(n)
	sent := 0
	sim.dropMessage = func(to mustardramp.HostName, m Message) bool {
		if to != slow.host {
			return false
		}
		for _, entry := range m.Entries {
			sent += len(entry.Command)
		}
		return true
	}
	for i := range backlogCommands {
		id := ProposalID{Member: n.core.self.ID, Number: uint64(i + 2)}
		n.core.propose([]Entry{{Kind: EntryCommand, Proposal: id, Command: bytes.Repeat([]byte{byte(i)}, backlogSize)}})
		sim.processOutput(n)
		sim.runUntil(maxSettleSteps, "commit", func() bool { return n.core.commitIndex == n.core.log.lastIndex() })
	}
	if sent > backlogLimit {
		t.Errorf("got %d bytes sent to a member that does not answer, want at most %d", sent, backlogLimit)
	}
	sim.dropMessage = nil
	sim.runUntil(maxSettleSteps, "replication", func() bool { return slow.core.log.lastIndex() == n.core.log.lastIndex() })
}
