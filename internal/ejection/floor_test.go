package ejection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
)

const tick = 100 * time.Millisecond

// fleet is a few hosts in front of one service, with the faults and partitions
// that a test sets.
type fleet struct {
	now   time.Time
	terms ejection.Terms
	hosts []*ejection.Ejector
	// rosters holds the roster as each host knows it.
	rosters   [][]mustardramp.Backend
	standings [][]mustardramp.Standing
	// failingTenths holds, by host, the share of requests, in tenths, that fail
	// at each backend.
	failingTenths []map[mustardramp.BackendID]int
	// cut[i][j] is true while no report of host i reaches host j.
	cut [][]bool
	// late[i][j] is true while reports of host i reach host j one tick later
	// than others do.
	late [][]bool
	// sent holds the reports of all hosts by tick; they arrive delay ticks
	// later.
	sent  [][]mustardramp.Record
	delay int
	// ticksSinceChange is the number of ticks since the last change of a
	// roster.
	ticksSinceChange int
	// partitioned is true once the connection between two hosts was cut or
	// their rosters differed.
	partitioned bool
}

func newFleet(hosts, zoneCount int, sizes []mustardramp.Slots, n int, terms ejection.Terms) *fleet {
	f := &fleet{now: start, terms: terms, delay: 1}
	list := backends(n, 6)
	for i := range list {
		list[i].Slots = sizes[i%len(sizes)]
	}
	for i := range hosts {
		name := mustardramp.HostName(fmt.Sprintf("h%d", i))
		e := ejection.New(name, 1, zones[i%zoneCount])
		e.Terms = func(mustardramp.ServiceName) ejection.Terms { return terms }
		e.LearningPeriod = tick
		f.hosts = append(f.hosts, e)
		f.rosters = append(f.rosters, append([]mustardramp.Backend(nil), list...))
		f.standings = append(f.standings, nil)
		f.failingTenths = append(f.failingTenths, map[mustardramp.BackendID]int{})
		f.cut = append(f.cut, make([]bool, hosts))
		f.late = append(f.late, make([]bool, hosts))
	}
	return f
}

// tick delivers the reports, runs requests and steps all hosts.
func (f *fleet) tick(t interface{ Fatal(...any) }) {
	f.now = f.now.Add(tick)
	f.ticksSinceChange++
	for from := range f.hosts {
		f.deliver(t, from)
	}
	var reports []mustardramp.Record
	for i, host := range f.hosts {
		f.sendRequests(i, host)
		f.standings[i] = host.Step(f.now, mohor, f.rosters[i])
	}
	for _, host := range f.hosts {
		record, err := host.Report(f.now)
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, record)
	}
	f.sent = append(f.sent, reports)
}

func (f *fleet) deliver(t interface{ Fatal(...any) }, from int) {
	for to, host := range f.hosts {
		at := len(f.sent) - f.delay
		if f.late[from][to] {
			at--
		}
		if f.cut[from][to] || at < 0 {
			continue
		}
		if err := host.Merge(f.now, f.sent[at][from]); err != nil {
			t.Fatal(err)
		}
	}
}

// sendRequests sends ten requests of a host to each backend that is usable or on
// trial.
func (f *fleet) sendRequests(i int, host *ejection.Ejector) {
	for _, st := range f.standings[i] {
		if !st.Usable() && !st.Trial {
			continue
		}
		for request := range 10 {
			result := mustardramp.ResultSuccess
			if request < f.failingTenths[i][st.Backend.ID] {
				result = mustardramp.ResultError
			}
			host.Observe(mustardramp.Observation{
				Backend: st.Backend.ID,
				Service: mohor,
				Caller:  mustardramp.CallerName(fmt.Sprintf("%s-%d", st.Backend.ID, request)),
				Result:  result,
				Latency: 10 * time.Millisecond,
				At:      f.now,
			})
		}
	}
}

// capacity counts the slots and backends of a service by a host's decisions:
// those in service, and those kept, which are neither ejected nor avoided.
type capacity struct {
	servingSlots float64
	keptSlots    float64
	// weightedSlots counts the kept slots by the weight of their backend.
	weightedSlots   float64
	servingBackends float64
	keptBackends    float64
}

func (f *fleet) capacity(i int) capacity {
	var c capacity
	for _, st := range f.standings[i] {
		if st.Backend.State != mustardramp.Serving {
			continue
		}
		slots := float64(st.Backend.Slots)
		c.servingSlots += slots
		c.servingBackends++
		if !st.Ejected && !st.Avoided {
			c.keptSlots += slots
			c.keptBackends++
			c.weightedSlots += slots * st.Weight
		}
	}
	return c
}

