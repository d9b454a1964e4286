package ejection_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
)

// deployment has the size and terms of a service of one of the users.
type deployment struct {
	backends int
	slots    mustardramp.Slots
	terms    ejection.Terms
}

// deployments holds the largest and the smallest service of each user.
var deployments = map[string]deployment{
	"mohor":       {22, 6, ejection.Terms{Floor: 80, Caution: 0.01}},
	"dhwani":      {8, 6, ejection.Terms{Floor: 75, Caution: 0.01}},
	"tildeling":   {15, 3, ejection.Terms{Floor: 60, Caution: 0.1}},
	"arkivmottak": {8, 3, ejection.Terms{Floor: 60, Caution: 0.1}},
}

const (
	hostCount = 40
	// requestRate is the number of requests per second at each backend.
	requestRate = 20.0
	// attemptDeadline is the time after which an attempt without an answer
	// fails.
	attemptDeadline = 5 * time.Second
	medianLatency   = 20 * time.Millisecond
	latencySigma    = 0.5
	// errorShare is the share of requests that fail at healthy backends.
	errorShare = 0.005
	// trialTrafficShare is the share of requests that may go to backends on
	// trial.
	trialTrafficShare = 0.01
	// reportLoss is the share of reports that do not arrive at a host.
	reportLoss = 0.01
)

// roundTrips are the round-trip times of the network by distance.
var roundTrips = [...]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    3 * time.Millisecond,
	mustardramp.AcrossRegions: 16 * time.Millisecond,
}

// reply is how a backend answers one request.
type reply struct {
	result  mustardramp.Result
	latency time.Duration
}

// request is one request in flight.
type request struct {
	host    int
	backend int
	rank    mustardramp.Rank
	caller  mustardramp.CallerName
	token   mustardramp.Token
}

// arrival is a reply that arrives at a host.
type arrival struct {
	request
	reply
}

// simulation is a fleet of hosts in front of one service, with synthetic replies.
type simulation struct {
	random *rand.Rand
	deployment
	// weights holds the share of the requests that arrives at each host.
	weights   []float64
	list      []mustardramp.Backend
	hosts     []*ejection.Ejector
	standings [][]mustardramp.Standing
	now       time.Time
	ticks     int
	// rate is the number of requests per second at each backend.
	rate float64
	// replies and inTransit hold the replies and reports by the tick at which
	// they arrive.
	replies   map[int][]arrival
	inTransit map[int][]delivery
	// model returns the reply to a request.
	model func(t *simulation, r request) reply
	// sendReport sends a host's report if it is due.
	sendReport func(t *simulation, i int, host *ejection.Ejector)
	sentBytes  int
	// onlyFirstHost is true when only the decisions of host 0 matter: the
	// others stand for many hosts each, and reports go to host 0 alone.
	onlyFirstHost bool
}

// delivery is a report in transit to one host.
type delivery struct {
	to     int
	record mustardramp.Record
}

func newSimulation(seed uint64, d deployment) *simulation {
	t := &simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d,
		list:       backends(d.backends, d.slots),
		now:        start,
		rate:       requestRate,
		replies:    map[int][]arrival{},
		inTransit:  map[int][]delivery{},
		model:      healthy,
		sendReport: sendDueReport,
	}
	for range hostCount {
		t.addHost(1)
	}
	return t
}

// addHost adds a host with a share of the requests.
func (t *simulation) addHost(weight float64) {
	i := len(t.hosts)
	terms := t.terms
	if t.onlyFirstHost && i > 0 {
		// A host that stands for many only reports and ejects nothing.
		terms.Floor = 100
	}
	e := ejection.New(mustardramp.HostName("h"+strconv.Itoa(i)), 1, zones[i%len(zones)])
	e.Terms = func(mustardramp.ServiceName) ejection.Terms { return terms }
	t.hosts = append(t.hosts, e)
	t.weights = append(t.weights, weight)
	t.standings = append(t.standings, e.Step(t.now, mohor, t.list))
}

// healthy returns the reply of a healthy backend.
func healthy(t *simulation, _ request) reply {
	if t.random.Float64() < errorShare {
		return reply{mustardramp.ResultError, t.latency(1)}
	}
	return reply{mustardramp.ResultSuccess, t.latency(1)}
}

// latency draws a latency from a log-normal distribution around a multiple of
// medianLatency.
func (t *simulation) latency(factor float64) time.Duration {
	return time.Duration(factor * float64(medianLatency) * math.Exp(latencySigma*t.random.NormFloat64()))
}

// run simulates a span of time, or less if done returns true after a tick.
func (t *simulation) run(span time.Duration, done func() bool) {
	for range int(span / tick) {
		t.tick()
		if done != nil && done() {
			return
		}
	}
}

