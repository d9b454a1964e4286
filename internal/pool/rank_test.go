package pool

import (
	"flag"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// seed selects another sequence of random numbers for the flood tests.
var seed = flag.Uint64("seed", fleetSeed, "seed of the simulated floods")

// deployments holds the sizes and rank shares of the two deployments.
var deployments = map[string]struct {
	size   fleetSize
	shares [mustardramp.RankCount]mustardramp.Percent
}{
	"sutradhar": {size: fleetSize{hosts: 40, backends: 9, slots: 6}, shares: [3]mustardramp.Percent{0, 30, 15}},
	"nordavind": {size: fleetSize{hosts: 40, backends: 15, slots: 3}, shares: [3]mustardramp.Percent{0, 15, 5}},
}

// leaseBroadcast shares the waits as lease.Pool does.
func leaseBroadcast() waitBroadcast {
	return broadcastOnDeviation(100*time.Millisecond, 25*time.Millisecond)
}

func leases(f *fleet) balancer { return keepers(f, false, leaseBroadcast()) }

func runDeploymentFlood(t *testing.T, s fleetSize, shares [mustardramp.RankCount]mustardramp.Percent, offered flood) *fleet {
	t.Helper()
	t.Logf("seed %d", *seed)
	return runFlood(s, *seed, offered, func(f *fleet) {
		f.from, f.until = 4*time.Second, 10*time.Second
		for r := range shares {
			f.terms.Ranks[r].Share = shares[r]
		}
	}, leases)
}

// TestUrgentInFloodOfBulk checks that 99.5 % of the urgent requests, which are
// within the capacity, are served while bulk requests arrive at five times the
// capacity.
func TestUrgentInFloodOfBulk(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			f := runDeploymentFlood(t, d.size, d.shares, floods["bulk"])
			if got, want := f.tally[mustardramp.Urgent].servedShare(), 0.995; got < want {
				t.Errorf("urgent served: got %.4f, want at least %.4f", got, want)
			}
		})
	}
}

// TestSharesInFloodOfUrgent checks that each other rank gets its share of the
// slots while urgent requests arrive at three times the capacity.
func TestSharesInFloodOfUrgent(t *testing.T) {
	for name, d := range deployments {
		for _, kind := range []string{"urgent", "both"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				f := runDeploymentFlood(t, d.size, d.shares, floods[kind])
				for _, r := range []mustardramp.Rank{mustardramp.Normal, mustardramp.Bulk} {
					if got, want := 100*f.utilizationBy(r), float64(d.shares[r]); got < want {
						t.Errorf("%s: got %.2f %% of the slot time, want its share of %.0f %%", r, got, want)
					}
				}
			})
		}
	}
}

// TestUsefulWorkInFlood checks that the useful work at five times the capacity
// is at least 95 % of that at the capacity.
func TestUsefulWorkInFlood(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			once := runDeploymentFlood(t, d.size, d.shares, flood{0.4, 0.3, 0.3})
			five := runDeploymentFlood(t, d.size, d.shares, flood{0.4, 0.3, 4.3})
			got, want := five.usefulShare(), 0.95*once.usefulShare()
			if got < want {
				t.Errorf("got %.4f of the slot time useful at five times the capacity, want at least %.4f", got, want)
			}
		})
	}
}

// usefulShare returns the share of slot time that served requests in time.
func (f *fleet) usefulShare() float64 {
	sum := 0.0
	for _, r := range mustardramp.Ranks() {
		sum += f.utilizationBy(r)
	}
	return sum
}
