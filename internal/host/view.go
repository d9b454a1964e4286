package host

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	"github.com/mustardramp/mustardramp/internal/exchange"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/tally"
	remote "github.com/mustardramp/mustardramp/pkg/admin"
)

const (
	// stateTimeout is the time within which all hosts must answer for one status.
	stateTimeout = time.Second
	// stateConcurrency is the number of hosts asked at the same time.
	stateConcurrency = 64
	// fullWeight is the weight of a backend that is not ramping up.
	fullWeight = 1
)

// dialAdmin returns a function that opens a client of another host's
// administration API with this host's certificate and key.
func dialAdmin(files Files) func(string) (*remote.Client, error) {
	return func(address string) (*remote.Client, error) {
		return remote.Dial(remote.Target{Address: address, CA: files.CA, Cert: files.Cert, Key: files.Key})
	}
}

// queryHosts lists this host and the members by name. It asks each member for its
// index; one that does not answer in time has index 0.
func queryHosts(self *fleetapi.Host, members []membership.Member, l *links) []*fleetapi.Host {
	hosts := make([]*fleetapi.Host, 0, len(members)+1)
	hosts = append(hosts, self)
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(stateConcurrency)
	for _, m := range members {
		group.Go(func() error {
			h := hostOf(m)
			if state, err := l.state(ctx, m.Host.Name); err == nil {
				h.Index = uint64(state.Index)
			}
			mu.Lock()
			defer mu.Unlock()
			hosts = append(hosts, h)
			return nil
		})
	}
	_ = group.Wait()
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

func hostOf(m membership.Member) *fleetapi.Host {
	return &fleetapi.Host{
		Name:        string(m.Host.Name),
		Role:        m.Host.Role.String(),
		Zone:        string(m.Host.Place.Zone),
		Region:      string(m.Host.Place.Region),
		State:       m.Standing.String(),
		Admin:       m.Host.AdminAddress.String(),
		Incarnation: uint64(m.Host.Incarnation),
	}
}

func linksOf(e *exchange.Exchange) []*fleetapi.LinkStatus {
	links := []*fleetapi.LinkStatus{}
	for _, u := range e.Links() {
		links = append(links, &fleetapi.LinkStatus{
			Peer:     string(u.Peer.Name),
			Sent:     int64(u.Usage.Sent),
			Received: int64(u.Usage.Received),
			Crosses:  u.Distance == mustardramp.AcrossRegions,
		})
	}
	return links
}

// entryView serves the administration API with an entry host's view of the fleet.
type entryView struct{ *Entry }

// Status implements admin.Fleet.
func (v *entryView) Status() *fleetapi.FleetStatus {
	self := &fleetapi.Host{
		Name: string(v.config.Name), Role: "entry", Zone: string(v.config.Place.Zone), Region: string(v.config.Place.Region),
		State: v.state(), Index: uint64(v.contracts.Index()), Admin: v.Entry.AdminAddress().String(), Incarnation: uint64(v.incarnation),
	}
	status := &fleetapi.FleetStatus{
		Host:     self.Name,
		At:       mustardramp.TimeOfDay(v.clock.Now()).UTC().Format(time.RFC3339),
		Index:    self.Index,
		Hosts:    queryHosts(self, v.exchange.Members(), &v.links),
		Services: []*fleetapi.ServiceStatus{},
		Ranks:    []*fleetapi.RankStatus{},
		Groups:   []*fleetapi.GroupStatus{},
		Links:    linksOf(v.exchange),
	}
	for _, c := range v.contracts.Set().Contracts() {
		r := v.services.lookup(c.Service)
		if r == nil {
			continue
		}
		service := serviceOf(c.Service, c.Revision, c.Floor, r.Standings())
		counts := r.pool.NoticeCounts()
		service.Left, service.Quieted = counts.Left.Load(), counts.Quieted.Load()
		status.Services = append(status.Services, service)
		status.Ranks = append(status.Ranks, ranksOf(c.Service, &r.counts)...)
	}
	return status
}

func (v *entryView) state() string {
	if !v.traffic.Ready() {
		return "draining"
	}
	return "alive"
}

func serviceOf(name mustardramp.ServiceName, revision mustardramp.Revision, floor mustardramp.Percent, standings []mustardramp.Standing) *fleetapi.ServiceStatus {
	out := &fleetapi.ServiceStatus{Service: string(name), Revision: uint64(revision), Ejected: []string{}}
	for _, s := range standings {
		if s.Backend.State != mustardramp.Serving {
			continue
		}
		out.Backends++
		out.ServingSlots += int(s.Backend.Slots)
		if s.Ejected {
			out.Ejected = append(out.Ejected, string(s.Backend.ID))
			continue
		}
		out.UsableSlots += int(s.Backend.Slots)
	}
	out.FloorSlots = int(floor.Of(float64(out.ServingSlots)))
	return out
}

func ranksOf(name mustardramp.ServiceName, c *serviceCounts) []*fleetapi.RankStatus {
	var out []*fleetapi.RankStatus
	for _, rank := range mustardramp.Ranks() {
		r := &c.ranks[rank]
		out = append(out, &fleetapi.RankStatus{
			Service: string(name), Rank: rank.String(),
			Queued: int(r.queued.Load()), InFlight: int(r.inFlight.Load()),
			Served: r.served.Load(), Refused: r.refused.Load(),
		})
	}
	return out
}

// Backends implements admin.Fleet.
func (v *entryView) Backends(service string) []*fleetapi.BackendStanding {
	out := []*fleetapi.BackendStanding{}
	for name, r := range v.services.all() {
		if service != "" && service != string(name) {
			continue
		}
		first := len(out)
		for _, s := range r.Standings() {
			out = append(out, standingOf(s))
		}
		addExclusions(out[first:], r.pool.Exclusions())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func standingOf(s mustardramp.Standing) *fleetapi.BackendStanding {
	b := s.Backend
	return &fleetapi.BackendStanding{
		ID: string(b.ID), Service: string(b.Service), Address: b.Address.String(),
		Zone: string(b.Place.Zone), Region: string(b.Place.Region),
		Slots: int(b.Slots), Connections: b.Connections, State: b.State.String(),
		Standing: standingName(s), Weight: s.Weight, Cause: s.Cause, Incarnation: uint64(b.Incarnation),
	}
}

// addExclusions adds what backends stated in answers to this host.
func addExclusions(backends []*fleetapi.BackendStanding, exclusions []lease.Exclusion) {
	byID := make(map[string]lease.Exclusion, len(exclusions))
	for _, e := range exclusions {
		byID[string(e.Backend)] = e
	}
	for _, b := range backends {
		e, ok := byID[b.ID]
		if !ok || uint64(e.Incarnation) != b.Incarnation {
			continue
		}
		b.Stated, b.Quiet, b.Age = "quiet", e.Quiet.Milliseconds(), e.Age.Milliseconds()
		if e.Leaving {
			b.Stated = "leaving"
		}
	}
}

func standingName(s mustardramp.Standing) string {
	switch {
	case s.Backend.State != mustardramp.Serving:
		return s.Backend.State.String()
	case s.Trial:
		return "trial"
	case s.Ejected:
		return "ejected"
	case s.Avoided:
		return "avoided"
	case s.Weight < fullWeight:
		return "ramping"
	default:
		return "serving"
	}
}

// Histograms implements admin.Fleet.
func (v *entryView) Histograms(prefix string) []*fleetapi.Histogram {
	out := []*fleetapi.Histogram{}
	add := func(all []*fleetapi.Histogram) {
		for _, h := range all {
			if strings.HasPrefix(h.Name, prefix) {
				out = append(out, h)
			}
		}
	}
	add(v.guards.counters())
	for _, r := range v.tally.Read() {
		add(histogramsOf(r))
	}
	for name, r := range v.services.all() {
		add(loadHistogramsOf(name, r.pool.LoadMetrics()))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func histogramsOf(r tally.Reading) []*fleetapi.Histogram {
	class := string(r.Service) + "/" + r.Rank.String() + "/" + string(r.Caller)
	millisecond := float64(time.Millisecond)
	return []*fleetapi.Histogram{
		histogramOf("latency/"+class, r.Count, r.Latency, millisecond, "ms"),
		histogramOf("wait/"+class, r.Count, r.Wait, millisecond, "ms"),
		histogramOf("size/"+class, r.Count, r.Size, 1, "bytes"),
	}
}

// loadHistogramsOf returns the histograms of how evenly the slots of a service are
// used.
func loadHistogramsOf(name mustardramp.ServiceName, m *lease.LoadMetrics) []*fleetapi.Histogram {
	const thousandthsPerPercent = 10
	histogram := func(class string, h metrics.Histogram, unit float64, unitName string) *fleetapi.Histogram {
		return histogramOf(class+"/"+string(name), h.Count(), tally.Summarize(h), unit, unitName)
	}
	return []*fleetapi.Histogram{
		histogram("load-age", m.Age, float64(time.Millisecond), "ms"),
		histogram("backend-imbalance", m.Backends, thousandthsPerPercent, "%"),
		histogram("group-imbalance", m.Groups, thousandthsPerPercent, "%"),
	}
}

func histogramOf(name string, count int64, s tally.Summary, unit float64, unitName string) *fleetapi.Histogram {
	return &fleetapi.Histogram{
		Name: name, Count: count, Mean: s.Mean / unit, P50: s.P50 / unit, P99: s.P99 / unit,
		Max: float64(s.Max) / unit, Unit: unitName,
	}
}

// Drain implements admin.Fleet.
func (v *entryView) Drain(_, _ string) {
	v.drainOnce.Do(func() { close(v.drained) })
}

// Admin implements admin.Fleet.
func (v *entryView) Admin(host mustardramp.HostName) (string, bool) {
	address, ok := v.links.adminAddress(host)
	return address.String(), ok
}
