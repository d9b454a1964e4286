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

// weather is what a service of healthy backends goes through.
type weather func(t *trial, r request) reply

// cycle is how often the events of a weather come.
const cycle = 5 * time.Minute

var weathers = map[string]func(seed uint64, n int) weather{
	"noise":       noise,
	"load swings": swings,
	"slow deploy": slowDeploy,
	"flood":       flood,
}

const (
	pauseEvery = 10 * time.Minute
	pauseSpan  = 300 * time.Millisecond
)

// noise has backends with unequal shares of errors, and each pauses at times.
func noise(seed uint64, n int) weather {
	random := rand.New(rand.NewPCG(seed, 2))
	shares := make([]float64, n)
	phases := make([]time.Duration, n)
	for i := range shares {
		shares[i] = errorShare * (0.5 + random.Float64())
		phases[i] = time.Duration(random.Int64N(int64(pauseEvery)))
	}
	return func(t *trial, r request) reply {
		into := (t.now.Sub(start) + phases[r.backend]) % pauseEvery
		latency := t.latency(1)
		if into < pauseSpan {
			latency += pauseSpan - into
		}
		if t.random.Float64() < shares[r.backend] {
			return reply{mustardramp.ResultError, latency}
		}
		return reply{mustardramp.ResultGood, latency}
	}
}

// swings moves the load between a fifth and twice the usual, and the latency
// with it.
func swings(seed uint64, n int) weather {
	still := noise(seed, n)
	return func(t *trial, r request) reply {
		part := float64(t.now.Sub(start)%cycle) / float64(cycle)
		load := 1.1 + 0.9*math.Sin(2*math.Pi*part)
		if part > 0.5 && part < 0.55 {
			load = 2
		}
		t.rate = trialRate * load
		a := still(t, r)
		a.latency = time.Duration(float64(a.latency) * (0.5 + load))
		return a
	}
}

// slowDeploy gives one backend after the other, within 10 s, a version that is
// four times slower, and takes it back after a minute. Both restart it.
func slowDeploy(seed uint64, n int) weather {
	still := noise(seed, n)
	return func(t *trial, r request) reply {
		into := t.now.Sub(start) % cycle
		begun := cycle/2 + time.Duration(r.backend)*10*time.Second/time.Duration(n)
		a := still(t, r)
		deployed := into > begun && into < begun+time.Minute
		version := mustardramp.Incarnation(2 * (t.now.Sub(start) / cycle))
		if into > begun {
			version++
		}
		if into > begun+time.Minute {
			version++
		}
		t.list[r.backend].Incarnation = 1 + version
		if deployed {
			a.latency *= 4
		}
		return a
	}
}

// flood offers five times the load for a minute: backends shed most of it, and
// answer the rest late or not at all.
func flood(seed uint64, n int) weather {
	still := noise(seed, n)
	return func(t *trial, r request) reply {
		into := t.now.Sub(start) % cycle
		flooded := into > cycle/2 && into < cycle/2+time.Minute
		t.rate = trialRate
		a := still(t, r)
		if !flooded {
			return a
		}
		t.rate = 5 * trialRate
		a.latency *= 3
		switch draw := t.random.Float64(); {
		case draw < 0.6:
			return reply{mustardramp.ResultShed, time.Millisecond}
		case draw < 0.65:
			return reply{mustardramp.ResultTimeout, trialDeadline}
		}
		return a
	}
}

// falseAlarms counts the ejections and avoidances of healthy backends at one
// of the hosts of a fleet.
type falseAlarms struct {
	ejected int
	avoided int
	causes  map[string]int
}

// newWatch returns a trial in which host 0 gets its share of the work, and four
// others stand for the remaining hosts of each zone.
func newWatch(seed uint64, d deployment) *trial {
	t := newTrial(seed, d)
	t.hosts, t.weights, t.last = nil, nil, nil
	t.watched = true
	perZone := trialHosts / len(zones)
	t.join(1)
	for range len(zones) - 1 {
		t.join(float64(perZone))
	}
	t.join(float64(perZone - 1))
	return t
}

func watch(seed uint64, d deployment, w weather, span time.Duration) falseAlarms {
	t := newWatch(seed, d)
	t.model = w
	alarms := falseAlarms{causes: map[string]int{}}
	out := make([]bool, d.backends)
	t.run(span, func() bool {
		for i, st := range t.last[0] {
			now := st.Ejected || st.Avoided
			if now && !out[i] {
				alarms.note(st)
			}
			out[i] = now
		}
		return false
	})
	return alarms
}

func (a *falseAlarms) note(st mustardramp.Standing) {
	a.causes[st.Cause]++
	if st.Ejected {
		a.ejected++
	} else {
		a.avoided++
	}
}

// BenchmarkCaution runs an hour of one weather an iteration: -benchtime=24x is
// a day. Its figures are for a backend and day, as seen by one host.
func BenchmarkCaution(b *testing.B) {
	for _, service := range slices.Sorted(maps.Keys(deployments)) {
		for _, name := range slices.Sorted(maps.Keys(weathers)) {
			b.Run(service+"/"+name, func(b *testing.B) {
				benchmarkCaution(b, deployments[service], weathers[name])
			})
		}
	}
}

func benchmarkCaution(b *testing.B, d deployment, w func(uint64, int) weather) {
	var ejected, avoided int
	for i := range b.N {
		seed := *trialSeed + uint64(i)
		alarms := watch(seed, d, w(seed, d.backends), time.Hour)
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
	b.ReportMetric(float64(*trialSeed), "seed")
}