func (t *simulation) tick() {
	t.ticks++
	t.now = t.now.Add(tick)
	for range t.poisson(t.rate * float64(t.backends) * tick.Seconds()) {
		t.send()
	}
	for _, a := range t.replies[t.ticks] {
		t.observe(a)
	}
	delete(t.replies, t.ticks)
	for _, d := range t.inTransit[t.ticks] {
		if err := t.hosts[d.to].Merge(t.now, d.record); err != nil {
			panic(err)
		}
	}
	delete(t.inTransit, t.ticks)
	for i, host := range t.hosts {
		t.step(i, host)
	}
}

func (t *simulation) step(i int, host *ejection.Ejector) {
	if i == 0 || !t.onlyFirstHost || (t.ticks+i)%10 == 0 {
		t.standings[i] = host.Step(t.now, mohor, t.list)
	}
	t.sendReport(t, i, host)
}

// sendDueReport sends a host's report if Due returns one.
func sendDueReport(t *simulation, i int, host *ejection.Ejector) {
	record, due, err := host.Due(t.now)
	if err != nil {
		panic(err)
	}
	if due {
		t.broadcast(i, record)
	}
}

// sendEvery sends a full report every n ticks.
func sendEvery(n int) func(*simulation, int, *ejection.Ejector) {
	return func(t *simulation, i int, host *ejection.Ejector) {
		if (t.ticks+i)%n == 0 {
			t.broadcast(i, fullReport(t.now, host))
		}
	}
}

// fullReport returns a host's full report.
func fullReport(now time.Time, host *ejection.Ejector) mustardramp.Record {
	record, err := host.Report(now)
	if err != nil {
		panic(err)
	}
	return record
}

// send chooses a host and a backend at random and draws the reply.
func (t *simulation) send() {
	r := request{
		host:   t.pickHost(),
		rank:   mustardramp.Rank(t.random.IntN(int(mustardramp.RankCount))),
		caller: mustardramp.CallerName("caller-" + strconv.Itoa(t.random.IntN(200))),
	}
	var ok bool
	if r.backend, ok = t.pickBackend(t.standings[r.host]); !ok {
		return
	}
	r.token = t.hosts[r.host].Start(mohor, t.list[r.backend].ID, r.rank, t.now)
	a := arrival{r, t.model(t, r)}
	a.latency += roundTrips[zones[r.host%len(zones)].To(t.list[r.backend].Place)]
	if a.latency > attemptDeadline {
		a.reply = reply{mustardramp.ResultTimeout, attemptDeadline}
	}
	at := t.ticks + int(a.latency/tick)
	t.replies[at] = append(t.replies[at], a)
}

// pickHost draws the host at which a request arrives.
func (t *simulation) pickHost() int {
	var sum float64
	for _, w := range t.weights {
		sum += w
	}
	at := t.random.Float64() * sum
	for i, w := range t.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return 0
}

// pickBackend draws a backend by weight, or returns false if none is usable.
func (t *simulation) pickBackend(standings []mustardramp.Standing) (int, bool) {
	onTrial := t.random.Float64() < trialTrafficShare
	best, chosen := 0.0, -1
	for i, st := range standings {
		weight := 0.0
		switch {
		case st.Usable():
			weight = st.Weight
		case st.Trial && onTrial:
			weight = 1000
		}
		if weight == 0 {
			continue
		}
		// The largest key belongs to each backend with a probability
		// proportional to its weight.
		if key := weight / t.random.ExpFloat64(); key > best {
			best, chosen = key, i
		}
	}
	return chosen, chosen >= 0
}

func (t *simulation) observe(a arrival) {
	t.hosts[a.host].Answered(mohor, t.list[a.backend].ID, a.token)
	t.hosts[a.host].Observe(mustardramp.Observation{
		Backend: t.list[a.backend].ID,
		Service: mohor,
		Caller:  a.caller,
		Rank:    a.rank,
		Result:  a.result,
		Latency: a.latency,
		At:      t.now,
	})
}

// broadcast sends a host's report to the others. It reaches each after one or two
// ticks, or is lost.
func (t *simulation) broadcast(from int, record mustardramp.Record) {
	t.sentBytes += len(record.Payload)
	for to := range t.hosts {
		if to == from || t.onlyFirstHost && to > 0 || t.random.Float64() < reportLoss {
			continue
		}
		at := t.ticks + 1 + t.random.IntN(2)
		t.inTransit[at] = append(t.inTransit[at], delivery{to, record})
	}
}

// poisson draws a number of events from a Poisson distribution.
func (t *simulation) poisson(mean float64) int {
	limit := math.Exp(-min(mean, 500))
	n := 0
	for p := t.random.Float64(); p > limit; p *= t.random.Float64() {
		n++
	}
	return n
}

// countAvoiding counts the hosts of a zone, or of all zones if it is empty, and
// those among them that send a backend no ordinary requests.
func (t *simulation) countAvoiding(backend int, zone mustardramp.Zone) (avoiding, all int) {
	for i := range t.hosts {
		if zone != "" && zones[i%len(zones)].Zone != zone {
			continue
		}
		all++
		if !t.standings[i][backend].Usable() {
			avoiding++
		}
	}
	return avoiding, all
}
