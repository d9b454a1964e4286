package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// counts are what one service has under way at this host, by rank.
type counts struct {
	ranks [mustardramp.RankCount]rankCounts
}

type rankCounts struct {
	queued   atomic.Int64
	inFlight atomic.Int64
	served   atomic.Int64
	refused  atomic.Int64
}

// countedPool counts what passes through a pool.
type countedPool struct {
	mustardramp.Pool
	counts *counts
}

// Acquire implements mustardramp.Pool.
func (p *countedPool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	c := &p.counts.ranks[demand.Rank]
	c.queued.Add(1)
	slot, err := p.Pool.Acquire(ctx, demand)
	c.queued.Add(-1)
	if err != nil {
		c.refused.Add(1)
		return nil, err
	}
	c.inFlight.Add(1)
	return &countedSlot{Slot: slot, counts: c}, nil
}

type countedSlot struct {
	mustardramp.Slot
	counts *rankCounts
}

// Release implements mustardramp.Slot.
func (s *countedSlot) Release(result mustardramp.Result, latency time.Duration) {
	s.counts.inFlight.Add(-1)
	s.counts.served.Add(1)
	s.Slot.Release(result, latency)
}
