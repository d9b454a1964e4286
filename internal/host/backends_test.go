package host

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// TestStartAheadOfTheClockHidesLaterOnes announces a backend with a start that lies far
// ahead, as another writer may do. The start must be refused, as an announcement and as
// a leaving, and the backend's own announcement must be believed.
func TestStartAheadOfTheClockHidesLaterOnes(t *testing.T) {
	now := mustardramp.Incarnation(time.Now().UnixMilli())
	for name, odd := range map[string]mustardramp.Incarnation{
		"largest number":        math.MaxUint64,
		"largest signed number": math.MaxInt64,
		"nanoseconds":           now * 1_000_000,
		"a day ahead":           now + mustardramp.Incarnation((24 * time.Hour).Milliseconds()),
	} {
		for _, state := range []mustardramp.BackendState{mustardramp.Serving, mustardramp.Leaving} {
			t.Run(name+" "+state.String(), func(t *testing.T) {
				c := &Control{clock: mustardramp.SystemClock{}}
				b := newBackend(now)
				b.Incarnation, b.State = odd, state
				if err := c.Announce(t.Context(), b); !roster.ErrInvalid.Has(err) {
					t.Errorf("got %v, want the start refused", err)
				}
				if err := c.Announce(t.Context(), newBackend(now)); err != nil {
					t.Errorf("got %v for the backend's own announcement, want none", err)
				}
				if got := c.roster.View("mohor"); len(got) != 1 || got[0].Incarnation != now {
					t.Errorf("got %v, want the backend's own start", got)
				}
			})
		}
	}
}

// newBackend returns a backend that started at a time.
func newBackend(start mustardramp.Incarnation) mustardramp.Backend {
	b := mustardramp.Backend{
		Service: "mohor", Address: netip.MustParseAddrPort("10.0.0.9:8080"), Place: mustardramp.Place{Zone: "kol-a", Region: "kolkata"},
		Slots: 6, Connections: 400, State: mustardramp.Serving, Instance: "i-1", Incarnation: start, Sequence: 1,
	}
	b.ID = roster.ID(b)
	return b
}
