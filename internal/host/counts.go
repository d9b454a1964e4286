package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// serviceCounts counts the requests of one service at this host by rank.
type serviceCounts struct {
	ranks [mustardramp.RankCount]rankCounts
}

// rankCounts counts the requests of one rank: those queued and in flight now, and
// those served and refused since the start.
type rankCounts struct {
	queued   atomic.Int64
	inFlight atomic.Int64
	served   atomic.Int64
	refused  atomic.Int64
}

// countingPool is a pool that counts the requests which pass through it.
type countingPool struct {
	mustardramp.Pool
	counts *serviceCounts
}

// Acquire implements mustardramp.Pool.
func (p *countingPool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	c := &p.counts.ranks[demand.Rank]
	c.queued.Add(1)
	slot, err := p.Pool.Acquire(ctx, demand)
	c.queued.Add(-1)
	if err != nil {
		c.refused.Add(1)
		return nil, err
	}
	c.inFlight.Add(1)
	return &countingSlot{Slot: slot, counts: c}, nil
}

// countingSlot is a slot that counts its release.
type countingSlot struct {
	mustardramp.Slot
	counts *rankCounts
}

// Release implements mustardramp.Slot.
func (s *countingSlot) Release(result mustardramp.Result, latency time.Duration) {
	s.counts.inFlight.Add(-1)
	s.counts.served.Add(1)
	s.Slot.Release(result, latency)
}
