package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// faultModel alternates each backend between a healthy state and an unhealthy
// one, in which part of its attempts fails at once.
type faultModel struct {
	// unhealthy and healthy are the mean durations of the states. failureRate
	// is the share of attempts that fail in the unhealthy state.
	unhealthy, healthy time.Duration
	failureRate        float64
}

// quietDayFaults describes the faults of the platform on quiet days.
var quietDayFaults = faultModel{unhealthy: 7 * time.Second, healthy: 16 * time.Second, failureRate: unhealthyFailureRate}

// faultStates holds the states of the backends in a replay.
type faultStates struct {
	faultModel
	random      *rand.Rand
	until       []time.Time
	isUnhealthy []bool
	spans       [][]span
}

// at advances the state of a backend to a time and reports whether it is
// unhealthy.
func (s *faultStates) at(i int, now time.Time) bool {
	for !now.Before(s.until[i]) {
		first := s.until[i].IsZero()
		share := float64(s.unhealthy) / float64(s.unhealthy+s.healthy)
		s.isUnhealthy[i] = first && s.random.Float64() < share || !first && !s.isUnhealthy[i]
		length := s.faultModel.unhealthy
		if !s.isUnhealthy[i] {
			length = s.faultModel.healthy
		}
		if first {
			s.until[i] = now
		}
		from := s.until[i]
		s.until[i] = from.Add(time.Duration(s.random.ExpFloat64() * float64(length)))
		if s.isUnhealthy[i] {
			s.spans[i] = append(s.spans[i], span{from, s.until[i]})
		}
	}
	return s.isUnhealthy[i]
}

// scenario is the load and the faults of a replay.
type scenario struct {
	faults    faultModel
	backends  int
	perSecond float64
	// partitioned is the number of backends that some hosts cannot reach.
	partitioned int
	// idempotentShare is the share of the requests that may be repeated.
	idempotentShare float64
}

// replayResult summarizes a replay.
type replayResult struct {
	// failed is the share of attempts that failed, probes the share that failed
	// and were probes, and risky the share sent to a backend that was likely to
	// be unhealthy.
	failed, probes, risky float64
	// failedOnce is the share of the attempts of requests that must not be repeated
	// that failed.
	failedOnce float64
	// sentAt and failedAt are the times of the attempts and of the failures by
	// backend, unhealthySpans the times in which each backend was unhealthy.
	sentAt, failedAt [][]time.Time
	unhealthySpans   [][]span
}

// span is the time between two moments.
type span struct{ from, to time.Time }

// unreachableDialRate is how often a dial of a partitioned backend fails,
// because some of the hosts cannot reach it.
const unreachableDialRate = 0.3

// replayTime is the duration of a replay.
const replayTime = time.Minute

