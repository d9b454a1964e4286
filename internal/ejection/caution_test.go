package ejection_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// scenario answers a request to a service whose backends are all healthy, and
// varies the load and latency over time.
type scenario func(t *simulation, r request) reply

// scenarioPeriod is the time after which the events of a scenario repeat.
const scenarioPeriod = 5 * time.Minute

var scenarios = map[string]func(seed uint64, n int) scenario{
	"noise":       noise,
	"load swings": loadSwings,
	"slow deploy": slowDeploy,
	"overload":    overload,
}

const (
	pauseInterval = 10 * time.Minute
	pauseDuration = 300 * time.Millisecond
)

// noise gives each backend its own share of errors, and each pauses for
// pauseDuration once per pauseInterval.
func noise(seed uint64, n int) scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	shares := make([]float64, n)
	phases := make([]time.Duration, n)
	for i := range shares {
		shares[i] = errorShare * (0.5 + random.Float64())
		phases[i] = time.Duration(random.Int64N(int64(pauseInterval)))
	}
	return func(t *simulation, r request) reply {
		elapsed := (t.now.Sub(start) + phases[r.backend]) % pauseInterval
		latency := t.latency(1)
		if elapsed < pauseDuration {
			latency += pauseDuration - elapsed
		}
		if t.random.Float64() < shares[r.backend] {
			return reply{mustardramp.ResultError, latency}
		}
		return reply{mustardramp.ResultSuccess, latency}
	}
}

// loadSwings varies the load between a fifth and twice the usual, and the latency
// with it.
func loadSwings(seed uint64, n int) scenario {
	base := noise(seed, n)
	return func(t *simulation, r request) reply {
		phase := float64(t.now.Sub(start)%scenarioPeriod) / float64(scenarioPeriod)
		load := 1.1 + 0.9*math.Sin(2*math.Pi*phase)
		if phase > 0.5 && phase < 0.55 {
			load = 2
		}
		t.rate = requestRate * load
		a := base(t, r)
		a.latency = time.Duration(float64(a.latency) * (0.5 + load))
		return a
	}
}

// slowDeploy deploys a version that is four times slower to one backend after the
// other within 10 s, and rolls it back after a minute. Both restart the backend.
func slowDeploy(seed uint64, n int) scenario {
	base := noise(seed, n)
	return func(t *simulation, r request) reply {
		elapsed := t.now.Sub(start) % scenarioPeriod
		deployStart := scenarioPeriod/2 + time.Duration(r.backend)*10*time.Second/time.Duration(n)
		a := base(t, r)
		deployed := elapsed > deployStart && elapsed < deployStart+time.Minute
		version := mustardramp.Incarnation(2 * (t.now.Sub(start) / scenarioPeriod))
		if elapsed > deployStart {
			version++
		}
		if elapsed > deployStart+time.Minute {
			version++
		}
		t.list[r.backend].Incarnation = 1 + version
		if deployed {
			a.latency *= 4
		}
		return a
	}
}

// overload raises the load to five times the usual for a minute: backends shed
// most of it, and answer the rest late or not at all.
func overload(seed uint64, n int) scenario {
	base := noise(seed, n)
	return func(t *simulation, r request) reply {
		elapsed := t.now.Sub(start) % scenarioPeriod
		overloaded := elapsed > scenarioPeriod/2 && elapsed < scenarioPeriod/2+time.Minute
		t.rate = requestRate
		a := base(t, r)
		if !overloaded {
			return a
		}
		t.rate = 5 * requestRate
		a.latency *= 3
		switch draw := t.random.Float64(); {
		case draw < 0.6:
			return reply{mustardramp.ResultShed, time.Millisecond}
		case draw < 0.65:
			return reply{mustardramp.ResultTimeout, attemptDeadline}
		}
		return a
	}
}

// falseAlarms counts the ejections and avoidances of healthy backends by one host
// of a fleet.
type falseAlarms struct {
	ejected int
	avoided int
	causes  map[string]int
}

// newFirstHostSimulation returns a simulation in which host 0 receives its share
// of the requests, and four others stand for the remaining hosts of each zone.
func newFirstHostSimulation(seed uint64, d deployment) *simulation {
	t := newSimulation(seed, d)
	t.hosts, t.weights, t.standings = nil, nil, nil
	t.onlyFirstHost = true
	perZone := hostCount / len(zones)
	t.addHost(1)
	for range len(zones) - 1 {
		t.addHost(float64(perZone))
	}
	t.addHost(float64(perZone - 1))
	return t
}

func countFalseAlarms(seed uint64, d deployment, s scenario, span time.Duration) falseAlarms {
	t := newFirstHostSimulation(seed, d)
	t.model = s
	alarms := falseAlarms{causes: map[string]int{}}
	out := make([]bool, d.backends)
	t.run(span, func() bool {
		for i, st := range t.standings[0] {
			now := st.Ejected || st.Avoided
			if now && !out[i] {
				alarms.add(st)
			}
			out[i] = now
		}
		return false
	})
	return alarms
}

func (a *falseAlarms) add(st mustardramp.Standing) {
	a.causes[st.Cause]++
	if st.Ejected {
		a.ejected++
	} else {
		a.avoided++
	}
}

// BenchmarkCaution simulates one hour of a scenario per iteration, so that
// -benchtime=24x is a day. It reports the false ejections per backend and day by
// one host.
func BenchmarkCaution(b *testing.B) {
	for _, service := range slices.Sorted(maps.Keys(deployments)) {
		for _, name := range slices.Sorted(maps.Keys(scenarios)) {
			b.Run(service+"/"+name, func(b *testing.B) {
				benchmarkCaution(b, deployments[service], scenarios[name])
			})
		}
	}
}

func benchmarkCaution(b *testing.B, d deployment, newScenario func(uint64, int) scenario) {
	var ejected, avoided int
	for i := range b.N {
		seed := *firstSeed + uint64(i)
		alarms := countFalseAlarms(seed, d, newScenario(seed, d.backends), time.Hour)
		ejected += alarms.ejected
		avoided += alarms.avoided
		for cause, n := range alarms.causes {
			b.Logf("seed %d: %d times %s", seed, n, cause)
		}
	}
	days := float64(b.N*d.backends) / 24
	b.ReportMetric(float64(ejected)/days, "ejected/day")
	b.ReportMetric(float64(avoided)/days, "avoided/day")
	b.ReportMetric(days, "backend-days")
	b.ReportMetric(float64(*firstSeed), "seed")
}
