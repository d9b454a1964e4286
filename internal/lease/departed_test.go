package lease

import (
	"testing"
	"testing/synctest"

	"github.com/mustardramp/mustardramp"
)

// TestWokenKeeperGrantsADepartedBackend guards against new work at a backend that has
// left: its keeper was frozen and still lists it, while the host that sends the request
// knows that it has left.
func TestWokenKeeperGrantsADepartedBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left, serving := standing(1, kolA, 1), standing(2, kolA, 1)
		net := newNetwork(4, left, serving)
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		for host, other := range net.pools {
			if host != keeper {
				other.Update([]mustardramp.Standing{serving})
			}
		}
		used := usedBackends(t, p)
		if got := used[left.Backend.ID]; got != 0 {
			t.Errorf("requests at the backend that left: got %d, want none", got)
		}
		if got := used[serving.Backend.ID]; got == 0 {
			t.Error("requests at the serving backend: got none, want all")
		}
	})
}

// TestUnknownDepartedBackendIsUsed guards against new work at a backend that left before
// the host that sends the request heard of it: the departure came first, and a keeper that
// was frozen meanwhile still grants its slots.
func TestUnknownDepartedBackendIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left, serving := standing(1, kolA, 1), standing(2, kolA, 1)
		net := newNetwork(4, serving)
		defer net.close()
		p, keeper := poolWithRemoteKeeper(net)
		p.config.HasDeparted = func(b mustardramp.Backend) bool { return b.ID == left.Backend.ID }
		net.pools[keeper].Update([]mustardramp.Standing{left, serving})
		used := usedBackends(t, p)
		if got := used[left.Backend.ID]; got != 0 {
			t.Errorf("requests at the backend that left: got %d, want none", got)
		}
		if got := used[serving.Backend.ID]; got == 0 {
			t.Error("requests at the serving backend: got none, want all")
		}
	})
}
