package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// fleet is an immutable list of the live entry hosts with the electorate.
type fleet struct {
	live       []hashedHost
	electorate *electorate
	// liveNames and knownNames are the lists that the fleet was made of.
	liveNames, knownNames []mustardramp.HostName
}

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	name mustardramp.HostName
	hash uint64
}

func newFleet(live, known []mustardramp.HostName) *fleet {
	f := &fleet{electorate: newElectorate(known), liveNames: slices.Clone(live), knownNames: slices.Clone(known)}
	for _, name := range live {
		f.live = append(f.live, hashedHost{name, xxhash.Sum64String(string(name))})
	}
	slices.SortFunc(f.live, func(a, b hashedHost) int { return cmp.Compare(a.name, b.name) })
	return f
}

// isOf reports whether the fleet was made of these lists.
func (f *fleet) isOf(live, known []mustardramp.HostName) bool {
	return slices.Equal(f.liveNames, live) && slices.Equal(f.knownNames, known)
}

// order returns the live hosts in the rendezvous order of a workspace.
func (f *fleet) order(w mustardramp.WorkspaceName) []mustardramp.HostName {
	seed := xxhash.Sum64String(string(w))
	sorted := slices.Clone(f.live)
	slices.SortFunc(sorted, func(a, b hashedHost) int {
		return cmp.Or(cmp.Compare(mix(b.hash^seed), mix(a.hash^seed)), cmp.Compare(a.name, b.name))
	})
	names := make([]mustardramp.HostName, len(sorted))
	for i := range sorted {
		names[i] = sorted[i].name
	}
	return names
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
