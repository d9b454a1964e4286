package ejection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	_ "github.com/mustardramp/mustardramp/internal/draws"
	"github.com/mustardramp/mustardramp/internal/ejection"
)

const tick = 100 * time.Millisecond

// floors is a few hosts before one service, with the faults and partitions
// that a test sets.
type floors struct {
	now   time.Time
	terms ejection.Terms
	hosts []*ejection.Ejector
	// views holds the roster as each host knows it.
	views [][]mustardramp.Backend
	last  [][]mustardramp.Standing
	// ill holds, by host, the share of requests, in tenths, that fail at each
	// backend.
	ill []map[mustardramp.BackendID]int
	// cut[i][j] is true while no report of host i reaches host j.
	cut [][]bool
	// late[i][j] is true while reports of host i reach host j a tick later
	// than others do.
	late [][]bool
	// sent holds the reports of all hosts by tick; they arrive delay ticks
	// later.
	sent  [][]mustardramp.Record
	delay int
	// calm is the number of ticks since the last change of a roster or a
	// partition.
	calm int
	// partitioned is true once a report was cut.
	partitioned bool
}

func newFloors(hosts, places int, sizes []mustardramp.Slots, n int, terms ejection.Terms) *floors {
	f := &floors{now: start, terms: terms, delay: 1}
	list := backends(n, 6)
	for i := range list {
		list[i].Slots = sizes[i%len(sizes)]
	}
	for i := range hosts {
		name := mustardramp.HostName(fmt.Sprintf("h%d", i))
		e := ejection.New(name, 1, zones[i%places])
		e.Terms = func(mustardramp.ServiceName) ejection.Terms { return terms }
		e.Learning = tick
		f.hosts = append(f.hosts, e)
		f.views = append(f.views, append([]mustardramp.Backend(nil), list...))
		f.last = append(f.last, nil)
		f.ill = append(f.ill, map[mustardramp.BackendID]int{})
		f.cut = append(f.cut, make([]bool, hosts))
		f.late = append(f.late, make([]bool, hosts))
	}
	return f
}

