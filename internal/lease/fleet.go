package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// Fleet is an immutable list of the live entry hosts. It is built once and shared
// by the pools of all services. Its zero value has no hosts.
type Fleet struct {
	// hosts is sorted by name.
	hosts []hashedHost
}

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	Host
	hash uint64
}

// NewFleet returns the fleet of the hosts, which may be in any order.
func NewFleet(hosts []Host) *Fleet {
	f := &Fleet{hosts: make([]hashedHost, 0, len(hosts))}
	for _, h := range hosts {
		f.hosts = append(f.hosts, hashedHost{Host: h, hash: xxhash.Sum64String(string(h.Name))})
	}
	slices.SortFunc(f.hosts, func(a, b hashedHost) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

// Equal reports whether other, which may be nil, has the same hosts.
func (f *Fleet) Equal(other *Fleet) bool {
	return other != nil && slices.Equal(f.hosts, other.hosts)
}

// fleetDiff is the difference between two fleets. A host that changed its place is
// in both added and removed.
type fleetDiff struct {
	added   []hashedHost
	removed map[mustardramp.HostName]bool
}

// diffFrom returns the changes from an older fleet to this one.
func (f *Fleet) diffFrom(older *Fleet) fleetDiff {
	diff := fleetDiff{removed: map[mustardramp.HostName]bool{}}
	old, hosts := older.hosts, f.hosts
	for len(old) > 0 || len(hosts) > 0 {
		switch {
		case len(hosts) == 0 || len(old) > 0 && old[0].Name < hosts[0].Name:
			diff.removed[old[0].Name] = true
			old = old[1:]
		case len(old) == 0 || hosts[0].Name < old[0].Name:
			diff.added = append(diff.added, hosts[0])
			hosts = hosts[1:]
		default:
			if old[0].Place != hosts[0].Place {
				diff.removed[old[0].Name] = true
				diff.added = append(diff.added, hosts[0])
			}
			old, hosts = old[1:], hosts[1:]
		}
	}
	return diff
}
