package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// illness replays the load of the platform's quiet days: each backend falls ill
// by turns, and then fails three of four attempts at once.
type illness struct {
	random *rand.Rand
	until  []time.Time
	ill    []bool
}

func newIllness(n int, random *rand.Rand) *illness {
	return &illness{random: random, until: make([]time.Time, n), ill: make([]bool, n)}
}

// isIll moves a backend's state on to a time. Turns last as the trace shows:
// ill ones 7 s and well ones 16 s in the mean.
func (w *illness) isIll(i int, now time.Time) bool {
	for !now.Before(w.until[i]) {
		w.ill[i] = w.until[i].IsZero() && w.random.Float64() < illShare || !w.until[i].IsZero() && !w.ill[i]
		span := 7 * time.Second
		if !w.ill[i] {
			span = 16 * time.Second
		}
		if w.until[i].IsZero() {
			w.until[i] = now
		}
		w.until[i] = w.until[i].Add(time.Duration(w.random.ExpFloat64() * float64(span)))
	}
	return w.ill[i]
}

// replayed are the shares of a replay's attempts.
type replayed struct {
	// failed are those that failed, risky those that were sent to a backend
	// that was likely to be ill.
	failed, risky float64
}

// unreachable is how often a dial of a partitioned backend fails: some of the
// hosts cannot reach it.
const unreachable = 0.3

// replay sends the attempts of a minute. The first backends, as many as
// partitioned says, cannot be reached by some hosts.
func replay(strategy Strategy, flat bool, backends, partitioned int, perSecond float64, seed uint64) replayed {
	random := rand.New(rand.NewPCG(seed, 7))
	core := NewCore(Config{Terms: terms(), Strategy: strategy, Flat: flat, Seed: seed})
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, serving(i, mustardramp.Place{}, 6))
	}
	now := time.Unix(1_000_000, 0)
	core.Update(now, standings)
	world := newIllness(backends, random)
	index := map[mustardramp.BackendID]int{}
	for i := range standings {
		index[standings[i].Backend.ID] = i
	}
	type flight struct {
		lease Lease
		began time.Time
		ends  time.Time
		bad   bool
		// lost is set when the dial fails.
		lost bool
	}
	var flights []flight
	attempts, failed, risky := 0, 0, 0
	end := now.Add(time.Minute)
	for now.Before(end) {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		kept := flights[:0]
		for _, f := range flights {
			if f.ends.After(now) {
				kept = append(kept, f)
				continue
			}
			result := mustardramp.ResultGood
			switch {
			case f.lost:
				result = mustardramp.ResultDial
			case f.bad:
				result = mustardramp.ResultError
			}
			core.Finish(f.ends, f.lease, result, f.ends.Sub(f.began))
		}
		flights = kept
		lease, ticket, denial := core.Offer(now, mustardramp.Demand{Rank: mustardramp.Urgent})
		if denial != nil || ticket != nil && !lease.Valid() {
			if ticket != nil {
				core.Withdraw(ticket)
			}
			continue
		}
		if index[lease.Backend().ID] < partitioned && random.Float64() < unreachable {
			flights = append(flights, flight{lease: lease, began: now, ends: now.Add(5 * time.Millisecond), lost: true})
			continue
		}
		attempts++
		if lease.member.risk(now.UnixNano()) >= mostRiskTaken {
			risky++
		}
		work := time.Duration((0.3 + 0.4*random.Float64()) * float64(time.Second))
		bad := random.Float64() < wellFails
		if world.isIll(index[lease.Backend().ID], now) && random.Float64() < illFails {
			bad, work = true, time.Millisecond
		}
		if bad {
			failed++
		}
		flights = append(flights, flight{lease: lease, began: now, ends: now.Add(work), bad: bad})
	}
	return replayed{float64(failed) / float64(attempts), float64(risky) / float64(attempts)}
}

// TestSoundestAvoidsTheIll replays the attempts at mohor in one region: 11
// backends, 25 requests a second. Beside the failures of well backends, each
// turn of illness may cost two attempts: the first that fails, and one that was
// under way or confirms it. A choice by fill alone must lose more.
func TestSoundestAvoidsTheIll(t *testing.T) {
	const (
		seeds     = 10
		backends  = 11
		perSecond = 25.0
		turn      = 16 + 7 // seconds
	)
	var careful, plain float64
	for seed := range uint64(seeds) {
		careful += replay(Soundest{}, true, backends, 0, perSecond, seed).failed / seeds
		plain += replay(LeastFilled{}, false, backends, 0, perSecond, seed).failed / seeds
	}
	most := wellFails + 2*backends/(turn*perSecond)
	if careful > most || plain <= most {
		t.Errorf("got %.3f failed, and %.3f by fill alone, want at most %.3f and more", careful, plain, most)
	}
}

