package host

import (
	"testing"

	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/quorum"
)

// TestGroupCountersShowTheirBounds guards against a group that fills up with learners
// before an operator can see it.
func TestGroupCountersShowTheirBounds(t *testing.T) {
	g := &group{Group: placement.Group{Name: "contracts"}, log: &member{}, targetVoters: 5}
	v := &controlView{&Control{groups: []*group{g}}}
	for name, want := range map[string]float64{"group-learners/contracts": quorum.MaxLearners, "group-voters/contracts": 5} {
		got := v.Histograms(name)
		if len(got) != 1 || got[0].Max != want || got[0].Unit != "members" {
			t.Errorf("got counters %v for %s, want one with the bound %v", got, name, want)
		}
	}
}
