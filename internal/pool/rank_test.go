package pool

import (
	"flag"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// seed repeats the tests of floods with another sequence of random numbers.
var seed = flag.Uint64("seed", fleetSeed, "seed of the simulated floods")

// deployments are the sizes and shares of both users.
var deployments = map[string]struct {
	size   size
	shares [mustardramp.RankCount]mustardramp.Percent
}{
	"sutradhar": {size: size{hosts: 40, backends: 9, slots: 6}, shares: [3]mustardramp.Percent{0, 30, 15}},
	"nordavind": {size: size{hosts: 40, backends: 15, slots: 3}, shares: [3]mustardramp.Percent{0, 15, 5}},
}

// tell spreads the waits as lease.Pool does.
func tell() telling { return onError(100*time.Millisecond, 25*time.Millisecond) }

func leases(f *fleet) way { return keepers(f, false, tell()) }

func flooded(t *testing.T, s size, shares [mustardramp.RankCount]mustardramp.Percent, offered flood) *fleet {
	t.Helper()
	t.Logf("seed %d", *seed)
	return runFlood(s, *seed, offered, func(f *fleet) {
		f.from, f.until = 4*time.Second, 10*time.Second
		for r := range shares {
			f.terms.Ranks[r].Share = shares[r]
		}
	}, leases)
}

// TestUrgentInFloodOfBulk holds urgent work within the capacity to 99.5 %
// served while bulk work floods in at five times the capacity.
func TestUrgentInFloodOfBulk(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			f := flooded(t, d.size, d.shares, floods["bulk"])
			if got, want := f.tally[mustardramp.Urgent].share(), 0.995; got < want {
				t.Errorf("urgent served: got %.4f, want at least %.4f", got, want)
			}
		})
	}
}

// TestSharesInFloodOfUrgent holds each other rank to its share of the slots
// while urgent work floods in at three times the capacity.
func TestSharesInFloodOfUrgent(t *testing.T) {
	for name, d := range deployments {
		for _, kind := range []string{"urgent", "both"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				f := flooded(t, d.size, d.shares, floods[kind])
				for _, r := range []mustardramp.Rank{mustardramp.Normal, mustardramp.Bulk} {
					if got, want := 100*f.useOf(r), float64(d.shares[r]); got < want {
						t.Errorf("%s: got %.2f %% of the slot time, want its share of %.0f %%", r, got, want)
					}
				}
			})
		}
	}
}

// TestUsefulWorkInFlood holds the useful work at five times the capacity to
// 95 % of that at the capacity.
func TestUsefulWorkInFlood(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			once := flooded(t, d.size, d.shares, flood{0.4, 0.3, 0.3})
			five := flooded(t, d.size, d.shares, flood{0.4, 0.3, 4.3})
			got, want := five.useful(), 0.95*once.useful()
			if got < want {
				t.Errorf("got %.4f of the slot time useful at five times the capacity, want at least %.4f", got, want)
			}
		})
	}
}

// useful returns the share of slot time that served requests in time.
func (f *fleet) useful() float64 {
	sum := 0.0
	for _, r := range mustardramp.Ranks() {
		sum += f.useOf(r)
	}
	return sum
}
