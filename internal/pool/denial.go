package pool

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/queue"
)

// defaultRetryAfter is the time after which a caller may try again if there is
// no better estimate.
const defaultRetryAfter = time.Second

// checkBackends denies a demand that no backend may take, however short the
// queue is.
func (c *Core) checkBackends(now time.Time, demand *mustardramp.Demand, mode reserveMode) *mustardramp.Denial {
	v := c.view.Load()
	if v.counts.usable == 0 {
		if isEligibleForTrial(v, demand) {
			return nil
		}
		return c.noBackendDenial(v)
	}
	remaining := 0
	crossRegion := 0
	for d, tier := range v.tiers {
		for _, m := range tier {
			if m.isLeaving() || slices.Contains(demand.Tried, m.backend.ID) {
				continue
			}
			remaining++
			if mustardramp.Distance(d) == mustardramp.AcrossRegions {
				crossRegion++
			}
		}
	}
	if remaining == 0 {
		return c.allTriedDenial(v, demand)
	}
	if demand.RequireHealthy && !c.hasAcceptableBackend(now, v, demand) {
		return c.allUnhealthyDenial(v)
	}
	if remaining == crossRegion && !c.allowCrossing(demand, 0, now, mode) {
		return c.linkFullDenial(demand)
	}
	return nil
}

func isEligibleForTrial(v *view, demand *mustardramp.Demand) bool {
	return len(v.trials) > 0 && demand.Idempotent && demand.Rank == mustardramp.Bulk && len(demand.Tried) == 0
}

func (c *Core) noBackendDenial(v *view) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind: mustardramp.KindNoBackend,
		Reason: fmt.Sprintf("None of the %d known backends of the service may take work now.",
			v.counts.known),
		Facts: []mustardramp.Fact{
			countFact("known", v.counts.known),
			countFact("ejected", v.counts.ejected),
			countFact("avoided", v.counts.avoided),
			countFact("starting", v.counts.starting),
			countFact("leaving", v.counts.leaving),
		},
		RetryAfter: defaultRetryAfter,
	}
}

func (c *Core) allUnhealthyDenial(v *view) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindNoBackend,
		Reason:     "Every usable backend that was not tried yet is likely to be ill.",
		Facts:      []mustardramp.Fact{countFact("usable", v.counts.usable)},
		RetryAfter: defaultRetryAfter,
	}
}

func (c *Core) allTriedDenial(v *view, demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindNoBackend,
		Reason: "Every usable backend was tried already or is leaving.",
		Facts: []mustardramp.Fact{
			countFact("usable", v.counts.usable),
			countFact("tried", len(demand.Tried)),
		},
		RetryAfter: defaultRetryAfter,
	}
}

func (c *Core) linkFullDenial(demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind: mustardramp.KindLink,
		Reason: fmt.Sprintf("The only backends left are in another region, and rank %s has used its share of the link to it.",
			demand.Rank),
		Facts:      []mustardramp.Fact{{Name: "rank", Value: demand.Rank.String()}},
		RetryAfter: defaultRetryAfter,
	}
}

// checkDeadline denies a demand whose deadline has passed on arrival.
func (c *Core) checkDeadline(now time.Time, demand *mustardramp.Demand) *mustardramp.Denial {
	if demand.Deadline.IsZero() || now.Before(demand.Deadline) {
		return nil
	}
	return &mustardramp.Denial{
		Kind:   mustardramp.KindDeadline,
		Reason: "The deadline passed before the request reached the queue.",
		Facts:  []mustardramp.Fact{{Name: "deadline", Value: formatTime(demand.Deadline)}},
	}
}

// expediteWithin is the time to its expiry within which a request is not denied
// for the length of the queue before it.
const expediteWithin = 2 * queue.ExpediteWithin

// checkWait denies a ticket that cannot start in time behind the waiting ones.
func (c *Core) checkWait(now time.Time, t *Ticket) *mustardramp.Denial {
	wait := c.estimateWait(t.item.Rank, t.item.Caller)
	if t.item.Expiry.Sub(now) <= expediteWithin {
		// The queue expedites the ticket before it expires.
		wait = min(wait, c.slotInterval())
	}
	if !now.Add(wait).After(t.item.Expiry) {
		return nil
	}
	remaining := t.item.Expiry.Sub(now)
	return &mustardramp.Denial{
		Kind: mustardramp.KindDeadline,
		Reason: fmt.Sprintf("The request would wait %s for a slot, and only a start within %s is of use.",
			formatDuration(wait), formatDuration(remaining)),
		Facts:      append(c.queueFacts(t), mustardramp.Fact{Name: "estimate", Value: formatDuration(wait)}),
		RetryAfter: max(defaultRetryAfter, wait-remaining),
	}
}

// expiredDenial denies a ticket that waited until its expiry.
func (c *Core) expiredDenial(t *Ticket, now time.Time) *mustardramp.Denial {
	waited := now.Sub(t.item.Added)
	return &mustardramp.Denial{
		Kind:       mustardramp.KindDeadline,
		Reason:     fmt.Sprintf("No slot came free for rank %s within %s.", t.item.Rank, formatDuration(waited)),
		Facts:      append(c.queueFacts(t), mustardramp.Fact{Name: "waited", Value: formatDuration(waited)}),
		RetryAfter: defaultRetryAfter,
	}
}

// queueFullDenial denies a ticket for which the queue of its rank has no place.
func (c *Core) queueFullDenial(t *Ticket) *mustardramp.Denial {
	rank := t.item.Rank
	held := c.queue.Waiting(rank, t.item.Caller)
	callers := c.queue.CallerCount(rank)
	facts := append(c.queueFacts(t), countFact("held", held), countFact("callers", callers))
	if callers > 1 {
		return &mustardramp.Denial{
			Kind: mustardramp.KindCallerShare,
			Reason: fmt.Sprintf("The queue of rank %s is full, and the caller holds %d of its %d places, the most of %d callers.",
				rank, held, c.queue.Len(rank), callers),
			Facts:      facts,
			RetryAfter: defaultRetryAfter,
		}
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindQueueFull,
		Reason:     fmt.Sprintf("The queue of rank %s holds %d requests and is full.", rank, c.queue.Len(rank)),
		Facts:      facts,
		RetryAfter: defaultRetryAfter,
	}
}

// queueFacts returns the facts that all denials from the queue share.
func (c *Core) queueFacts(t *Ticket) []mustardramp.Fact {
	usage := c.view.Load().usage()
	terms := c.terms.Load().Ranks[t.item.Rank]
	facts := []mustardramp.Fact{
		{Name: "rank", Value: t.item.Rank.String()},
		countFact("limit", usage.limit),
		countFact("in-flight", usage.inFlight),
		countFact("queued", c.queue.Len(t.item.Rank)),
		countFact("queued-all", c.queue.Total()),
		{Name: "share", Value: strconv.FormatFloat(float64(terms.Share), 'f', -1, 64) + "%"},
	}
	if !t.demand.Deadline.IsZero() {
		facts = append(facts, mustardramp.Fact{Name: "deadline", Value: formatTime(t.demand.Deadline)})
	}
	return facts
}

func countFact(name string, n int) mustardramp.Fact {
	return mustardramp.Fact{Name: name, Value: strconv.Itoa(n)}
}

func formatTime(t time.Time) string {
	return t.UTC().Format(time.RFC3339Nano)
}

func formatDuration(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
