// Package queue holds requests that wait for a slot. The most valuable rank
// goes first, each rank keeps a guaranteed share of the slot time in a flood of
// the others, and callers inside a rank take turns. The package is pure: it
// reads no clock and starts nothing.
package queue

import (
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Terms are the settings of one rank.
type Terms struct {
	// Share is the share of the slot time that the rank gets in any flood of
	// the others. The shares of all ranks sum to at most 100.
	Share mustardramp.Percent
	// Patience is how long the rank's next request waits before the rank
	// claims its share. Until then more valuable work goes first, so that a
	// rank that is served anyway delays nobody.
	Patience time.Duration
	// Capacity is the most requests that wait; 0 means DefaultCapacity.
	Capacity int
}

// DefaultCapacity is the number of requests of one rank that may wait.
const DefaultCapacity = 256

// leastCost stands in for a cost that is not known yet.
const leastCost = time.Millisecond

// Costs are the slot times that a request of each rank uses.
type Costs [mustardramp.RankCount]time.Duration

// burst is the number of requests whose share a rank saves up while it has
// none that wait.
const burst = 4

// Item is one waiting request.
type Item[T any] struct {
	Value  T
	Rank   mustardramp.Rank
	Caller mustardramp.CallerName
	// Added is when the request came.
	Added time.Time
	// Expiry is the last time at which a start is of use.
	Expiry time.Time

	line *line[T]
	bill Bill
}

// Bill is what one served request was charged for its slot time. Its zero
// value is a request that never waited.
type Bill struct {
	rank  mustardramp.Rank
	price time.Duration
	// paid is true when the rank was owed slot time and paid with it.
	paid bool
}

// Bill returns the bill of an item that Next returned.
func (i *Item[T]) Bill() Bill {
	return i.bill
}

// line holds the requests of one caller, oldest first.
type line[T any] struct {
	caller mustardramp.CallerName
	items  []*Item[T]
}

// lane holds the requests of one rank.
type lane[T any] struct {
	terms Terms
	// share is the share that is kept: that of the terms, raised.
	share mustardramp.Percent
	lines map[mustardramp.CallerName]*line[T]
	// turns lists the lines that are not empty, the next to serve first.
	turns []*line[T]
	len   int
	// credit is the slot time that the rank is owed.
	credit time.Duration
	// cost is the slot time of one request of the rank, as last stated.
	cost time.Duration
}

// Queue holds the waiting requests of one service. Its zero value works, with
// no guaranteed shares. It is not safe for concurrent use.
type Queue[T any] struct {
	lanes [mustardramp.RankCount]lane[T]
	// Drop is called for each item that Next finds expired.
	Drop func(*Item[T])
}

// margin raises the shares, to make up for the time in which slots are idle
// between two requests.
const margin = 1.1

// Configure replaces the settings. Waiting requests stay.
func (q *Queue[T]) Configure(terms [mustardramp.RankCount]Terms) {
	var sum mustardramp.Percent
	for r := range terms {
		sum += terms[r].Share
	}
	raise := margin
	if sum*margin > 100 {
		raise = max(1, float64(100/sum))
	}
	for r := range q.lanes {
		q.lanes[r].terms = terms[r]
		q.lanes[r].share = terms[r].Share * mustardramp.Percent(raise)
	}
}

// Push adds an item. When its rank is full, the caller with the most waiting
// requests gives up its newest, which may be the item itself; the one that does
// not wait any more is returned.
func (q *Queue[T]) Push(item *Item[T]) (evicted *Item[T]) {
	l := &q.lanes[item.Rank]
	l.push(item)
	if l.len <= l.capacity() {
		return nil
	}
	longest := l.longest(item.line)
	evicted = longest.items[len(longest.items)-1]
	l.remove(evicted)
	return evicted
}

// Remove takes an item out, and reports whether it was still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.line == nil {
		return false
	}
	q.lanes[item.Rank].remove(item)
	return true
}

// Len returns the number of waiting requests of a rank.
func (q *Queue[T]) Len(rank mustardramp.Rank) int {
	return q.lanes[rank].len
}

// Waiting returns the number of waiting requests of a caller in a rank.
func (q *Queue[T]) Waiting(rank mustardramp.Rank, caller mustardramp.CallerName) int {
	if ln := q.lanes[rank].lines[caller]; ln != nil {
		return len(ln.items)
	}
	return 0
}

// Ahead returns the number of requests of a rank that are served before a new
// one of a caller: its own, and one of each other caller for each turn. For a
// caller that waits already it may be too high by one turn of the others.
func (q *Queue[T]) Ahead(rank mustardramp.Rank, caller mustardramp.CallerName) int {
	own := q.Waiting(rank, caller)
	ahead := own
	for _, ln := range q.lanes[rank].turns {
		if ln.caller != caller {
			ahead += min(len(ln.items), own+1)
		}
	}
	return ahead
}

// Callers returns the number of callers that wait in a rank.
func (q *Queue[T]) Callers(rank mustardramp.Rank) int {
	return len(q.lanes[rank].turns)
}

// Total returns the number of waiting requests.
func (q *Queue[T]) Total() int {
	sum := 0
	for r := range q.lanes {
		sum += q.lanes[r].len
	}
	return sum
}

// Next takes out the item to serve next, or returns nil. It offers items to
// place in order until place takes one.
func (q *Queue[T]) Next(now time.Time, costs Costs, place func(*Item[T]) bool) *Item[T] {
	order, n := q.order(now)
	for _, rank := range order[:n] {
		l := &q.lanes[rank]
		item := l.take(now, place, q.Drop)
		if item != nil {
			item.bill = q.charge(rank, costs)
			return item
		}
	}
	return nil
}

