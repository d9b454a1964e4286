package host

import (
	"testing"

	"github.com/mustardramp/mustardramp/internal/ledger"
	"github.com/mustardramp/mustardramp/internal/placement"
	"github.com/mustardramp/mustardramp/internal/quorum"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// TestControlHostShowsItsBounds guards against a bound that an operator first sees when it
// is reached and something is refused.
func TestControlHostShowsItsBounds(t *testing.T) {
	c := &Control{
		groups:  []*group{{Group: placement.Group{Name: "contracts"}, log: &member{}}},
		ledgers: []*ledger.Server{{Region: "north", State: &ledger.State{}}},
	}
	for name, want := range map[string]float64{
		"backends":                 roster.MaxBackends,
		"group-learners/contracts": quorum.MaxLearners,
		"ledger-entries/north":     ledger.MaxEntries,
	} {
		got := (&controlView{c}).Histograms(name)
		if len(got) != 1 || got[0].Max != want {
			t.Errorf("got %v for %s, want one counter with the bound %v", got, name, want)
		}
	}
}

// TestBoundIsNearBeforeItIsReached checks from when on a bound is reported.
func TestBoundIsNearBeforeItIsReached(t *testing.T) {
	for name, test := range map[string]struct {
		count int
		want  boundLevel
	}{
		"far":     {5, boundFar},
		"near":    {6, boundNear},
		"reached": {8, boundReached},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (&bound{count: test.count, limit: quorum.MaxLearners}).level(); got != test.want {
				t.Errorf("got level %d at %d of %d, want %d", got, test.count, quorum.MaxLearners, test.want)
			}
		})
	}
}