// replay runs a scenario and counts its attempts.
func replay(strategy Strategy, singleTier bool, s scenario, seed uint64) replayResult {
	random := rand.New(rand.NewPCG(seed, 7))
	core := NewCore(Config{Terms: terms(), Strategy: strategy, SingleTier: singleTier, Seed: seed})
	var standings []mustardramp.Standing
	for i := range s.backends {
		standings = append(standings, serving(i, mustardramp.Place{}, 6))
	}
	now := start
	core.Update(now, standings)
	states := &faultStates{
		faultModel: s.faults, random: random, until: make([]time.Time, s.backends), isUnhealthy: make([]bool, s.backends),
		spans: make([][]span, s.backends),
	}
	index := map[mustardramp.BackendID]int{}
	for i := range standings {
		index[standings[i].Backend.ID] = i
	}
	type flight struct {
		lease Lease
		began time.Time
		ends  time.Time
		bad   bool
		// dialFailed is true if the dial fails.
		dialFailed bool
	}
	var inFlight []flight
	out := replayResult{sentAt: make([][]time.Time, s.backends), failedAt: make([][]time.Time, s.backends)}
	attempts, failed, probes, risky := 0, 0, 0, 0
	once, failedOnce := 0, 0
	end := now.Add(replayTime)
	for now.Before(end) {
		now = now.Add(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
		kept := inFlight[:0]
		for _, f := range inFlight {
			if f.ends.After(now) {
				kept = append(kept, f)
				continue
			}
			result := mustardramp.ResultSuccess
			switch {
			case f.dialFailed:
				result = mustardramp.ResultDial
			case f.bad:
				result = mustardramp.ResultError
			}
			core.Finish(f.ends, f.lease, result, f.ends.Sub(f.began))
		}
		inFlight = kept
		idempotent := s.idempotentShare > 0 && random.Float64() < s.idempotentShare
		lease, ticket, denial := core.Offer(now, mustardramp.Demand{Rank: mustardramp.Urgent, Idempotent: idempotent})
		if denial != nil || ticket != nil && !lease.Valid() {
			if ticket != nil {
				core.Withdraw(ticket)
			}
			continue
		}
		i := index[lease.Backend().ID]
		if i < s.partitioned && random.Float64() < unreachableDialRate {
			inFlight = append(inFlight, flight{lease: lease, began: now, ends: now.Add(5 * time.Millisecond), dialFailed: true})
			continue
		}
		attempts++
		if !idempotent {
			once++
		}
		out.sentAt[i] = append(out.sentAt[i], now)
		if lease.member.risk(now.UnixNano()) >= maxRiskLimit {
			risky++
		}
		work := time.Duration((0.3 + 0.4*random.Float64()) * float64(time.Second))
		bad := random.Float64() < healthyFailureRate
		if states.at(i, now) && random.Float64() < s.faults.failureRate {
			bad, work = true, time.Millisecond
		}
		if bad {
			failed++
			if !idempotent {
				failedOnce++
			}
			if lease.probe {
				probes++
			}
			out.failedAt[i] = append(out.failedAt[i], now.Add(work))
		}
		inFlight = append(inFlight, flight{lease: lease, began: now, ends: now.Add(work), bad: bad})
	}
	for i := range s.backends {
		states.at(i, now)
	}
	out.unhealthySpans = states.spans
	out.failed, out.probes, out.risky = float64(failed)/float64(attempts), float64(probes)/float64(attempts), float64(risky)/float64(attempts)
	out.failedOnce = float64(failedOnce) / float64(max(1, once))
	return out
}

// TestLowestCostAvoidsUnhealthyBackends guards against attempts at backends that
// are known to fail. It replays 11 backends in one region at 25 requests per
// second. Besides the failures of healthy backends, each unhealthy period may
// cost two attempts chosen by risk: the first one that fails, and one that was
// in flight or confirms the failure. Probes may cost one more before the
// estimate is certain, and one in each maxRiskyIdleTime of the period. A choice
// by fill ratio alone must lose more.
func TestLowestCostAvoidsUnhealthyBackends(t *testing.T) {
	const (
		seeds            = 10
		backends         = 11
		perSecond        = 25.0
		unhealthySeconds = 7
		cycleSeconds     = 16 + 7 // healthy and unhealthy
		maxFailed        = healthyFailureRate + 2*backends/(cycleSeconds*perSecond)
	)
	// A probe that succeeds by chance is followed by another within
	// maxIdleTime.
	maxProbes := unhealthyFailureRate * (2 - unhealthyFailureRate) * (1 + unhealthySeconds/maxRiskyIdleTime.Seconds()) * backends / (cycleSeconds * perSecond)
	var byRisk, probes, byFill float64
	for seed := range uint64(seeds) {
		s := scenario{faults: quietDayFaults, backends: backends, perSecond: perSecond}
		r := replay(LowestCost{}, true, s, seed)
		byRisk += (r.failed - r.probes) / seeds
		probes += r.probes / seeds
		byFill += replay(LeastFilled{}, false, s, seed).failed / seeds
	}
	if byRisk > maxFailed || byFill <= maxFailed+maxProbes {
		t.Errorf("got a share of %.3f failed, and %.3f by fill ratio alone, want at most %.3f and more", byRisk, byFill, maxFailed)
	}
	if probes > maxProbes {
		t.Errorf("got a share of %.3f failed probes, want at most %.3f", probes, maxProbes)
	}
}

// TestUnhealthyBackendsGetNoAttempts guards against attempts at backends that
// are likely to be unhealthy while healthy ones have room. It replays the loads
// of quiet days at one keeper. Failures at other backends do not justify such
// attempts.
func TestUnhealthyBackendsGetNoAttempts(t *testing.T) {
	const (
		seeds    = 20
		maxRisky = 0.001
	)
	tests := map[string]scenario{
		"mohor, one region":               {faults: quietDayFaults, backends: 11, perSecond: 25, partitioned: 0},
		"mohor, some paths cut":           {faults: quietDayFaults, backends: 11, perSecond: 25, partitioned: 4},
		"tildeling, some paths cut":       {faults: quietDayFaults, backends: 8, perSecond: 30, partitioned: 3},
		"tildeling grown, one of 3 parts": {faults: quietDayFaults, backends: 22, perSecond: 51, partitioned: 9},
		"patha grown, one of 2 parts":     {faults: quietDayFaults, backends: 18, perSecond: 60, partitioned: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var risky float64
			for seed := range uint64(seeds) {
				risky += replay(LowestCost{}, true, test, seed).risky / seeds
			}
			if risky > maxRisky {
				t.Errorf("got %.4f of the attempts at backends likely to be unhealthy, want at most %v", risky, maxRisky)
			}
		})
	}
}

