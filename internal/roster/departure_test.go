package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
)

func instance(port uint16, name string, incarnation mustardramp.Incarnation, service mustardramp.ServiceName) mustardramp.Backend {
	return backend(port, func(b *mustardramp.Backend) {
		b.Service, b.Instance, b.Incarnation = service, name, incarnation
		b.ID = roster.ID(*b)
	})
}

func instancesOf(r *roster.Roster, service mustardramp.ServiceName) []string {
	var out []string
	for _, b := range r.View(service) {
		out = append(out, b.Instance)
	}
	return out
}

func TestDepartureTakesAnInstanceOut(t *testing.T) {
	tests := map[string]struct {
		departed mustardramp.Incarnation
		first    bool
		want     int
	}{
		"after its announcement":       {departed: 5, want: 0},
		"before its announcement":      {departed: 5, first: true, want: 0},
		"of a start before this one":   {departed: 4, want: 1},
		"of a start after a late word": {departed: 6, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			if test.first {
				r.Depart(start, "i-1", test.departed)
			}
			announce(t, r, start, instance(80, "i-1", 5, "mohor"))
			r.Depart(start, "i-1", test.departed)
			if got := len(r.View("mohor")); got != test.want {
				t.Errorf("got %d backends, want %d", got, test.want)
			}
			announce(t, r, start, instance(80, "i-1", 7, "mohor"))
			if got := len(r.View("mohor")); got != 1 {
				t.Errorf("got %d backends after the next start, want 1", got)
			}
		})
	}
}

// TestLatestStartHoldsAnAddress sends statements of several starts at one
// address, of two services, in any order and repeated: only the latest start is
// in a view.
func TestLatestStartHoldsAnAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := rapid.SampledFrom([]mustardramp.ServiceName{"mohor", "patha"})
		starts := rapid.IntRange(1, 5).Draw(t, "starts")
		var statements []mustardramp.Backend
		for i := range starts {
			statements = append(statements, instance(80, fmt.Sprint("i-", i), mustardramp.Incarnation(i+1), services.Draw(t, "service")))
		}
		r := roster.New()
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, starts-1), 0, 12).Draw(t, "order") {
			// Old ones may be refused.
			_, _ = r.Announce(start, statements[i], roster.DefaultLease)
		}
		last := statements[starts-1]
		_, _ = r.Announce(start, last, roster.DefaultLease)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, starts-1), 0, 4).Draw(t, "late") {
			_, _ = r.Announce(start, statements[i], roster.DefaultLease)
		}
		got := append(instancesOf(r, "mohor"), instancesOf(r, "patha")...)
		if len(got) != 1 || got[0] != last.Instance {
			t.Fatalf("got %v, want only %s", got, last.Instance)
		}
	})
}
