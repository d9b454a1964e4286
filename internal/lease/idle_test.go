package lease

import (
	"fmt"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// TestConnectionsStayInLimit checks the connections of each backend in the worst
// case: every host that may keep idle connections does, and each slot is granted
// twice.
func TestConnectionsStayInLimit(t *testing.T) {
	tests := map[string]struct {
		hosts, connections int
		slots              mustardramp.Slots
	}{
		"sutradhar with 44 hosts":   {hosts: 44, connections: 400, slots: 6},
		"nordavind with 44 hosts":   {hosts: 44, connections: 330, slots: 3},
		"sutradhar with 6400 hosts": {hosts: 6400, connections: 400, slots: 6},
		"nordavind with 6400 hosts": {hosts: 6400, connections: 330, slots: 3},
		"few connections":           {hosts: 6400, connections: 8, slots: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var hosts []mustardramp.HostName
			for i := range tt.hosts {
				hosts = append(hosts, mustardramp.HostName(fmt.Sprint("host-", i)))
			}
			most := 0
			for n := range 200 {
				b := standing(n, kolA, tt.slots).Backend
				b.Connections = tt.connections
				used := partitionFactor * int(b.Slots)
				for _, h := range hosts {
					if keepsIdle(h, &b, len(hosts)) {
						used += IdleConnectionsPerHost
					}
				}
				most = max(most, used)
			}
			if got, want := most, tt.connections; got > want {
				t.Errorf("got up to %d connections, want at most %d", got, want)
			}
		})
	}
}

func TestSmallFleetsKeepAlive(t *testing.T) {
	b := standing(1, kolA, 3).Backend
	b.Connections = 330
	for i := range 44 {
		if !keepsIdle(mustardramp.HostName(fmt.Sprint("host-", i)), &b, 44) {
			t.Fatalf("host %d of 44 closes its connections, want them kept", i)
		}
	}
}
