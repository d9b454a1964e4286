package ejection_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
	"github.com/mustardramp/mustardramp/internal/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const mohor mustardramp.ServiceName = "mohor"

var zones = []mustardramp.Place{
	{Zone: "kol-a", Region: "kolkata"},
	{Zone: "kol-b", Region: "kolkata"},
	{Zone: "sil-a", Region: "siliguri"},
	{Zone: "sil-b", Region: "siliguri"},
}

// backends returns n serving backends, spread over the zones.
func backends(n int, slots mustardramp.Slots) []mustardramp.Backend {
	out := make([]mustardramp.Backend, n)
	for i := range out {
		out[i] = mustardramp.Backend{
			Service:     mohor,
			Address:     netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+i)),
			Place:       zones[i%len(zones)],
			Slots:       slots,
			Connections: 400,
			State:       mustardramp.Serving,
			Incarnation: 1,
			Sequence:    1,
		}
		out[i].ID = roster.ID(out[i])
	}
	return out
}

// lone is one host that sees all work, and the outcomes that it sees.
type lone struct {
	ejector *ejection.Ejector
	now     time.Time
	list    []mustardramp.Backend
	last    []mustardramp.Standing
}

func newLone(list []mustardramp.Backend) *lone {
	l := &lone{ejector: ejection.New("h1", 1, zones[0]), now: start, list: list}
	l.step()
	return l
}

func (l *lone) step() {
	l.last = l.ejector.Step(l.now, mohor, l.list)
}

// run sends each backend that takes work two requests a tick.
func (l *lone) run(ticks int, outcome func(backend, request int) (mustardramp.Result, time.Duration)) {
	for range ticks {
		l.now = l.now.Add(100 * time.Millisecond)
		for i, st := range l.last {
			if !st.Usable() && !st.Trial {
				continue
			}
			for request := range 2 {
				result, latency := outcome(i, request)
				l.ejector.Observe(mustardramp.Observation{
					Backend: st.Backend.ID,
					Service: mohor,
					Caller:  mustardramp.CallerName(fmt.Sprintf("caller-%d", i*2+request)),
					Rank:    mustardramp.Normal,
					Result:  result,
					Latency: latency,
					At:      l.now,
				})
			}
		}
		l.step()
	}
}

func good(int, int) (mustardramp.Result, time.Duration) {
	return mustardramp.ResultGood, 10 * time.Millisecond
}

// failingAt returns outcomes that fail at some backends.
func failingAt(result mustardramp.Result, ill ...int) func(int, int) (mustardramp.Result, time.Duration) {
	return func(backend, request int) (mustardramp.Result, time.Duration) {
		for _, i := range ill {
			if backend == i {
				return result, 10 * time.Millisecond
			}
		}
		return good(backend, request)
	}
}

func (l *lone) ejected() []int {
	var out []int
	for i, st := range l.last {
		if st.Ejected {
			out = append(out, i)
		}
	}
	return out
}