// order lists the ranks that have waiting requests: first those that claim slot
// time, then the others by value.
func (q *Queue[T]) order(now time.Time) (order [mustardramp.RankCount]mustardramp.Rank, n int) {
	var claims [mustardramp.RankCount]bool
	for r := range q.lanes {
		claims[r] = q.lanes[r].claims(now)
	}
	for _, claiming := range []bool{true, false} {
		for _, r := range mustardramp.Ranks() {
			if q.lanes[r].len > 0 && claims[r] == claiming {
				order[n] = r
				n++
			}
		}
	}
	return order, n
}

// charge books the expected slot time of one served request: each rank earns
// its share, and the served rank pays if it was owed any. A rank that is not
// owed any pays nothing: what it got was free, and it must not start a flood in
// debt.
func (q *Queue[T]) charge(served mustardramp.Rank, costs Costs) Bill {
	for r := range q.lanes {
		q.lanes[r].cost = max(costs[r], leastCost)
	}
	bill := Bill{rank: served, price: q.lanes[served].cost, paid: q.lanes[served].owed()}
	q.book(bill, bill.price)
	return bill
}

// Settle corrects the bill of a request by the slot time that it used. Without
// it, a rank whose mean cost is overestimated would be served too rarely to
// correct the mean.
func (q *Queue[T]) Settle(bill Bill, used time.Duration) {
	if bill.price == 0 {
		return
	}
	q.book(bill, used-bill.price)
}

// book moves slot time between the ranks' credits. A credit stays within a
// burst on either side of 0, so that neither a quiet time nor one long request
// decides for long.
func (q *Queue[T]) book(bill Bill, amount time.Duration) {
	for r := range q.lanes {
		l := &q.lanes[r]
		bound := burst * max(l.cost, bill.price)
		if bill.paid && mustardramp.Rank(r) == bill.rank {
			l.credit -= amount
		}
		l.credit += time.Duration(l.share.Of(float64(amount)))
		l.credit = max(-bound, min(l.credit, bound))
	}
}

// owed reports whether the rank has not used up what its share brought it. A
// rank is at most one request short of its share.
func (l *lane[T]) owed() bool {
	return l.credit > 0
}

// claims reports whether the rank is owed slot time and has waited for it.
func (l *lane[T]) claims(now time.Time) bool {
	if l.len == 0 || !l.owed() {
		return false
	}
	next := l.turns[0].items[0]
	return now.Sub(next.Added) >= l.terms.Patience
}

func (l *lane[T]) capacity() int {
	if l.terms.Capacity > 0 {
		return l.terms.Capacity
	}
	return DefaultCapacity
}

func (l *lane[T]) push(item *Item[T]) {
	ln := l.lines[item.Caller]
	if ln == nil {
		ln = &line[T]{caller: item.Caller}
		if l.lines == nil {
			l.lines = map[mustardramp.CallerName]*line[T]{}
		}
		l.lines[item.Caller] = ln
		l.turns = append(l.turns, ln)
	}
	item.line = ln
	ln.items = append(ln.items, item)
	l.len++
}

// longest returns the line with the most items; a tie goes against the
// newcomer's line.
func (l *lane[T]) longest(newcomer *line[T]) *line[T] {
	longest := newcomer
	for _, ln := range l.turns {
		if len(ln.items) > len(longest.items) {
			longest = ln
		}
	}
	return longest
}

func (l *lane[T]) remove(item *Item[T]) {
	ln := item.line
	i := slices.Index(ln.items, item)
	ln.items = slices.Delete(ln.items, i, i+1)
	item.line = nil
	l.len--
	if len(ln.items) > 0 {
		return
	}
	delete(l.lines, ln.caller)
	t := slices.Index(l.turns, ln)
	l.turns = slices.Delete(l.turns, t, t+1)
}

// Imminent is the time before its expiry in which an item overtakes the turns.
// It answers short deadlines among long ones in a burst: those that can wait do.
const Imminent = 400 * time.Millisecond

// hurry moves the line whose oldest item expires first, and soon, to the front.
func (l *lane[T]) hurry(now time.Time) {
	first := -1
	for i, ln := range l.turns {
		expiry := ln.items[0].Expiry
		if expiry.Sub(now) > Imminent || now.After(expiry) {
			continue
		}
		if first < 0 || expiry.Before(l.turns[first].items[0].Expiry) {
			first = i
		}
	}
	if first <= 0 {
		return
	}
	ln := l.turns[first]
	l.turns = slices.Insert(slices.Delete(l.turns, first, first+1), 0, ln)
}

// take offers the oldest item of each caller in turn, but first one that would
// else expire.
func (l *lane[T]) take(now time.Time, place func(*Item[T]) bool, drop func(*Item[T])) *Item[T] {
	l.hurry(now)
	for i := 0; i < len(l.turns); {
		ln := l.turns[i]
		item := ln.items[0]
		if now.After(item.Expiry) {
			l.remove(item)
			if drop != nil {
				drop(item)
			}
			continue
		}
		if !place(item) {
			i++
			continue
		}
		l.remove(item)
		l.pass(ln)
		return item
	}
	return nil
}

// pass moves a line to the end of the turns.
func (l *lane[T]) pass(ln *line[T]) {
	t := slices.Index(l.turns, ln)
	if t < 0 {
		return
	}
	l.turns = slices.Delete(l.turns, t, t+1)
	l.turns = append(l.turns, ln)
}
