package lease

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// poolOfGroups returns a pool with several groups in its region.
func poolOfGroups(t *testing.T, maxLoadAge time.Duration) (*Pool, []*group) {
	t.Helper()
	var standings []mustardramp.Standing
	for i := range 66 {
		standings = append(standings, standing(i, kolA, 3))
	}
	p := New(Config{Pool: pool.Config{Terms: terms(), Place: kolA}, MaxLoadAge: maxLoadAge})
	p.Update(standings)
	groups := p.plan.Load().groups
	if len(groups) < 3 {
		t.Fatalf("got %d groups, want several", len(groups))
	}
	return p, groups
}

// TestRoomWeights guards against a choice by room that is unknown, too old or
// turned off, and against hosts that all choose the one group with room.
func TestRoomWeights(t *testing.T) {
	tests := map[string]struct {
		maxLoadAge, age time.Duration
		// stated is the number of groups with a statement.
		stated int
		// want is the expected sign of the difference between the share of the first
		// group, which states that it is empty while the others are full, and the
		// share of its slots.
		want float64
	}{
		"fresh":            {stated: 6, want: 1},
		"first only":       {stated: 1},
		"nothing known":    {},
		"within the limit": {stated: 6, age: DefaultMaxLoadAge, want: 1},
		"too old":          {stated: 6, age: DefaultMaxLoadAge + time.Millisecond},
		"turned off":       {stated: 6, maxLoadAge: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, groups := poolOfGroups(t, tt.maxLoadAge)
				for i, g := range groups[:min(tt.stated, len(groups))] {
					free := int32(0)
					if i == 0 {
						free = int32(g.slots)
					}
					p.recordRoom(g, &free)
				}
				time.Sleep(tt.age)
				sum, slots := 0.0, 0.0
				weights := p.roomWeights(groups, nil, time.Now())
				for i, g := range groups {
					sum, slots = sum+weights[i], slots+float64(g.weight())
				}
				got, equal := weights[0]/sum, float64(groups[0].weight())/slots
				if math.Abs(got-equal) < 1e-9 != (tt.want == 0) || (got-equal)*tt.want < 0 {
					t.Errorf("got share %.3f with %.3f of the slots, want sign %v", got, equal, tt.want)
				}
				if got > 0.75 {
					t.Errorf("got share %.3f for the group with room, want the others in use too", got)
				}
			})
		})
	}
}

// TestOldKeeperStatesNoRoom guards against a keeper of an earlier release, which
// states no free slots, that is taken for full.
func TestOldKeeperStatesNoRoom(t *testing.T) {
	p, groups := poolOfGroups(t, 0)
	p.recordRoom(groups[0], nil)
	if room, ok := p.knownRoom(groups[0], time.Now(), DefaultMaxLoadAge); ok {
		t.Errorf("got room %v, want an unknown one", room)
	}
}

// TestLoadMetrics guards against metrics that stay empty while a service is in use.
func TestLoadMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 8), standing(2, silA, 8))
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		for range 2 * choicesPerAge {
			slot, err := p.Acquire(t.Context(), bulk())
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
			slot.Release(mustardramp.ResultSuccess, 10*time.Millisecond)
		}
		net.pools[keeper].Step(t.Context())
		if got, want := p.LoadMetrics().Age.Count(), int64(2); got != want {
			t.Errorf("got %d recorded ages, want %d", got, want)
		}
		if got := time.Duration(p.LoadMetrics().Age.Max()); got < 10*time.Millisecond || got > DefaultMaxLoadAge {
			t.Errorf("got age %v, want that of the last grant", got)
		}
		if net.pools[keeper].LoadMetrics().Backends.Count() == 0 {
			t.Error("got no imbalance of backends at the keeper, want one")
		}
	})
}

// TestBackupKeeperStatesNoRoom guards against a backup keeper that knows few of the
// leases of a group, states that the group is empty and so draws requests to it.
func TestBackupKeeperStatesNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(6, standing(1, kolA, 4), standing(2, silA, 4))
		defer net.close()
		g := net.pools["host-0"].plan.Load().groups[0]
		for i, keeper := range g.keepers[:2] {
			request := Request{Service: "patha", Group: g.id, Holder: Holder{Host: "host-0"}, Number: Number(i), Rank: mustardramp.Bulk}
			response, err := net.pools[keeper].Grant(t.Context(), request)
			if err != nil || response.Denial != nil {
				t.Fatalf("got %v, %v, want a lease", response.Denial, err)
			}
			if got, want := response.Free != nil, i == 0; got != want {
				t.Errorf("keeper %d: got a statement %v, want %v", i, got, want)
			}
		}
	})
}
