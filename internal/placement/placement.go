// Package placement assigns control hosts to replicated groups.
package placement

import (
	"sort"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/setting"
)

// Contracts is the name of the group that replicates the contracts of all
// services. Every control host is a member.
const Contracts = "contracts"

const (
	// ledgerPrefix precedes the region in the name of a ledger group.
	ledgerPrefix = "ledger-"
	// ledgerMembers is the size of a ledger group. A majority of the members is
	// in the group's region, so that the group commits there and survives the
	// loss of any one zone and of all other regions.
	ledgerMembers = 3
	// homeMembers is the number of members in the group's region.
	homeMembers = 2
)

// Group is one replicated group.
type Group struct {
	Name string
	// Region is set for a ledger group only.
	Region mustardramp.Region
	// Hosts is never empty.
	Hosts []mustardramp.HostName
}

// Has reports whether a host is a member of the group.
func (g Group) Has(host mustardramp.HostName) bool {
	for _, h := range g.Hosts {
		if h == host {
			return true
		}
	}
	return false
}

// Groups returns all groups over the control hosts. The result does not depend
// on the order of the members.
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

// Regions lists the regions of the control hosts in order. Each region has a
// ledger group.
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

// ledger returns the ledger group of a region: homeMembers in different zones of
// the region and a host of another region. If there are too few of these, it
// picks other hosts.
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
	inRegion := func(m setting.Member) bool { return m.Place.Region == region }
	pick(homeMembers, func(m setting.Member) bool { return inRegion(m) && !zones[m.Place.Zone] })
	pick(ledgerMembers, func(m setting.Member) bool { return !inRegion(m) })
	pick(ledgerMembers, func(m setting.Member) bool { return inRegion(m) && !zones[m.Place.Zone] })
	pick(ledgerMembers, func(setting.Member) bool { return true })
	if len(g.Hosts) == homeMembers {
		// Two members tolerate no more losses than one, and both must confirm
		// each entry.
		g.Hosts = g.Hosts[:1]
	}
	return g
}