// TestIllBackendsAreLeftAlone replays the loads of quiet days at one keeper:
// much of the room is at well backends, so hardly any attempt need go to one
// that is likely to be ill, and what fails meanwhile is no reason to.
func TestIllBackendsAreLeftAlone(t *testing.T) {
	const (
		seeds = 20
		most  = 0.001
	)
	tests := map[string]struct {
		backends, partitioned int
		perSecond             float64
	}{
		"mohor, one region":               {11, 0, 25},
		"mohor, some paths cut":           {11, 4, 25},
		"tildeling, some paths cut":       {8, 3, 30},
		"tildeling grown, one of 3 parts": {22, 9, 51},
		"patha grown, one of 2 parts":     {18, 0, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var risky float64
			for seed := range uint64(seeds) {
				risky += replay(Soundest{}, true, test.backends, test.partitioned, test.perSecond, seed).risky / seeds
			}
			if risky > most {
				t.Errorf("got %.4f of the attempts at backends likely to be ill, want at most %v", risky, most)
			}
		})
	}
}

func TestBeliefFollowsOutcomes(t *testing.T) {
	at := func(s time.Duration) int64 { return time.Unix(1000, 0).Add(s).UnixNano() }
	var b belief
	if got := b.at(at(0)); got != newRisk {
		t.Errorf("got risk %v of an unknown backend, want %v", got, newRisk)
	}
	for i := range 5 {
		b.observe(at(time.Duration(i)*100*time.Millisecond), wellSign)
	}
	if got := b.at(at(500 * time.Millisecond)); got > 0.05 {
		t.Errorf("got risk %v after five good answers, want at most 0.05", got)
	}
	b.observe(at(600*time.Millisecond), sign)
	b.observe(at(700*time.Millisecond), sign)
	if got := b.at(at(700 * time.Millisecond)); got < 0.9 {
		t.Errorf("got risk %v after two failures, want at least 0.9", got)
	}
	if got := b.at(at(time.Minute)); got < illShare-0.01 || got > illShare+0.01 {
		t.Errorf("got risk %v after a minute, want %v again", got, illShare)
	}
	b.observe(at(time.Minute), noSign)
	if got := b.at(at(time.Minute)); got > illShare+0.01 {
		t.Errorf("got risk %v after an outcome that shows nothing, want %v", got, illShare)
	}
}

// TestRiskWaits has one sound backend that is full and one that has just
// failed: a request waits for the sound one, and takes the other only when it
// has waited.
func TestRiskWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: Soundest{}, Flat: true})
	c.Update(now, []mustardramp.Standing{serving(0, mustardramp.Place{}, 1), serving(1, mustardramp.Place{}, 1)})
	first, _, _ := c.Offer(now, demand(mustardramp.Urgent))
	other, _, _ := c.Offer(now, demand(mustardramp.Urgent))
	c.Finish(now, other, mustardramp.ResultError, time.Millisecond)
	_, ticket, denial := c.Offer(now, demand(mustardramp.Urgent))
	if denial != nil || ticket == nil {
		t.Fatalf("got denial %v, want a place in the queue", denial)
	}
	if lease, _, settled := c.Settled(ticket); settled && lease.Backend().ID != first.Backend().ID {
		t.Fatalf("got the risky backend at once, want a wait")
	}
	c.Finish(now.Add(10*time.Millisecond), first, mustardramp.ResultGood, 10*time.Millisecond)
	lease, _, _ := c.Settled(ticket)
	if !lease.Valid() || lease.Backend().ID != first.Backend().ID {
		t.Errorf("got lease %v, want the sound backend", lease)
	}
}

// TestLongBodyStaysNear asks with room in the own zone and elsewhere.
func TestLongBodyStaysNear(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	here := mustardramp.Place{Zone: "kol-a", Region: "kolkata"}
	there := mustardramp.Place{Zone: "kol-b", Region: "kolkata"}
	c := NewCore(Config{Terms: terms(), Strategy: Soundest{}, Flat: true})
	c.Update(now, []mustardramp.Standing{serving(0, here, 3), serving(1, there, 3)})
	for i := range 3 {
		lease, _, _ := c.Offer(now, mustardramp.Demand{Place: here, Size: 60 << 10})
		if !lease.Valid() || lease.Backend().Place != here {
			t.Fatalf("upload %d: got %v, want a backend of its zone", i, lease)
		}
	}
	lease, ticket, _ := c.Offer(now, mustardramp.Demand{Place: here, Size: 60 << 10})
	if lease.Valid() || ticket == nil {
		t.Fatal("got a slot in another zone at once, want a wait")
	}
	c.Poll(now.Add(patienceSpan))
	if lease, _, _ := c.Settled(ticket); !lease.Valid() || lease.Backend().Place != there {
		t.Errorf("got %v after the wait, want a backend of the other zone", lease)
	}
}