// check returns an error if the floor does not hold.
func (f *fleet) check() error {
	const rounding = 1e-6
	var all capacity
	for i := range f.hosts {
		c := f.capacity(i)
		need := f.terms.Floor.Of(c.servingSlots)
		if c.keptSlots < need-rounding {
			return fmt.Errorf("host %d leaves %g of %g slots, want %g", i, c.keptSlots, c.servingSlots, need)
		}
		if need := f.terms.Floor.Of(c.servingBackends); c.keptBackends < need-rounding {
			return fmt.Errorf("host %d leaves %g of %g backends, want %g", i, c.keptBackends, c.servingBackends, need)
		}
		if c.weightedSlots < need-rounding {
			return fmt.Errorf("host %d leaves a weight of %g of %g slots, want %g", i, c.weightedSlots, c.servingSlots, need)
		}
		all.servingSlots += c.servingSlots
		all.keptSlots += c.keptSlots
	}
	if need := f.terms.Floor.Of(all.servingSlots); all.keptSlots < need-rounding {
		return fmt.Errorf("the hosts together leave %g of %g slots, want %g", all.keptSlots, all.servingSlots, need)
	}
	return f.checkUnion()
}

// settleTicks is the number of ticks after a change of the roster by which all
// hosts have received each other's reaction to it.
const settleTicks = 5

// checkUnion returns an error if the floor does not hold when a backend counts as
// ejected once any host ejects it. Only hosts that receive each other's reports
// guarantee this.
func (f *fleet) checkUnion() error {
	if f.partitioned || f.ticksSinceChange < settleTicks {
		return nil
	}
	c := f.capacity(0)
	out := map[mustardramp.BackendID]float64{}
	for i := range f.hosts {
		for _, st := range f.standings[i] {
			if st.Ejected && st.Backend.State == mustardramp.Serving {
				out[st.Backend.ID] = float64(st.Backend.Slots)
			}
		}
	}
	left := c.servingSlots
	for _, slots := range out {
		left -= slots
	}
	if need := f.terms.Floor.Of(c.servingSlots); left < need {
		return fmt.Errorf("the hosts eject %d backends between them and leave %g of %g slots, want %g", len(out), left, c.servingSlots, need)
	}
	return nil
}

// removeBackend removes a backend from the roster of one host or of all.
func (f *fleet) removeBackend(t *rapid.T) {
	i := rapid.IntRange(-1, len(f.rosters)-1).Draw(t, "departs at")
	port := rapid.IntRange(0, 8).Draw(t, "backend")
	f.ticksSinceChange = 0
	f.partitioned = f.partitioned || i >= 0
	for at, roster := range f.rosters {
		if (i < 0 || i == at) && port < len(roster) {
			f.rosters[at] = append(append([]mustardramp.Backend(nil), roster[:port]...), roster[port+1:]...)
		}
	}
}

// changeState sets the state of a backend at all hosts.
func (f *fleet) changeState(t *rapid.T) {
	port := rapid.IntRange(0, 8).Draw(t, "backend")
	state := rapid.SampledFrom([]mustardramp.BackendState{mustardramp.Starting, mustardramp.Serving, mustardramp.Leaving}).Draw(t, "state")
	restart := rapid.Bool().Draw(t, "restart")
	f.ticksSinceChange = 0
	for at, roster := range f.rosters {
		if port >= len(roster) {
			continue
		}
		roster = append([]mustardramp.Backend(nil), roster...)
		roster[port].State = state
		if restart {
			roster[port].Incarnation++
		}
		f.rosters[at] = roster
	}
}

// togglePartition cuts the reports from one host to another, or lets them through
// again.
func (f *fleet) togglePartition(t *rapid.T) {
	from := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "from")
	to := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "to")
	f.cut[from][to] = !f.cut[from][to]
	f.partitioned = true
}

// The floor holds at each step of each host and of all hosts together, whatever
// backends leave, restart, change state or fail at the same time.
func TestFloorHolds(t *testing.T) {
	tests := map[string][]string{
		"connected":   {"fail", "together", "mend", "change", "late", "calm"},
		"partitioned": {"fail", "together", "mend", "change", "depart", "partition", "late", "calm"},
	}
	for name, events := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkFloor(t, events) })
		})
	}
}

