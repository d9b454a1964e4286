package pool

import "math"

// Room is what a pool states about its load.
type Room struct {
	// Free is the number of free slots at the backends that requests accept without
	// waiting, less the number of waiting requests.
	Free int
	// Imbalance is the standard deviation of the utilization of these backends.
	Imbalance float64
}

// Room returns the room of the pool.
func (p *Pool) Room() Room {
	return p.core.room(p.clock.Now().UnixNano())
}

func (c *Core) room(at int64) Room {
	free, sum, squares, n := 0.0, 0.0, 0.0, 0.0
	for _, tier := range c.view.Load().tiers {
		for _, m := range tier {
			if !m.isAvailable(at) || !m.isRiskBelow(at, initialRiskLimit) {
				continue
			}
			// Leases beyond the slots, which make up for message delays, are no
			// additional room.
			used := min(1, float64(m.inFlight.Load())/float64(m.maxInFlight()))
			free += (1 - used) * float64(m.ceiling)
			sum, squares, n = sum+used, squares+used*used, n+1
		}
	}
	room := Room{Free: int(math.Round(free)) - int(c.queued.Load())}
	if n > 0 {
		room.Imbalance = math.Sqrt(max(0, squares/n-sum/n*sum/n))
	}
	return room
}