func TestEjects(t *testing.T) {
	slow := func(backend, _ int) (mustardramp.Result, time.Duration) {
		if backend == 3 {
			return mustardramp.ResultGood, 100 * time.Millisecond
		}
		return mustardramp.ResultGood, 10 * time.Millisecond
	}
	everywhere := func(int, int) (mustardramp.Result, time.Duration) {
		return mustardramp.ResultError, 10 * time.Millisecond
	}
	slower := func(int, int) (mustardramp.Result, time.Duration) {
		return mustardramp.ResultGood, time.Second
	}
	tests := map[string]struct {
		outcome func(int, int) (mustardramp.Result, time.Duration)
		want    string
	}{
		"error":          {failingAt(mustardramp.ResultError, 3), "[3]"},
		"timeout":        {failingAt(mustardramp.ResultTimeout, 3), "[3]"},
		"cut":            {failingAt(mustardramp.ResultCut, 3), "[3]"},
		"false answer":   {failingAt(mustardramp.ResultFalse, 3), "[3]"},
		"dial":           {failingAt(mustardramp.ResultDial, 3), "[3]"},
		"two at once":    {failingAt(mustardramp.ResultError, 3, 4), "[3 4]"},
		"slow":           {slow, "[3]"},
		"shed":           {failingAt(mustardramp.ResultShed, 3), "[]"},
		"abandoned":      {failingAt(mustardramp.ResultAbandoned, 3), "[]"},
		"service fails":  {everywhere, "[]"},
		"service slower": {slower, "[]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone(backends(22, 6))
			l.run(100, good)
			l.run(40, test.outcome)
			if got := fmt.Sprint(l.ejected()); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestLeavingByAnswer(t *testing.T) {
	l := newLone(backends(9, 6))
	var told []mustardramp.BackendID
	l.ejector.Left = func(o mustardramp.Observation) { told = append(told, o.Backend) }
	l.run(20, good)
	l.run(1, failingAt(mustardramp.ResultLeaving, 2))
	if l.last[2].Usable() {
		t.Errorf("got usable, want the backend out at the next step")
	}
	if len(told) == 0 || told[0] != l.list[2].ID {
		t.Errorf("got %v, want %s told", told, l.list[2].ID)
	}
	l.list[2].Incarnation = 2
	l.run(1, good)
	if !l.last[2].Usable() {
		t.Errorf("got not usable, want the new incarnation back")
	}
}

// What a backend says of its health or its size neither keeps it in nor brings
// it back, and ejects no other.
func TestBackendMisleads(t *testing.T) {
	tests := map[string]struct {
		announce func(*mustardramp.Backend)
		want     string
	}{
		"says that it is well":    {func(b *mustardramp.Backend) { b.Sequence++ }, "[3]"},
		"says that it has 3 of 6": {func(b *mustardramp.Backend) { b.Slots = 3 }, "[3]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone(backends(22, 6))
			l.run(100, good)
			for range 40 {
				test.announce(&l.list[3])
				l.run(1, failingAt(mustardramp.ResultError, 3))
			}
			if got := fmt.Sprint(l.ejected()); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestTooManySlotsMakeNoRoom(t *testing.T) {
	l := newLone(backends(9, 6))
	l.list[0].Slots = 60000
	l.run(100, good)
	l.run(60, failingAt(mustardramp.ResultError, 1, 2, 3, 4))
	if got := len(l.ejected()); got > 2 {
		t.Errorf("got %d of 9 backends ejected, want at most the 2 that a floor of 70 %% spares", got)
	}
}

func TestReturnsByTrialAndRamp(t *testing.T) {
	l := newLone(backends(9, 6))
	l.run(100, good)
	l.run(20, failingAt(mustardramp.ResultError, 3))
	var trial bool
	weights := []float64{}
	for range 600 {
		l.run(1, good)
		trial = trial || l.last[3].Trial
		if w := l.last[3].Weight; l.last[3].Usable() && (len(weights) == 0 || w != weights[len(weights)-1]) {
			weights = append(weights, w)
		}
	}
	if !trial {
		t.Errorf("got no trial, want one before the return")
	}
	if len(weights) < 10 || weights[0] > 0.2 || weights[len(weights)-1] != 1 {
		t.Errorf("got weights %v, want a ramp from a low weight to 1", weights)
	}
}

// Without idempotent work there is no trial; the backend returns by a ramp.
func TestReturnsWithoutTrial(t *testing.T) {
	l := newLone(backends(9, 6))
	l.run(100, good)
	l.run(20, failingAt(mustardramp.ResultError, 3))
	for range 600 {
		l.now = l.now.Add(tick)
		l.step()
	}
	if !l.last[3].Usable() {
		t.Errorf("got %q, want the backend back", l.last[3].Cause)
	}
}

func TestHoldGrowsWhenFlapping(t *testing.T) {
	l := newLone(backends(9, 6))
	l.run(100, good)
	var held []int
	for range 4 {
		l.run(30, failingAt(mustardramp.ResultError, 3))
		ticks := 0
		for ticks < 3000 && !l.last[3].Trial && l.last[3].Ejected {
			l.run(1, good)
			ticks++
		}
		held = append(held, ticks)
		for ticks := 0; ticks < 3000 && !l.last[3].Usable(); ticks++ {
			l.run(1, good)
		}
	}
	for i := 1; i < len(held); i++ {
		if held[i] <= held[i-1] {
			t.Errorf("got holds of %v ticks, want each longer than the one before", held)
			break
		}
	}
}

func TestColdStartRamps(t *testing.T) {
	l := newLone(backends(9, 6))
	l.run(10, good)
	l.list = backends(10, 6)
	l.run(1, good)
	if got := l.last[9].Weight; !l.last[9].Usable() || got > 0.2 {
		t.Errorf("got weight %g, want a low one", got)
	}
	l.run(200, good)
	if got := l.last[9].Weight; got != 1 {
		t.Errorf("got weight %g after 20 s, want 1", got)
	}
}
