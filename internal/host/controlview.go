package host

import (
	"sort"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// controlView serves the administration API with a control host's view of the
// fleet.
type controlView struct{ *Control }

// Status implements admin.Fleet.
func (v *controlView) Status() *fleetapi.FleetStatus {
	self := &fleetapi.Host{
		Name: string(v.config.Name), Role: "control", Zone: string(v.config.Place.Zone), Region: string(v.config.Place.Region),
		State: membership.Alive.String(), Index: uint64(v.index()), Admin: v.Control.AdminAddress().String(), Incarnation: uint64(v.incarnation),
	}
	return &fleetapi.FleetStatus{
		Host:     self.Name,
		At:       mustardramp.TimeOfDay(v.clock.Now()).UTC().Format(time.RFC3339),
		Index:    self.Index,
		Hosts:    queryHosts(self, v.exchange.Members(), &v.links),
		Services: []*fleetapi.ServiceStatus{},
		Ranks:    []*fleetapi.RankStatus{},
		Groups:   v.groupStatus(),
		Links:    linksOf(v.exchange),
	}
}

func (v *controlView) groupStatus() []*fleetapi.GroupStatus {
	out := make([]*fleetapi.GroupStatus, len(v.groups))
	for i, g := range v.groups {
		out[i] = g.status()
	}
	return out
}

// Backends implements admin.Fleet. A control host has no standings of backends.
func (*controlView) Backends(string) []*fleetapi.BackendStanding {
	return []*fleetapi.BackendStanding{}
}

// Histograms implements admin.Fleet. A control host handles no requests of callers; it
// shows how much it remembers, with the bounds.
func (v *controlView) Histograms(prefix string) []*fleetapi.Histogram {
	out := []*fleetapi.Histogram{}
	for _, b := range v.bounds() {
		if strings.HasPrefix(b.name, prefix) {
			out = append(out, b.counter())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Drain implements admin.Fleet.
func (v *controlView) Drain(_, _ string) {
	v.drainOnce.Do(func() { close(v.drained) })
}

// Admin implements admin.Fleet.
func (v *controlView) Admin(host mustardramp.HostName) (string, bool) {
	address, ok := v.links.adminAddress(host)
	return address.String(), ok
}