// tick delivers the reports, lets work run and steps all hosts.
func (f *floors) tick(t interface{ Fatal(...any) }) {
	f.now = f.now.Add(tick)
	f.calm++
	for from := range f.hosts {
		f.deliver(t, from)
	}
	var reports []mustardramp.Record
	for i, host := range f.hosts {
		f.work(i, host)
		f.last[i] = host.Step(f.now, mohor, f.views[i])
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

func (f *floors) deliver(t interface{ Fatal(...any) }, from int) {
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

func (f *floors) work(i int, host *ejection.Ejector) {
	for _, st := range f.last[i] {
		if !st.Usable() && !st.Trial {
			continue
		}
		for request := range 10 {
			result := mustardramp.ResultGood
			if request < f.ill[i][st.Backend.ID] {
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

// capacity is slots by what a host decided of them.
type capacity struct {
	serving  float64
	left     float64
	weighted float64
	// backends and kept count backends in place of slots.
	backends float64
	kept     float64
}

func (f *floors) capacity(i int) capacity {
	var c capacity
	for _, st := range f.last[i] {
		if st.Backend.State != mustardramp.Serving {
			continue
		}
		slots := float64(st.Backend.Slots)
		c.serving += slots
		c.backends++
		if !st.Ejected && !st.Avoided {
			c.left += slots
			c.kept++
			c.weighted += slots * st.Weight
		}
	}
	return c
}

// check reports a floor that does not hold.
func (f *floors) check() error {
	const rounding = 1e-6
	var all capacity
	for i := range f.hosts {
		c := f.capacity(i)
		need := f.terms.Floor.Of(c.serving)
		if c.left < need-rounding {
			return fmt.Errorf("host %d leaves %g of %g slots, want %g", i, c.left, c.serving, need)
		}
		if need := f.terms.Floor.Of(c.backends); c.kept < need-rounding {
			return fmt.Errorf("host %d leaves %g of %g backends, want %g", i, c.kept, c.backends, need)
		}
		if c.weighted < need-rounding {
			return fmt.Errorf("host %d leaves a weight of %g of %g slots, want %g", i, c.weighted, c.serving, need)
		}
		all.serving += c.serving
		all.left += c.left
	}
	if need := f.terms.Floor.Of(all.serving); all.left < need-rounding {
		return fmt.Errorf("the hosts together leave %g of %g slots, want %g", all.left, all.serving, need)
	}
	return f.checkUnion()
}

// settled is the number of ticks after a change of the roster in which all
// hosts have heard of each other's answer to it.
const settled = 5

// checkUnion reports a floor that does not hold when a backend counts as
// ejected once any host ejects it. Hosts that hear each other keep it.
func (f *floors) checkUnion() error {
	if f.partitioned || f.calm < settled {
		return nil
	}
	c := f.capacity(0)
	out := map[mustardramp.BackendID]float64{}
	for i := range f.hosts {
		for _, st := range f.last[i] {
			if st.Ejected && st.Backend.State == mustardramp.Serving {
				out[st.Backend.ID] = float64(st.Backend.Slots)
			}
		}
	}
	left := c.serving
	for _, slots := range out {
		left -= slots
	}
	if need := f.terms.Floor.Of(c.serving); left < need {
		return fmt.Errorf("the hosts eject %d backends between them and leave %g of %g slots, want %g", len(out), left, c.serving, need)
	}
	return nil
}

// depart takes a backend out of one host's roster, or of all.
func (f *floors) depart(t *rapid.T) {
	i := rapid.IntRange(-1, len(f.views)-1).Draw(t, "departs at")
	port := rapid.IntRange(0, 8).Draw(t, "backend")
	f.calm = 0
	f.partitioned = f.partitioned || i >= 0
	for at, view := range f.views {
		if (i < 0 || i == at) && port < len(view) {
			f.views[at] = append(append([]mustardramp.Backend(nil), view[:port]...), view[port+1:]...)
		}
	}
}

// change sets the state of a backend at all hosts.
func (f *floors) change(t *rapid.T) {
	port := rapid.IntRange(0, 8).Draw(t, "backend")
	state := rapid.SampledFrom([]mustardramp.BackendState{mustardramp.Starting, mustardramp.Serving, mustardramp.Leaving}).Draw(t, "state")
	restart := rapid.Bool().Draw(t, "restart")
	f.calm = 0
	for at, view := range f.views {
		if port >= len(view) {
			continue
		}
		view = append([]mustardramp.Backend(nil), view...)
		view[port].State = state
		if restart {
			view[port].Incarnation++
		}
		f.views[at] = view
	}
}

func (f *floors) partition(t *rapid.T) {
	from := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "from")
	to := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "to")
	f.cut[from][to] = !f.cut[from][to]
	f.partitioned = true
}

// The floor holds at each step of each host and of the hosts together,
// whatever leaves, dies, announces or fails at the same time.
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
	places := rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "zones")
	sizes := rapid.SampledFrom([][]mustardramp.Slots{{6}, {3, 6}, {6, 6, 1000}}).Draw(t, "slots")
	f := newFloors(hosts, places, sizes, rapid.IntRange(1, 9).Draw(t, "backends"), terms)
	for range 10 {
		f.tick(t)
	}
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		switch rapid.SampledFrom(events).Draw(t, "event") {
		case "fail":
			f.fail(t, rapid.SampledFrom([]int{3, 10}).Draw(t, "tenths"))
		case "mend":
			f.fail(t, 0)
		case "together":
			f.failTogether(t)
		case "late":
			f.holdUp(t)
		case "depart":
			f.depart(t)
		case "change":
			f.change(t)
		case "partition":
			f.partition(t)
		}
		for range rapid.IntRange(0, 20).Draw(t, "ticks") {
			f.tick(t)
			if err := f.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestFloorIsMissedAfterAChange has two hosts eject a backend each at the same
// moment, and another backend leave service a tick later.
func TestFloorIsMissedAfterAChange(t *testing.T) {
	f := newFloors(2, 1, []mustardramp.Slots{6}, 8, ejection.Terms{Floor: 75, Caution: 0.1})
	for range 10 {
		f.tick(t)
	}
	list := backends(9, 6)
	for i := range f.ill {
		f.ill[i][list[i].ID] = 10
	}
	for range 5 {
		f.tick(t)
	}
	for at, view := range f.views {
		f.views[at] = slices.Clone(view)
		f.views[at][2].State = mustardramp.Starting
	}
	f.calm = 0
	for range 20 {
		f.tick(t)
		if err := f.check(); err != nil {
			t.Errorf("%d ticks after the change: %v", f.calm, err)
		}
	}
}

// fail sets the share of requests that fail at a backend, as some of the hosts
// see it.
func (f *floors) fail(t *rapid.T, tenths int) {
	id := backends(9, 6)[rapid.IntRange(0, 8).Draw(t, "backend")].ID
	hosts := rapid.IntRange(1, 15).Draw(t, "seen by")
	for i := range f.ill {
		if hosts>>i&1 == 1 {
			f.ill[i][id] = tenths
		}
	}
}

// failTogether makes each host see another backend fail from now on.
func (f *floors) failTogether(t *rapid.T) {
	first := rapid.IntRange(0, 8).Draw(t, "first")
	list := backends(9, 6)
	for i := range f.ill {
		f.ill[i][list[(first+i)%len(list)].ID] = 10
	}
}

func (f *floors) holdUp(t *rapid.T) {
	from := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "from")
	to := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "to")
	f.late[from][to] = !f.late[from][to]
}

// Hosts that see different backends fail from the same moment on eject no more
// between them than the floor spares.
func TestEjectionsAtTheSameMoment(t *testing.T) {
	tests := map[string]struct {
		hosts int
		floor mustardramp.Percent
		// delay is the time that reports take, in ticks.
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
			f := newFloors(test.hosts, 1, []mustardramp.Slots{6}, 9, terms)
			f.delay = test.delay
			for _, host := range f.hosts {
				host.Spread = time.Duration(test.delay) * tick
			}
			for range 30 {
				f.tick(t)
			}
			list := backends(9, 6)
			for i := range f.ill {
				f.ill[i][list[i].ID] = 10
			}
			var ejected bool
			for range 90 {
				f.tick(t)
				if err := f.check(); err != nil {
					t.Fatal(err)
				}
				ejected = ejected || f.capacity(0).left < f.capacity(0).serving
			}
			if !ejected {
				t.Errorf("got no ejection, want one")
			}
		})
	}
}
