package entry

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// goldenStep is the fraction of the golden ratio in 64 bits: multiples of it
// fill the range more evenly than random numbers do.
const goldenStep = 0x9e3779b97f4a7c15

// splits chooses among the services of split routes so that the shares hold
// over few requests, also when many hosts see a few each. Its zero value works.
type splits struct {
	// turns holds the number of requests by route name.
	turns sync.Map
}

// choose returns the service of the route's next request. Hosts start at
// different places of the sequence.
func (s *splits) choose(host mustardramp.HostName, route *contract.Route) mustardramp.ServiceName {
	parts := route.Parts
	if len(parts) == 1 {
		return parts[0].Service
	}
	turn, ok := s.turns.Load(route.Name)
	if !ok {
		turn, _ = s.turns.LoadOrStore(route.Name, new(atomic.Uint64))
	}
	n := turn.(*atomic.Uint64).Add(1)
	start := xxhash.Sum64String(string(host) + "\x00" + route.Name)
	return partAt(parts, float64(start+n*goldenStep)/math.MaxUint64)
}

// partAt returns the service at a place between 0 and 1 of the weights' sum.
func partAt(parts []contract.Part, place float64) mustardramp.ServiceName {
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	at := place * sum
	last := parts[0].Service
	for _, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if at < p.Weight {
			break
		}
		at -= p.Weight
	}
	return last
}
