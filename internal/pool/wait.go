package pool

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultWait is the longest time in the queue without a contract's word.
	DefaultWait = time.Second
	// drainSmoothing is the weight of a new gap in the moving mean.
	drainSmoothing = 0.02
	// drainSamples is the number of gaps before the mean is used.
	drainSamples = 8
)

// drain measures the time between two tickets served from the queue, while
// the queue is never empty.
type drain struct {
	gap     time.Duration
	last    time.Time
	samples int
}

// served counts a ticket that was served at a time and had come at another.
func (d *drain) served(now, added time.Time) {
	// A ticket that came after the last one was served did not wait behind
	// it: the gap says nothing about the speed.
	idle := d.last.IsZero() || added.After(d.last)
	gap := now.Sub(d.last)
	d.last = now
	if idle {
		return
	}
	if d.samples == 0 {
		d.gap = gap
	}
	d.samples++
	d.gap += time.Duration(drainSmoothing * float64(gap-d.gap))
}

// mean returns the mean gap, or 0 when it is not known.
func (d *drain) mean() time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return d.gap
}

// expiry returns the last time at which a start is of use: the end of the
// rank's longest wait, or the deadline less the time that the work takes.
func (c *Core) expiry(now time.Time, demand *mustardramp.Demand) time.Time {
	wait := c.terms.Load().Ranks[demand.Rank].Wait
	if wait <= 0 {
		wait = DefaultWait
	}
	end := now.Add(wait)
	if demand.Deadline.IsZero() {
		return end
	}
	left := demand.Deadline.Sub(now)
	// At most half of the time left is set aside for the work: a mean that was
	// learned in a bad time must not shut the door for good.
	work := min(time.Duration(c.costs[demand.Rank].Load()), left/2)
	last := demand.Deadline.Add(-work)
	if last.Before(end) {
		return last
	}
	return end
}

// Pressure returns the time in which the queue of a rank would empty, as far
// as it is known: what a request of a typical caller waits.
func (c *Core) Pressure(rank mustardramp.Rank) time.Duration {
	if c.queued.Load() == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behind(rank, c.queue.Len(rank))
}

// estimate returns the least time that a new request must wait behind those
// that are there, or 0 when it is not known.
func (c *Core) estimate(rank mustardramp.Rank, caller mustardramp.CallerName) time.Duration {
	return c.behind(rank, c.queue.Ahead(rank, caller))
}

// behind returns the time to serve a number of requests of a rank: after all
// those of higher ranks, or by the rank's own share if that is sooner.
func (c *Core) behind(rank mustardramp.Rank, ahead int) time.Duration {
	gap := c.gap()
	higher := 0
	for r := mustardramp.Rank(0); r < rank; r++ {
		higher += c.queue.Len(r)
	}
	behind := time.Duration(ahead+higher) * gap
	share := c.terms.Load().Ranks[rank].Share
	if share <= 0 {
		return behind
	}
	alone := time.Duration(float64(ahead) * float64(gap) / share.Of(1))
	return min(behind, alone)
}

// gap returns the time between two free slots.
func (c *Core) gap() time.Duration {
	if gap := c.drain.mean(); gap > 0 {
		return gap
	}
	t := c.view.Load().tally()
	if t.limit == 0 {
		return 0
	}
	return t.latency / time.Duration(t.limit)
}
