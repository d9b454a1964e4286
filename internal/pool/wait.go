package pool

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultWait is the longest time in the queue if the contract sets none.
	DefaultWait = time.Second
	// intervalSmoothing is the weight of a new interval in the moving mean.
	intervalSmoothing = 0.02
	// minIntervalSamples is the number of intervals before the mean is used.
	minIntervalSamples = 8
)

// departureInterval measures the time between two tickets served from the queue
// while the queue is never empty.
type departureInterval struct {
	interval time.Duration
	last     time.Time
	samples  int
}

// observe records a ticket that was served at now and had arrived at added.
func (d *departureInterval) observe(now, added time.Time) {
	// A ticket that arrived after the previous one was served did not wait
	// behind it, so the interval does not show the service rate.
	idle := d.last.IsZero() || added.After(d.last)
	interval := now.Sub(d.last)
	d.last = now
	if idle {
		return
	}
	if d.samples == 0 {
		d.interval = interval
	}
	d.samples++
	d.interval += time.Duration(intervalSmoothing * float64(interval-d.interval))
}

// mean returns the mean interval, or 0 if it is not known yet.
func (d *departureInterval) mean() time.Duration {
	if d.samples < minIntervalSamples {
		return 0
	}
	return d.interval
}

// expiry returns the latest time at which starting the request is useful: the
// end of the rank's longest wait, or the deadline less the expected slot time
// if that is sooner.
func (c *Core) expiry(now time.Time, demand *mustardramp.Demand) time.Time {
	wait := c.terms.Load().Ranks[demand.Rank].Wait
	if wait <= 0 {
		wait = DefaultWait
	}
	end := now.Add(wait)
	if demand.Deadline.IsZero() {
		return end
	}
	remaining := demand.Deadline.Sub(now)
	// At most half of the remaining time is reserved for the work. A mean that
	// was learned during an outage must not refuse all requests for good.
	work := min(time.Duration(c.meanSlotTimes[demand.Rank].Load()), remaining/2)
	latestStart := demand.Deadline.Add(-work)
	if latestStart.Before(end) {
		return latestStart
	}
	return end
}

// onTimeWorkFactor is the multiple of the mean slot time that is reserved for the work
// of a request that is to meet its target. Half of the requests take longer than the
// mean, few of them longer than this.
const onTimeWorkFactor = 1.5

// latestOnTimeStart returns the latest start that lets the demand meet its target, or
// zero if it has none.
func (c *Core) latestOnTimeStart(demand *mustardramp.Demand) time.Time {
	if demand.Target.IsZero() {
		return time.Time{}
	}
	work := onTimeWorkFactor * float64(c.meanSlotTimes[demand.Rank].Load())
	return demand.Target.Add(-time.Duration(work))
}

// ExpectedWait returns the estimated time in which the queue of a rank would empty,
// or 0 if it is unknown. A request of a typical caller waits for about this
// time.
func (c *Core) ExpectedWait(rank mustardramp.Rank) time.Duration {
	if c.queued.Load() == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeToServe(rank, c.queue.Len(rank))
}

// estimateWait returns the shortest time that a new request must wait behind
// the queued ones, or 0 if it is unknown.
func (c *Core) estimateWait(rank mustardramp.Rank, caller mustardramp.CallerName) time.Duration {
	return c.timeToServe(rank, c.queue.Ahead(rank, caller))
}

// timeToServe returns the time to serve a number of requests of a rank: after
// all those of higher ranks, or by the rank's own share if that is sooner.
func (c *Core) timeToServe(rank mustardramp.Rank, ahead int) time.Duration {
	interval := c.slotInterval()
	higher := 0
	for r := mustardramp.Rank(0); r < rank; r++ {
		higher += c.queue.Len(r)
	}
	afterHigher := time.Duration(ahead+higher) * interval
	share := c.terms.Load().Ranks[rank].Share
	if share <= 0 {
		return afterHigher
	}
	byOwnShare := time.Duration(float64(ahead) * float64(interval) / share.Of(1))
	return min(afterHigher, byOwnShare)
}

// slotInterval returns the mean time between two slots becoming free, or 0 if
// it is unknown.
func (c *Core) slotInterval() time.Duration {
	if interval := c.departures.mean(); interval > 0 {
		return interval
	}
	t := c.view.Load().usage()
	if t.limit == 0 {
		return 0
	}
	return t.latency / time.Duration(t.limit)
}
