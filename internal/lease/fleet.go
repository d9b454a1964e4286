package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// Fleet is an immutable list of the entry hosts that are alive, prepared once
// for the pools of all services. Its zero value has no hosts.
type Fleet struct {
	// hosts are ordered by name.
	hosts []candidate
}

// candidate is a host with the hash of its name.
type candidate struct {
	Host
	hash uint64
}

// NewFleet returns the fleet of some hosts in any order.
func NewFleet(hosts []Host) *Fleet {
	f := &Fleet{hosts: make([]candidate, 0, len(hosts))}
	for _, h := range hosts {
		f.hosts = append(f.hosts, candidate{Host: h, hash: xxhash.Sum64String(string(h.Name))})
	}
	slices.SortFunc(f.hosts, func(a, b candidate) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

// Equal reports whether the other fleet, which may be nil, has the same hosts.
func (f *Fleet) Equal(other *Fleet) bool {
	return other != nil && slices.Equal(f.hosts, other.hosts)
}

// change is the difference between two fleets.
type change struct {
	added   []candidate
	removed map[mustardramp.HostName]bool
}

// since returns what changed from an older fleet.
func (f *Fleet) since(older *Fleet) change {
	c := change{removed: map[mustardramp.HostName]bool{}}
	old, hosts := older.hosts, f.hosts
	for len(old) > 0 || len(hosts) > 0 {
		switch {
		case len(hosts) == 0 || len(old) > 0 && old[0].Name < hosts[0].Name:
			c.removed[old[0].Name] = true
			old = old[1:]
		case len(old) == 0 || hosts[0].Name < old[0].Name:
			c.added = append(c.added, hosts[0])
			hosts = hosts[1:]
		default:
			if old[0].Place != hosts[0].Place {
				c.removed[old[0].Name] = true
				c.added = append(c.added, hosts[0])
			}
			old, hosts = old[1:], hosts[1:]
		}
	}
	return c
}