func TestRiskEstimateFollowsOutcomes(t *testing.T) {
	at := func(s time.Duration) int64 { return time.Unix(1000, 0).Add(s).UnixNano() }
	var b riskEstimate
	if got := b.at(at(0)); got != initialRisk {
		t.Errorf("got risk %v of an unknown backend, want %v", got, initialRisk)
	}
	for i := range 5 {
		b.observe(at(time.Duration(i)*100*time.Millisecond), successEvidence)
	}
	if got := b.at(at(500 * time.Millisecond)); got > 0.05 {
		t.Errorf("got risk %v after five good answers, want at most 0.05", got)
	}
	b.observe(at(600*time.Millisecond), failureEvidence)
	b.observe(at(700*time.Millisecond), failureEvidence)
	if got := b.at(at(700 * time.Millisecond)); got < 0.9 {
		t.Errorf("got risk %v after two failures, want at least 0.9", got)
	}
	if got := b.at(at(time.Minute)); got < unhealthyShare-0.01 || got > unhealthyShare+0.01 {
		t.Errorf("got risk %v after a minute, want %v again", got, unhealthyShare)
	}
	b.observe(at(time.Minute), noEvidence)
	if got := b.at(at(time.Minute)); got > unhealthyShare+0.01 {
		t.Errorf("got risk %v after an outcome that shows nothing, want %v", got, unhealthyShare)
	}
}

// TestRequestWaitsForHealthyBackend has a healthy backend that is full and one
// that just failed. A request waits for the healthy one and accepts the other
// only after waiting.
func TestRequestWaitsForHealthyBackend(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
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
	c.Finish(now.Add(10*time.Millisecond), first, mustardramp.ResultSuccess, 10*time.Millisecond)
	lease, _, _ := c.Settled(ticket)
	if !lease.Valid() || lease.Backend().ID != first.Backend().ID {
		t.Errorf("got lease %v, want the healthy backend", lease)
	}
}

// TestLongBodyStaysInZone checks that uploads use the backends of their zone
// and wait for them before they go to another zone.
func TestLongBodyStaysInZone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	here := mustardramp.Place{Zone: "kol-a", Region: "kolkata"}
	there := mustardramp.Place{Zone: "kol-b", Region: "kolkata"}
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
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
	c.Poll(now.Add(limitGrowthTime))
	if lease, _, _ := c.Settled(ticket); !lease.Valid() || lease.Backend().Place != there {
		t.Errorf("got %v after the wait, want a backend of the other zone", lease)
	}
}

// TestRepeatableRequestsMeetNewFailures guards against requests that must not be repeated
// being the ones that find out that a backend has become unhealthy, although others that
// can be retried go to the same backends. At least a quarter of their failures must be
// spared. A service of repeatable requests alone must not fail more often.
func TestRepeatableRequestsMeetNewFailures(t *testing.T) {
	const seeds = 10
	mean := func(backends int, share float64, of func(replayResult) float64) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			s := scenario{faults: quietDayFaults, backends: backends, perSecond: 5 * float64(backends), idempotentShare: share}
			sum += of(replay(LowestCost{}, true, s, seed)) / seeds
		}
		return sum
	}
	for name, tc := range map[string]struct {
		backends int
		share    float64
	}{
		"one in five, one group":  {12, 0.2},
		"one in five, one region": {43, 0.2},
		"half":                    {12, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			alone := mean(tc.backends, 0, func(r replayResult) float64 { return r.failedOnce })
			got := mean(tc.backends, tc.share, func(r replayResult) float64 { return r.failedOnce })
			if got > 0.75*alone {
				t.Errorf("got a share of %.4f failed, want at most three quarters of the %.4f without repeatable requests", got, alone)
			}
		})
	}
	t.Run("repeatable requests alone", func(t *testing.T) {
		without := mean(12, 0, func(r replayResult) float64 { return r.failed })
		got := mean(12, 1, func(r replayResult) float64 { return r.failed })
		if got > 1.1*without {
			t.Errorf("got a share of %.4f failed, want about the %.4f of requests that are not repeatable", got, without)
		}
	})
}
