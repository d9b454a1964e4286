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

// singleHost is a host that receives all requests of a service.
type singleHost struct {
	ejector   *ejection.Ejector
	now       time.Time
	list      []mustardramp.Backend
	standings []mustardramp.Standing
}

func newSingleHost(list []mustardramp.Backend) *singleHost {
	h := &singleHost{ejector: ejection.New("h1", 1, zones[0]), now: start, list: list}
	h.step()
	return h
}

func (h *singleHost) step() {
	h.standings = h.ejector.Step(h.now, mohor, h.list)
}

// run sends two requests per tick to each backend that is usable or on trial.
func (h *singleHost) run(ticks int, outcome func(backend, request int) (mustardramp.Result, time.Duration)) {
	for range ticks {
		h.now = h.now.Add(100 * time.Millisecond)
		for i, st := range h.standings {
			if !st.Usable() && !st.Trial {
				continue
			}
			for request := range 2 {
				result, latency := outcome(i, request)
				h.ejector.Observe(mustardramp.Observation{
					Backend: st.Backend.ID,
					Service: mohor,
					Caller:  mustardramp.CallerName(fmt.Sprintf("caller-%d", i*2+request)),
					Rank:    mustardramp.Normal,
					Result:  result,
					Latency: latency,
					At:      h.now,
				})
			}
		}
		h.step()
	}
}

func goodOutcome(int, int) (mustardramp.Result, time.Duration) {
	return mustardramp.ResultSuccess, 10 * time.Millisecond
}

// failingAt returns outcomes that fail with a result at some backends and are good
// at the others.
func failingAt(result mustardramp.Result, faulty ...int) func(int, int) (mustardramp.Result, time.Duration) {
	return func(backend, request int) (mustardramp.Result, time.Duration) {
		for _, i := range faulty {
			if backend == i {
				return result, 10 * time.Millisecond
			}
		}
		return goodOutcome(backend, request)
	}
}

// ejected returns the indices of the ejected backends.
func (h *singleHost) ejected() []int {
	var out []int
	for i, st := range h.standings {
		if st.Ejected {
			out = append(out, i)
		}
	}
	return out
}