func checkFloor(t *rapid.T, events []string) {
	terms := ejection.Terms{
		Floor:   mustardramp.Percent(rapid.SampledFrom([]int{0, 60, 75, 80, 100}).Draw(t, "floor")),
		Caution: 0.1,
	}
	hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
	zoneCount := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "zones")
	sizes := rapid.SampledFrom([][]mustardramp.Slots{{6}, {3, 6}, {6, 6, 1000}}).Draw(t, "slots")
	f := newFleet(hosts, zoneCount, sizes, rapid.IntRange(1, 9).Draw(t, "backends"), terms)
	for range 10 {
		f.tick(t)
	}
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		switch rapid.SampledFrom(events).Draw(t, "event") {
		case "fail":
			f.setFailures(t, rapid.SampledFrom([]int{3, 10}).Draw(t, "tenths"))
		case "mend":
			f.setFailures(t, 0)
		case "together":
			f.failDifferentBackends(t)
		case "late":
			f.toggleDelay(t)
		case "depart":
			f.removeBackend(t)
		case "change":
			f.changeState(t)
		case "partition":
			f.togglePartition(t)
		}
		for range rapid.IntRange(0, 20).Draw(t, "ticks") {
			f.tick(t)
			if err := f.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// The floor holds when two hosts start to eject one backend each at the same moment
// and another backend leaves service shortly after.
func TestFloorHoldsWhenBackendLeavesDuringEjection(t *testing.T) {
	f := newFleet(2, 1, []mustardramp.Slots{6}, 8, ejection.Terms{Floor: 75, Caution: 0.1})
	for range 10 {
		f.tick(t)
	}
	list := backends(9, 6)
	for i := range f.failingTenths {
		f.failingTenths[i][list[i].ID] = 10
	}
	for range 5 {
		f.tick(t)
	}
	for at, roster := range f.rosters {
		f.rosters[at] = slices.Clone(roster)
		f.rosters[at][2].State = mustardramp.Starting
	}
	f.ticksSinceChange = 0
	for range 20 {
		f.tick(t)
		if err := f.check(); err != nil {
			t.Errorf("%d ticks after the change: %v", f.ticksSinceChange, err)
		}
	}
}

// setFailures sets the share of requests that fail at a backend, for some of the
// hosts.
func (f *fleet) setFailures(t *rapid.T, tenths int) {
	id := backends(9, 6)[rapid.IntRange(0, 8).Draw(t, "backend")].ID
	hosts := rapid.IntRange(1, 15).Draw(t, "seen by")
	for i := range f.failingTenths {
		if hosts>>i&1 == 1 {
			f.failingTenths[i][id] = tenths
		}
	}
}

// failDifferentBackends makes a different backend fail for each host from now on.
func (f *fleet) failDifferentBackends(t *rapid.T) {
	first := rapid.IntRange(0, 8).Draw(t, "first")
	list := backends(9, 6)
	for i := range f.failingTenths {
		f.failingTenths[i][list[(first+i)%len(list)].ID] = 10
	}
}

// toggleDelay delays the reports from one host to another by a tick, or ends the
// delay.
func (f *fleet) toggleDelay(t *rapid.T) {
	from := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "from")
	to := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "to")
	f.late[from][to] = !f.late[from][to]
}

// Hosts that see different backends fail from the same moment on eject no more
// backends together than the floor permits.
func TestSimultaneousEjections(t *testing.T) {
	tests := map[string]struct {
		hosts int
		floor mustardramp.Percent
		// delay is the propagation delay of reports in ticks.
		delay int
	}{
		"2 hosts, room for 1":        {2, 80, 1},
		"3 hosts, room for 1":        {3, 80, 1},
		"4 hosts, room for 1":        {4, 80, 2},
		"4 hosts, room for 2":        {4, 75, 2},
		"2 hosts, slow reports":      {2, 80, 10},
		"4 hosts, very slow reports": {4, 75, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			terms := ejection.Terms{Floor: test.floor, Caution: 0.1}
			f := newFleet(test.hosts, 1, []mustardramp.Slots{6}, 9, terms)
			f.delay = test.delay
			for _, host := range f.hosts {
				host.PropagationDelay = time.Duration(test.delay) * tick
			}
			for range 30 {
				f.tick(t)
			}
			list := backends(9, 6)
			for i := range f.failingTenths {
				f.failingTenths[i][list[i].ID] = 10
			}
			var ejected bool
			for range 90 {
				f.tick(t)
				if err := f.check(); err != nil {
					t.Fatal(err)
				}
				ejected = ejected || f.capacity(0).keptSlots < f.capacity(0).servingSlots
			}
			if !ejected {
				t.Errorf("got no ejection, want one")
			}
		})
	}
}
