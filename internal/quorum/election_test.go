package quorum

import (
	"math/rand/v2"
	"testing"
)

// coreCluster runs cores whose messages and syncs take far less than a tick, as in
// a network with a short round-trip time.
type coreCluster struct {
	cores []*core
}

// newRestartedCluster returns the members of a group of size voters that did not
// lose their disks, all started in the same tick.
func newRestartedCluster(size, lostDisks int, seed uint64) *coreCluster {
	var group Membership
	for i := range size {
		group = group.with(Member{ID: MemberID(i + 1), Voter: true})
	}
	cl := &coreCluster{}
	for i := lostDisks; i < size; i++ {
		c := newCore(group[i], Timing{}, rand.New(rand.NewPCG(seed, uint64(i))))
		c.hardState = hardState{Term: 3}
		c.log.append(Entry{Index: 1, Term: 3, Kind: EntryMembership, Membership: group})
		c.synced = syncPoint{hardState: c.hardState, index: 1}
		cl.cores = append(cl.cores, c)
	}
	return cl
}

// tick ticks all cores and delivers all resulting messages. Messages that are sent
// together arrive together.
func (cl *coreCluster) tick() {
	for _, c := range cl.cores {
		c.tick()
	}
	for messages := cl.collect(); len(messages) > 0; messages = cl.collect() {
		for _, m := range messages {
			for _, c := range cl.cores {
				c.step(m)
			}
		}
	}
}

// collect syncs all cores and returns the messages that they send.
func (cl *coreCluster) collect() []Message {
	var out []Message
	for _, c := range cl.cores {
		out = append(out, c.takeOutput().messages...)
		b := c.takeBatch(identity{})
		out = append(out, b.messages...)
		c.recordSync(b.syncPoint)
	}
	return out
}

func (cl *coreCluster) hasLeader() bool {
	for _, c := range cl.cores {
		if c.role == leader {
			return true
		}
	}
	return false
}

// TestNoLeaderAfterTwoLostDisks guards against repeated split votes when all
// members start in the same tick: candidates that request votes at the same time
// split them again and again, and no leader is elected.
func TestNoLeaderAfterTwoLostDisks(t *testing.T) {
	const (
		seeds = 500
		// recoveryTicks is the required maximum recovery time of 15 s, at 50 ms a
		// tick.
		recoveryTicks = 300
	)
	for name, lost := range map[string]int{"no disk lost": 0, "one disk lost": 1, "two disks lost": 2} {
		t.Run(name, func(t *testing.T) {
			leaderless := 0
			for seed := range uint64(seeds) {
				cl := newRestartedCluster(5, lost, seed)
				for ticks := 0; ticks < recoveryTicks && !cl.hasLeader(); ticks++ {
					cl.tick()
				}
				if !cl.hasLeader() {
					leaderless++
				}
			}
			if leaderless > 0 {
				t.Errorf("got no leader in %d ticks for %d of %d seeds, want one for all", recoveryTicks, leaderless, seeds)
			}
		})
	}
}
