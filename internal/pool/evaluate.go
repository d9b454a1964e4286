package pool

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

// Evaluation is what would happen to a demand now.
type Evaluation struct {
	// Backend is the one that the demand would get at once. It is empty if the demand
	// would wait or be denied.
	Backend mustardramp.BackendID
	// Probe is true if the backend would get the demand because it had no attempt for
	// too long.
	Probe bool
	// Denial is set if the demand would be denied.
	Denial *mustardramp.Denial
	// Wait is the approximate time for which the demand would wait. It is only valid if
	// IsWaitKnown is true.
	Wait        time.Duration
	IsWaitKnown bool
	// IsQueueFull is true if the queue has no place left, so that this request or
	// another one of its rank would be refused.
	IsQueueFull bool
}

// Evaluate returns what Acquire would do with a first attempt now. It takes no slot and
// draws no random number: it uses those that the next draws would return. While other
// requests wait, it takes the demand to wait too.
func (p *Pool) Evaluate(demand mustardramp.Demand) Evaluation {
	return p.core.evaluate(p.clock.Now(), demand)
}

// evaluate makes the decisions of Offer in the same order.
func (c *Core) evaluate(now time.Time, demand mustardramp.Demand) Evaluation {
	if denial := c.checkDeadline(now, &demand); denial != nil {
		return Evaluation{Denial: denial}
	}
	o := reserveOptions{now: now, added: now, queued: c.queued.Load(), mode: evaluateOnly}
	draw := c.draws.Load()
	if c.mayStartAtOnce(now, &demand) {
		draw++
		o.random = c.randomOf(draw)
		if chosen := c.reserve(&demand, o); chosen.member != nil {
			return Evaluation{Backend: chosen.member.backend.ID, Probe: chosen.probe}
		}
	}
	if denial := c.checkBackends(now, &demand, evaluateOnly); denial != nil {
		return Evaluation{Denial: denial}
	}
	t := c.newTicket(now, demand)
	c.mu.Lock()
	defer c.mu.Unlock()
	if denial := c.checkWait(now, t); denial != nil {
		return Evaluation{Denial: denial}
	}
	if c.queue.Total() == 0 {
		// A request that begins to wait is offered once more.
		o.random, o.queued = c.randomOf(draw+1), o.queued+1
		if chosen := c.reserve(&demand, o); chosen.member != nil {
			return Evaluation{Backend: chosen.member.backend.ID, Probe: chosen.probe}
		}
	}
	interval := c.slotInterval()
	return Evaluation{
		Wait:        c.estimateWait(demand.Rank, demand.Caller) + interval,
		IsWaitKnown: interval > 0,
		IsQueueFull: c.queue.IsFull(demand.Rank),
	}
}

// BackendLoad describes to operators what a pool knows of one backend.
type BackendLoad struct {
	Backend mustardramp.BackendID
	// InFlight is the number of attempts in flight, and Limit the number that may be.
	InFlight, Limit int
	// Risk is the probability that an attempt fails. It is only valid if HasEvidence is
	// true.
	Risk        float64
	HasEvidence bool
	// Hold is how long the backend still gets no work after it shed a request or could
	// not be reached, or 0.
	Hold time.Duration
	// Leaving is true if the backend has stated that it is leaving.
	Leaving bool
}

// Loads lists the loads of the backends, in no order.
func (p *Pool) Loads() []BackendLoad {
	at := p.clock.Now().UnixNano()
	var out []BackendLoad
	p.core.view.Load().each(func(m *member) {
		out = append(out, BackendLoad{
			Backend: m.backend.ID, InFlight: int(m.inFlight.Load()), Limit: int(m.maxInFlight()),
			Risk: m.risk(at), HasEvidence: m.estimate.hasEvidence(),
			Hold: time.Duration(max(0, m.heldUntil.Load()-at)), Leaving: m.isLeaving(),
		})
	})
	return out
}
