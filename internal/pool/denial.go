package pool

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/queue"
)

// comeBack is when a caller may try again after a denial that has no better
// estimate.
const comeBack = time.Second

// hopeless denies a demand that no backend may take, whatever the load.
func (c *Core) hopeless(now time.Time, demand *mustardramp.Demand) *mustardramp.Denial {
	v := c.view.Load()
	if v.counts.usable == 0 {
		if fitsTrial(v, demand) {
			return nil
		}
		return c.noBackend(v)
	}
	left := 0
	far := 0
	for d, tier := range v.tiers {
		for _, m := range tier {
			if m.left.Load() == uint64(m.backend.Incarnation)+1 || slices.Contains(demand.Tried, m.backend.ID) {
				continue
			}
			left++
			if mustardramp.Distance(d) == mustardramp.AcrossRegions {
				far++
			}
		}
	}
	if left == 0 {
		return c.exhausted(v, demand)
	}
	if demand.Wary && !c.hasHope(now, v, demand) {
		return c.allIll(v)
	}
	if left == far && c.link != nil && !c.link.Allow(demand.Rank, 0, now) {
		return c.linkFull(demand)
	}
	return nil
}

func fitsTrial(v *view, demand *mustardramp.Demand) bool {
	return len(v.trials) > 0 && demand.Idempotent && demand.Rank == mustardramp.Bulk && len(demand.Tried) == 0
}

func (c *Core) noBackend(v *view) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind: mustardramp.KindNoBackend,
		Reason: fmt.Sprintf("None of the %d known backends of the service may take work now.",
			v.counts.known),
		Facts: []mustardramp.Fact{
			count("known", v.counts.known),
			count("ejected", v.counts.ejected),
			count("avoided", v.counts.avoided),
			count("starting", v.counts.starting),
			count("leaving", v.counts.leaving),
		},
		RetryAfter: comeBack,
	}
}

func (c *Core) allIll(v *view) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindNoBackend,
		Reason:     "Every usable backend that was not tried yet is likely to be ill.",
		Facts:      []mustardramp.Fact{count("usable", v.counts.usable)},
		RetryAfter: comeBack,
	}
}

func (c *Core) exhausted(v *view, demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindNoBackend,
		Reason: "Every usable backend was tried already or is leaving.",
		Facts: []mustardramp.Fact{
			count("usable", v.counts.usable),
			count("tried", len(demand.Tried)),
		},
		RetryAfter: comeBack,
	}
}

func (c *Core) linkFull(demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind: mustardramp.KindLink,
		Reason: fmt.Sprintf("The only backends left are in another region, and rank %s has used its share of the link to it.",
			demand.Rank),
		Facts:      []mustardramp.Fact{{Name: "rank", Value: demand.Rank.String()}},
		RetryAfter: comeBack,
	}
}

// past denies a demand whose deadline has passed on arrival.
func (c *Core) past(demand mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindDeadline,
		Reason: "The deadline passed before the request reached the queue.",
		Facts:  []mustardramp.Fact{{Name: "deadline", Value: stamp(demand.Deadline)}},
	}
}

// hurried is the time to its expiry from which a request is not measured by the
// queue before it.
const hurried = 2 * queue.Imminent

// tooLate denies a ticket that cannot start in time behind those that wait.
func (c *Core) tooLate(now time.Time, t *Ticket) *mustardramp.Denial {
	wait := c.estimate(t.item.Rank, t.item.Caller)
	if t.item.Expiry.Sub(now) <= hurried {
		// It overtakes the others before it expires.
		wait = min(wait, c.gap())
	}
	if !now.Add(wait).After(t.item.Expiry) {
		return nil
	}
	left := t.item.Expiry.Sub(now)
	return &mustardramp.Denial{
		Kind: mustardramp.KindDeadline,
		Reason: fmt.Sprintf("The request would wait %s for a slot, and only a start within %s is of use.",
			short(wait), short(left)),
		Facts:      append(c.facts(t), mustardramp.Fact{Name: "estimate", Value: short(wait)}),
		RetryAfter: max(comeBack, wait-left),
	}
}

// late denies a ticket that waited until its expiry.
func (c *Core) late(t *Ticket, now time.Time) *mustardramp.Denial {
	waited := now.Sub(t.item.Added)
	return &mustardramp.Denial{
		Kind:       mustardramp.KindDeadline,
		Reason:     fmt.Sprintf("No slot came free for rank %s within %s.", t.item.Rank, short(waited)),
		Facts:      append(c.facts(t), mustardramp.Fact{Name: "waited", Value: short(waited)}),
		RetryAfter: comeBack,
	}
}

// full denies a ticket for which its rank's queue has no place.
func (c *Core) full(t *Ticket) *mustardramp.Denial {
	rank := t.item.Rank
	held := c.queue.Waiting(rank, t.item.Caller)
	callers := c.queue.Callers(rank)
	facts := append(c.facts(t), count("held", held), count("callers", callers))
	if callers > 1 {
		return &mustardramp.Denial{
			Kind: mustardramp.KindCallerShare,
			Reason: fmt.Sprintf("The queue of rank %s is full, and the caller holds %d of its %d places, the most of %d callers.",
				rank, held, c.queue.Len(rank), callers),
			Facts:      facts,
			RetryAfter: comeBack,
		}
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindQueueFull,
		Reason:     fmt.Sprintf("The queue of rank %s holds %d requests and is full.", rank, c.queue.Len(rank)),
		Facts:      facts,
		RetryAfter: comeBack,
	}
}

// facts are the numbers that lead to any denial from the queue.
func (c *Core) facts(t *Ticket) []mustardramp.Fact {
	tally := c.view.Load().tally()
	terms := c.terms.Load().Ranks[t.item.Rank]
	facts := []mustardramp.Fact{
		{Name: "rank", Value: t.item.Rank.String()},
		count("limit", tally.limit),
		count("in-flight", tally.inFlight),
		count("queued", c.queue.Len(t.item.Rank)),
		count("queued-all", c.queue.Total()),
		{Name: "share", Value: strconv.FormatFloat(float64(terms.Share), 'f', -1, 64) + "%"},
	}
	if !t.demand.Deadline.IsZero() {
		facts = append(facts, mustardramp.Fact{Name: "deadline", Value: stamp(t.demand.Deadline)})
	}
	return facts
}

func count(name string, n int) mustardramp.Fact {
	return mustardramp.Fact{Name: name, Value: strconv.Itoa(n)}
}

func stamp(t time.Time) string {
	return t.UTC().Format(time.RFC3339Nano)
}

func short(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
