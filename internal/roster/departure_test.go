package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
)

func instanceBackend(port uint16, name string, incarnation mustardramp.Incarnation, service mustardramp.ServiceName) mustardramp.Backend {
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

func TestDepartRemovesInstance(t *testing.T) {
	tests := map[string]struct {
		departed           mustardramp.Incarnation
		beforeAnnouncement bool
		want               int
	}{
		"after the announcement":  {departed: 5, want: 0},
		"before the announcement": {departed: 5, beforeAnnouncement: true, want: 0},
		"earlier incarnation":     {departed: 4, want: 1},
		"later incarnation":       {departed: 6, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			if test.beforeAnnouncement {
				r.Depart(start, "i-1", test.departed)
			}
			announce(t, r, start, instanceBackend(80, "i-1", 5, "mohor"))
			r.Depart(start, "i-1", test.departed)
			if got := len(r.View("mohor")); got != test.want {
				t.Errorf("got %d backends, want %d", got, test.want)
			}
			announce(t, r, start, instanceBackend(80, "i-1", 7, "mohor"))
			if got := len(r.View("mohor")); got != 1 {
				t.Errorf("got %d backends after a new incarnation, want 1", got)
			}
		})
	}
}

// TestLatestIncarnationHoldsAddress guards against two backends at one address:
// announcements of several incarnations, of two services, arrive in any order and
// repeatedly. Only the latest incarnation may be in a view.
func TestLatestIncarnationHoldsAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := rapid.SampledFrom([]mustardramp.ServiceName{"mohor", "patha"})
		incarnations := rapid.IntRange(1, 5).Draw(t, "starts")
		var statements []mustardramp.Backend
		for i := range incarnations {
			statements = append(statements, instanceBackend(80, fmt.Sprint("i-", i), mustardramp.Incarnation(i+1), services.Draw(t, "service")))
		}
		r := roster.New()
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, incarnations-1), 0, 12).Draw(t, "order") {
			// An older announcement may be refused.
			_, _ = r.Announce(start, statements[i], roster.DefaultLease)
		}
		last := statements[incarnations-1]
		_, _ = r.Announce(start, last, roster.DefaultLease)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, incarnations-1), 0, 4).Draw(t, "late") {
			_, _ = r.Announce(start, statements[i], roster.DefaultLease)
		}
		got := append(instancesOf(r, "mohor"), instancesOf(r, "patha")...)
		if len(got) != 1 || got[0] != last.Instance {
			t.Fatalf("got %v, want only %s", got, last.Instance)
		}
	})
}
