package entry

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// goldenRatioStep is the fractional part of the golden ratio, scaled to 64 bits.
// Its multiples fill the range more evenly than random numbers do.
const goldenRatioStep = 0x9e3779b97f4a7c15

// splitter chooses among the services of routes that split their traffic. The
// shares match the weights even over few requests, and when many hosts see a
// few requests each. The zero value is ready to use.
type splitter struct {
	// counters holds the number of requests by route name.
	counters sync.Map
}

// chooseService returns the service for the route's next request. Hosts start
// at different positions of the sequence.
func (s *splitter) chooseService(host mustardramp.HostName, route *contract.Route) mustardramp.ServiceName {
	parts := route.Parts
	if len(parts) == 1 {
		return parts[0].Service
	}
	counter, ok := s.counters.Load(route.Name)
	if !ok {
		counter, _ = s.counters.LoadOrStore(route.Name, new(atomic.Uint64))
	}
	n := counter.(*atomic.Uint64).Add(1)
	start := xxhash.Sum64String(string(host) + "\x00" + route.Name)
	return serviceAt(parts, float64(start+n*goldenRatioStep)/math.MaxUint64)
}

// serviceAt returns the service at a position between 0 and 1 in the sum of the
// weights.
func serviceAt(parts []contract.Part, position float64) mustardramp.ServiceName {
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	remaining := position * sum
	last := parts[0].Service
	for _, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if remaining < p.Weight {
			break
		}
		remaining -= p.Weight
	}
	return last
}
