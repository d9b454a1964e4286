// Package placement says which control hosts hold which replicated group.
package placement

import (
	"sort"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/setting"
)

// Contracts is the group of the services' contracts; every control host is in
// it.
const Contracts = "contracts"

const (
	// ledgerPrefix precedes the region in the name of a ledger group.
	ledgerPrefix = "ledger-"
	// ledgerMembers is the size of a ledger group: a majority of them lies in
	// the group's region, so that it commits there and survives the loss of
	// any one zone and of the other regions.
	ledgerMembers = 3
	// homeMembers is how many of them lie in the group's region.
	homeMembers = 2
)

// Group is one replicated group.
type Group struct {
	Name string
	// Region is set for a ledger group.
	Region mustardramp.Region
	// Hosts is never empty.
	Hosts []mustardramp.HostName
}

// Has reports whether a host is in the group.
func (g Group) Has(host mustardramp.HostName) bool {
	for _, h := range g.Hosts {
		if h == host {
			return true
		}
	}
	return false
}

// Groups lists all groups over the control hosts. Equal lists give equal
// groups, in any order of the hosts.
func Groups(members []setting.Member) []Group {
	sorted := append([]setting.Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	groups := []Group{{Name: Contracts}}
	for _, m := range sorted {
		groups[0].Hosts = append(groups[0].Hosts, m.Name)
	}
	for _, region := range Regions(sorted) {
		groups = append(groups, ledger(region, sorted))
	}
	return groups
}

// Ledger returns the name of a region's ledger group.
func Ledger(region mustardramp.Region) string {
	return ledgerPrefix + string(region)
}

// Regions lists the regions of the control hosts; each has a ledger.
func Regions(members []setting.Member) []mustardramp.Region {
	seen := map[mustardramp.Region]bool{}
	var out []mustardramp.Region
	for _, m := range members {
		if !seen[m.Place.Region] {
			seen[m.Place.Region] = true
			out = append(out, m.Place.Region)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// ledger picks homeMembers in different zones of the region, then one host of
// another region. Where that is not possible it takes what there is.
func ledger(region mustardramp.Region, members []setting.Member) Group {
	g := Group{Name: Ledger(region), Region: region}
	zones := map[mustardramp.Zone]bool{}
	pick := func(limit int, fits func(setting.Member) bool) {
		for _, m := range members {
			if len(g.Hosts) < limit && !g.Has(m.Name) && fits(m) {
				g.Hosts = append(g.Hosts, m.Name)
				zones[m.Place.Zone] = true
			}
		}
	}
	home := func(m setting.Member) bool { return m.Place.Region == region }
	pick(homeMembers, func(m setting.Member) bool { return home(m) && !zones[m.Place.Zone] })
	pick(ledgerMembers, func(m setting.Member) bool { return !home(m) })
	pick(ledgerMembers, func(m setting.Member) bool { return home(m) && !zones[m.Place.Zone] })
	pick(ledgerMembers, func(setting.Member) bool { return true })
	if len(g.Hosts) == homeMembers {
		// Two members tolerate no loss more than one does, and wait for both.
		g.Hosts = g.Hosts[:1]
	}
	return g
}
