package quorum

import (
	"math/rand/v2"
	"testing"
)

// cluster runs cores whose messages and syncs take far less than a tick, as on
// machines that are near each other.
type cluster struct {
	cores []*core
}

// restarted returns the members of a group of size voters that have their disks,
// all started in the same tick.
func restarted(size, lost int, seed uint64) *cluster {
	var group Membership
	for i := range size {
		group = group.with(Member{ID: MemberID(i + 1), Voter: true})
	}
	cl := &cluster{}
	for i := lost; i < size; i++ {
		c := newCore(group[i], Timing{}, rand.New(rand.NewPCG(seed, uint64(i))))
		c.state = hardState{Term: 3}
		c.log.append(Entry{Index: 1, Term: 3, Kind: EntryMembership, Membership: group})
		c.synced = mark{state: c.state, index: 1}
		cl.cores = append(cl.cores, c)
	}
	return cl
}

// tick lets a tick pass and all messages arrive that follow from it. Those that
// are sent together arrive together.
func (cl *cluster) tick() {
	for _, c := range cl.cores {
		c.tick()
	}
	for flying := cl.collect(); len(flying) > 0; flying = cl.collect() {
		for _, m := range flying {
			for _, c := range cl.cores {
				c.step(m)
			}
		}
	}
}

func (cl *cluster) collect() []Message {
	var out []Message
	for _, c := range cl.cores {
		out = append(out, c.take().messages...)
		b := c.takeBatch(identity{})
		out = append(out, b.messages...)
		c.saved(b.mark)
	}
	return out
}

func (cl *cluster) leads() bool {
	for _, c := range cl.cores {
		if c.role == leader {
			return true
		}
	}
	return false
}

// TestNoLeaderAfterTwoLostDisks guards against split votes that repeat when all
// members start in the same tick.
func TestNoLeaderAfterTwoLostDisks(t *testing.T) {
	const (
		seeds = 500
		// recovery is the users' bound for a recovery, 15 s, in ticks.
		recovery = 300
	)
	for name, lost := range map[string]int{"all disks there": 0, "one lost": 1, "two lost": 2} {
		t.Run(name, func(t *testing.T) {
			unled := 0
			for seed := range uint64(seeds) {
				cl := restarted(5, lost, seed)
				for ticks := 0; ticks < recovery && !cl.leads(); ticks++ {
					cl.tick()
				}
				if !cl.leads() {
					unled++
				}
			}
			if unled > 0 {
				t.Errorf("got no leader in %d ticks for %d of %d seeds, want one for all", recovery, unled, seeds)
			}
		})
	}
}
