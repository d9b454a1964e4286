package ejection_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
)

// deployment is a service at the size of one of the users.
type deployment struct {
	backends int
	slots    mustardramp.Slots
	terms    ejection.Terms
}

// The largest and the smallest service of each user.
var deployments = map[string]deployment{
	"mohor":       {22, 6, ejection.Terms{Floor: 80, Caution: 0.01}},
	"dhwani":      {8, 6, ejection.Terms{Floor: 75, Caution: 0.01}},
	"tildeling":   {15, 3, ejection.Terms{Floor: 60, Caution: 0.1}},
	"arkivmottak": {8, 3, ejection.Terms{Floor: 60, Caution: 0.1}},
}

const (
	trialHosts = 40
	// trialRate is the number of requests a second at each backend.
	trialRate = 20.0
	// trialDeadline is when an attempt without an answer is given up.
	trialDeadline = 5 * time.Second
	medianLatency = 20 * time.Millisecond
	latencySigma  = 0.5
	// errorShare is the share of requests that fail at healthy backends.
	errorShare = 0.005
	// trialShare is the share of requests that go to backends on trial.
	trialShare = 0.01
	// reportLoss is the share of reports that do not arrive at a host.
	reportLoss = 0.01
)

// distances are the times that the network takes there and back.
var distances = [...]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    3 * time.Millisecond,
	mustardramp.AcrossRegions: 16 * time.Millisecond,
}

// reply is how a backend answers one request.
type reply struct {
	result  mustardramp.Result
	latency time.Duration
}

// request is one request on its way.
type request struct {
	host    int
	backend int
	rank    mustardramp.Rank
	caller  mustardramp.CallerName
	token   mustardramp.Token
}

// arrival is a reply that arrives at a tick.
type arrival struct {
	request
	reply
}

// trial is a fleet of hosts before one service, with synthetic replies.
type trial struct {
	random *rand.Rand
	deployment
	// weights holds the share of the work that arrives at each host.
	weights []float64
	list    []mustardramp.Backend
	hosts   []*ejection.Ejector
	last    [][]mustardramp.Standing
	now     time.Time
	ticks   int
	rate    float64
	replies map[int][]arrival
	mail    map[int][]parcel
	// model answers a request to a healthy or ill backend.
	model func(t *trial, r request) reply
	// due sends a host's report when it is time.
	due   func(t *trial, i int, host *ejection.Ejector)
	bytes int
	// watched is true when only the decisions of host 0 matter: the others
	// stand for many hosts each, and reports go to host 0 alone.
	watched bool
}

// parcel is a report on its way to one host.
type parcel struct {
	to     int
	record mustardramp.Record
}

func newTrial(seed uint64, d deployment) *trial {
	t := &trial{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d,
		list:       backends(d.backends, d.slots),
		now:        start,
		rate:       trialRate,
		replies:    map[int][]arrival{},
		mail:       map[int][]parcel{},
		model:      healthy,
		due:        news,
	}
	for range trialHosts {
		t.join(1)
	}
	return t
}

// join adds a host with a share of the work.
func (t *trial) join(weight float64) {
	i := len(t.hosts)
	terms := t.terms
	if t.watched && i > 0 {
		// A host that stands for many only reports.
		terms.Floor = 100
	}
	e := ejection.New(mustardramp.HostName("h"+strconv.Itoa(i)), 1, zones[i%len(zones)])
	e.Terms = func(mustardramp.ServiceName) ejection.Terms { return terms }
	t.hosts = append(t.hosts, e)
	t.weights = append(t.weights, weight)
	t.last = append(t.last, e.Step(t.now, mohor, t.list))
}

// healthy is the reply of a backend that is well.
func healthy(t *trial, _ request) reply {
	if t.random.Float64() < errorShare {
		return reply{mustardramp.ResultError, t.latency(1)}
	}
	return reply{mustardramp.ResultGood, t.latency(1)}
}

// latency draws a latency around some times the median.
func (t *trial) latency(times float64) time.Duration {
	return time.Duration(times * float64(medianLatency) * math.Exp(latencySigma*t.random.NormFloat64()))
}