func TestEjectsFaultyBackends(t *testing.T) {
	slow := func(backend, _ int) (mustardramp.Result, time.Duration) {
		if backend == 3 {
			return mustardramp.ResultSuccess, 100 * time.Millisecond
		}
		return mustardramp.ResultSuccess, 10 * time.Millisecond
	}
	failEverywhere := func(int, int) (mustardramp.Result, time.Duration) {
		return mustardramp.ResultError, 10 * time.Millisecond
	}
	slowEverywhere := func(int, int) (mustardramp.Result, time.Duration) {
		return mustardramp.ResultSuccess, time.Second
	}
	tests := map[string]struct {
		outcome func(int, int) (mustardramp.Result, time.Duration)
		want    string
	}{
		"error":            {failingAt(mustardramp.ResultError, 3), "[3]"},
		"timeout":          {failingAt(mustardramp.ResultTimeout, 3), "[3]"},
		"truncated answer": {failingAt(mustardramp.ResultTruncated, 3), "[3]"},
		"invalid answer":   {failingAt(mustardramp.ResultInvalid, 3), "[3]"},
		"dial":             {failingAt(mustardramp.ResultDial, 3), "[3]"},
		"two at once":      {failingAt(mustardramp.ResultError, 3, 4), "[3 4]"},
		"slow":             {slow, "[3]"},
		"shed":             {failingAt(mustardramp.ResultShed, 3), "[]"},
		"abandoned":        {failingAt(mustardramp.ResultAbandoned, 3), "[]"},
		"service fails":    {failEverywhere, "[]"},
		"service slower":   {slowEverywhere, "[]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSingleHost(backends(22, 6))
			h.run(100, goodOutcome)
			h.run(40, test.outcome)
			if got := fmt.Sprint(h.ejected()); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// A backend that answers that it is leaving receives no more requests until it
// restarts.
func TestLeavingAnswerStopsRequests(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.run(20, goodOutcome)
	h.run(1, failingAt(mustardramp.ResultLeaving, 2))
	if h.standings[2].Usable() {
		t.Errorf("got usable, want the backend out at the next step")
	}
	h.list[2].Incarnation = 2
	h.run(1, goodOutcome)
	if !h.standings[2].Usable() {
		t.Errorf("got not usable, want the new incarnation usable")
	}
}

// The announcements of a faulty backend neither prevent its ejection nor eject
// other backends.
func TestAnnouncementsDoNotPreventEjection(t *testing.T) {
	tests := map[string]struct {
		announce func(*mustardramp.Backend)
		want     string
	}{
		"announces itself as serving": {func(b *mustardramp.Backend) { b.Sequence++ }, "[3]"},
		"announces 3 of 6 slots":      {func(b *mustardramp.Backend) { b.Slots = 3 }, "[3]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSingleHost(backends(22, 6))
			h.run(100, goodOutcome)
			for range 40 {
				test.announce(&h.list[3])
				h.run(1, failingAt(mustardramp.ResultError, 3))
			}
			if got := fmt.Sprint(h.ejected()); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// A backend that announces far too many slots does not permit more ejections than
// the floor does by the number of backends.
func TestOverstatedSlotsPermitNoMoreEjections(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.list[0].Slots = 60000
	h.run(100, goodOutcome)
	h.run(60, failingAt(mustardramp.ResultError, 1, 2, 3, 4))
	if got := len(h.ejected()); got > 2 {
		t.Errorf("got %d of 9 backends ejected, want at most the 2 that a floor of 70 %% permits", got)
	}
}

func TestReturnsByTrialAndRamp(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.run(100, goodOutcome)
	h.run(20, failingAt(mustardramp.ResultError, 3))
	var trial bool
	weights := []float64{}
	for range 600 {
		h.run(1, goodOutcome)
		trial = trial || h.standings[3].Trial
		if w := h.standings[3].Weight; h.standings[3].Usable() && (len(weights) == 0 || w != weights[len(weights)-1]) {
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

// Without idempotent requests a trial has no outcomes; the backend then returns by
// a ramp.
func TestReturnsWithoutTrial(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.run(100, goodOutcome)
	h.run(20, failingAt(mustardramp.ResultError, 3))
	for range 600 {
		h.now = h.now.Add(tick)
		h.step()
	}
	if !h.standings[3].Usable() {
		t.Errorf("got %q, want the backend usable", h.standings[3].Cause)
	}
}

func TestHoldGrowsWhenFlapping(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.run(100, goodOutcome)
	var holds []int
	for range 4 {
		h.run(30, failingAt(mustardramp.ResultError, 3))
		ticks := 0
		for ticks < 3000 && !h.standings[3].Trial && h.standings[3].Ejected {
			h.run(1, goodOutcome)
			ticks++
		}
		holds = append(holds, ticks)
		for ticks := 0; ticks < 3000 && !h.standings[3].Usable(); ticks++ {
			h.run(1, goodOutcome)
		}
	}
	for i := 1; i < len(holds); i++ {
		if holds[i] <= holds[i-1] {
			t.Errorf("got holds of %v ticks, want each longer than the one before", holds)
			break
		}
	}
}

func TestColdStartRamps(t *testing.T) {
	h := newSingleHost(backends(9, 6))
	h.run(10, goodOutcome)
	h.list = backends(10, 6)
	h.run(1, goodOutcome)
	if got := h.standings[9].Weight; !h.standings[9].Usable() || got > 0.2 {
		t.Errorf("got weight %g, want a low one", got)
	}
	h.run(200, goodOutcome)
	if got := h.standings[9].Weight; got != 1 {
		t.Errorf("got weight %g after 20 s, want 1", got)
	}
}