// run lets some time pass, or less when done reports true after a tick.
func (t *trial) run(span time.Duration, done func() bool) {
	for range int(span / tick) {
		t.tick()
		if done != nil && done() {
			return
		}
	}
}

func (t *trial) tick() {
	t.ticks++
	t.now = t.now.Add(tick)
	for range t.poisson(t.rate * float64(t.backends) * tick.Seconds()) {
		t.send()
	}
	for _, a := range t.replies[t.ticks] {
		t.observe(a)
	}
	delete(t.replies, t.ticks)
	for _, p := range t.mail[t.ticks] {
		if err := t.hosts[p.to].Merge(t.now, p.record); err != nil {
			panic(err)
		}
	}
	delete(t.mail, t.ticks)
	for i, host := range t.hosts {
		t.step(i, host)
	}
}

func (t *trial) step(i int, host *ejection.Ejector) {
	if i == 0 || !t.watched || (t.ticks+i)%10 == 0 {
		t.last[i] = host.Step(t.now, mohor, t.list)
	}
	t.due(t, i, host)
}

// news sends the report that a host finds due.
func news(t *trial, i int, host *ejection.Ejector) {
	record, due, err := host.Due(t.now)
	if err != nil {
		panic(err)
	}
	if due {
		t.post(i, record)
	}
}

// every sends a whole report each n ticks.
func every(n int) func(*trial, int, *ejection.Ejector) {
	return func(t *trial, i int, host *ejection.Ejector) {
		if (t.ticks+i)%n == 0 {
			t.post(i, full(t.now, host))
		}
	}
}

// full returns a host's whole report.
func full(now time.Time, host *ejection.Ejector) mustardramp.Record {
	record, err := host.Report(now)
	if err != nil {
		panic(err)
	}
	return record
}

// send chooses a host and a backend at random and draws the reply.
func (t *trial) send() {
	r := request{
		host:   t.arrive(),
		rank:   mustardramp.Rank(t.random.IntN(int(mustardramp.RankCount))),
		caller: mustardramp.CallerName("caller-" + strconv.Itoa(t.random.IntN(200))),
	}
	var ok bool
	if r.backend, ok = t.choose(t.last[r.host]); !ok {
		return
	}
	r.token = t.hosts[r.host].Start(mohor, t.list[r.backend].ID, r.rank, t.now)
	a := arrival{r, t.model(t, r)}
	a.latency += distances[zones[r.host%len(zones)].To(t.list[r.backend].Place)]
	if a.latency > trialDeadline {
		a.reply = reply{mustardramp.ResultTimeout, trialDeadline}
	}
	at := t.ticks + int(a.latency/tick)
	t.replies[at] = append(t.replies[at], a)
}

// arrive returns the host at which a request arrives.
func (t *trial) arrive() int {
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

func (t *trial) choose(standings []mustardramp.Standing) (int, bool) {
	onTrial := t.random.Float64() < trialShare
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
		// The least of exponential draws falls on each by its weight.
		if key := weight / t.random.ExpFloat64(); key > best {
			best, chosen = key, i
		}
	}
	return chosen, chosen >= 0
}

func (t *trial) observe(a arrival) {
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

// post sends a host's report to the others, to each after one or two ticks.
func (t *trial) post(from int, record mustardramp.Record) {
	t.bytes += len(record.Payload)
	for to := range t.hosts {
		if to == from || t.watched && to > 0 || t.random.Float64() < reportLoss {
			continue
		}
		at := t.ticks + 1 + t.random.IntN(2)
		t.mail[at] = append(t.mail[at], parcel{to, record})
	}
}

func (t *trial) poisson(mean float64) int {
	limit := math.Exp(-min(mean, 500))
	n := 0
	for p := t.random.Float64(); p > limit; p *= t.random.Float64() {
		n++
	}
	return n
}

// avoiding counts the hosts of the given zones, or of all, that send a backend
// no ordinary work.
func (t *trial) avoiding(backend int, zone mustardramp.Zone) (avoiding, all int) {
	for i := range t.hosts {
		if zone != "" && zones[i%len(zones)].Zone != zone {
			continue
		}
		all++
		if !t.last[i][backend].Usable() {
			avoiding++
		}
	}
	return avoiding, all
}
