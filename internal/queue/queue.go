// Package queue holds requests that wait for a slot. The most valuable rank
// goes first, each rank keeps a guaranteed share of the slot time in a flood of
// the others, and the callers in a rank take turns. The package reads no clock
// and starts no goroutines.
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
	// ClaimDelay is how long the rank's next request waits before the rank
	// claims its share. Until then more valuable work goes first, so that a
	// rank that is served anyway delays no other.
	ClaimDelay time.Duration
	// Capacity is the highest number of waiting requests; 0 means
	// DefaultCapacity.
	Capacity int
}

// DefaultCapacity is the number of requests of one rank that may wait.
const DefaultCapacity = 256

// minCost is the lowest slot time of a request. It also stands in for a cost
// that is not known yet.
const minCost = time.Millisecond

// Costs holds the expected slot time of one request by rank.
type Costs [mustardramp.RankCount]time.Duration

// maxSavedRequests is the number of requests whose slot time a rank may save up
// or owe.
const maxSavedRequests = 4

// Item is one waiting request.
type Item[T any] struct {
	Value  T
	Rank   mustardramp.Rank
	Caller mustardramp.CallerName
	// Added is when the request arrived.
	Added time.Time
	// Expiry is the latest time at which starting the request is useful.
	Expiry time.Time
	// OnTime is the latest time of a start that lets the request meet its target, or
	// zero if it has none.
	OnTime time.Time

	callerQueue *callerQueue[T]
	charge      Charge
}

// Charge is the slot time that was charged for one served request. Its zero
// value is that of a request that never waited.
type Charge struct {
	rank     mustardramp.Rank
	expected time.Duration
	// debited is true if the rank had credit and the slot time was deducted
	// from it.
	debited bool
}

// isOnTime reports whether the request meets its target if it starts now.
func (i *Item[T]) isOnTime(now time.Time) bool {
	return i.OnTime.IsZero() || !now.After(i.OnTime)
}

// Charge returns the charge of an item that Next returned.
func (i *Item[T]) Charge() Charge {
	return i.charge
}

// callerQueue holds the requests of one caller, oldest first.
type callerQueue[T any] struct {
	caller mustardramp.CallerName
	items  []*Item[T]
}

// lastingOverload is how long a queue must not have been empty for its overload to count
// as lasting, as a multiple of the wait that the target of a request allows. A burst is
// worked off sooner, and all its requests can be served, some of them late.
const lastingOverload = 4

// allowedWait returns how long the request may wait and meet its target.
func (i *Item[T]) allowedWait() time.Duration {
	return max(0, i.OnTime.Sub(i.Added))
}

// firstOnTime returns the oldest request that meets its target if it starts now, or nil.
func (cq *callerQueue[T]) firstOnTime(now time.Time) *Item[T] {
	for _, item := range cq.items {
		if item.isOnTime(now) {
			return item
		}
	}
	return nil
}

// rankQueue holds the requests of one rank.
type rankQueue[T any] struct {
	terms Terms
	// share is the guaranteed share: that of the terms, raised by shareMargin.
	share   mustardramp.Percent
	callers map[mustardramp.CallerName]*callerQueue[T]
	// rotation lists the caller queues that are not empty, the next to serve
	// first.
	rotation []*callerQueue[T]
	len      int
	// busySince is when the rank last had no waiting requests.
	busySince time.Time
	// credit is the slot time that the rank is owed.
	credit time.Duration
	// expectedTime is the slot time of one request of the rank, as last given to
	// Next.
	expectedTime time.Duration
}

// Queue holds the waiting requests of one service. Its zero value is ready to
// use and guarantees no shares. It is not safe for concurrent use.
type Queue[T any] struct {
	ranks [mustardramp.RankCount]rankQueue[T]
	// OnExpire is called for each expired item that Next removes.
	OnExpire func(*Item[T])
}

// shareMargin raises the shares to make up for the time in which slots are idle
// between two requests.
const shareMargin = 1.1

// Configure replaces the settings. Waiting requests stay.
func (q *Queue[T]) Configure(terms [mustardramp.RankCount]Terms) {
	var sum mustardramp.Percent
	for r := range terms {
		sum += terms[r].Share
	}
	factor := shareMargin
	if sum*shareMargin > 100 {
		factor = max(1, float64(100/sum))
	}
	for r := range q.ranks {
		q.ranks[r].terms = terms[r]
		q.ranks[r].share = terms[r].Share * mustardramp.Percent(factor)
	}
}

// Push adds an item. If its rank is full, the caller with the most waiting
// requests loses its newest one, which may be the item itself, or under lasting
// overload its oldest one if that has missed its target. Push returns the evicted item.
func (q *Queue[T]) Push(item *Item[T]) (evicted *Item[T]) {
	rq := &q.ranks[item.Rank]
	isFull := q.IsFull(item.Rank)
	rq.push(item)
	if !isFull {
		return nil
	}
	longest := rq.longest(item.callerQueue)
	evicted = longest.items[len(longest.items)-1]
	if oldest := longest.items[0]; !oldest.isOnTime(item.Added) && rq.isOverloadLasting(item.Added, oldest) {
		evicted = oldest
	}
	rq.remove(evicted)
	return evicted
}

// Remove removes an item and reports whether it was still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.callerQueue == nil {
		return false
	}
	q.ranks[item.Rank].remove(item)
	return true
}

// IsFull reports whether the next Push of a rank evicts an item.
func (q *Queue[T]) IsFull(rank mustardramp.Rank) bool {
	rq := &q.ranks[rank]
	return rq.len >= rq.capacity()
}

// Len returns the number of waiting requests of a rank.
func (q *Queue[T]) Len(rank mustardramp.Rank) int {
	return q.ranks[rank].len
}

// Waiting returns the number of waiting requests of a caller in a rank.
func (q *Queue[T]) Waiting(rank mustardramp.Rank, caller mustardramp.CallerName) int {
	if cq := q.ranks[rank].callers[caller]; cq != nil {
		return len(cq.items)
	}
	return 0
}

// Ahead returns the number of requests of a rank that are served before a new
// one of a caller: the caller's own, and one of each other caller in each
// round. For a caller that already waits it may be too high by one round of the
// others.
func (q *Queue[T]) Ahead(rank mustardramp.Rank, caller mustardramp.CallerName) int {
	own := q.Waiting(rank, caller)
	ahead := own
	for _, cq := range q.ranks[rank].rotation {
		if cq.caller != caller {
			ahead += min(len(cq.items), own+1)
		}
	}
	return ahead
}

// CallerCount returns the number of callers that wait in a rank.
func (q *Queue[T]) CallerCount(rank mustardramp.Rank) int {
	return len(q.ranks[rank].rotation)
}

// Total returns the number of waiting requests.
func (q *Queue[T]) Total() int {
	sum := 0
	for r := range q.ranks {
		sum += q.ranks[r].len
	}
	return sum
}

// Next removes and returns the item to serve next, or returns nil. It offers
// items to accept in order until accept returns true.
func (q *Queue[T]) Next(now time.Time, costs Costs, accept func(*Item[T]) bool) *Item[T] {
	order, n := q.order(now)
	for _, rank := range order[:n] {
		rq := &q.ranks[rank]
		item := rq.takeNext(now, accept, q.OnExpire)
		if item != nil {
			item.charge = q.applyCharge(rank, costs)
			return item
		}
	}
	return nil
}

// order lists the ranks that have waiting requests: first those that claim
// their share, then the others by value.
func (q *Queue[T]) order(now time.Time) (order [mustardramp.RankCount]mustardramp.Rank, n int) {
	var isClaiming [mustardramp.RankCount]bool
	for r := range q.ranks {
		isClaiming[r] = q.ranks[r].isClaiming(now)
	}
	for _, claiming := range []bool{true, false} {
		for _, r := range mustardramp.Ranks() {
			if q.ranks[r].len > 0 && isClaiming[r] == claiming {
				order[n] = r
				n++
			}
		}
	}
	return order, n
}

// applyCharge records the expected slot time of one served request. Each rank
// earns its share, and the served rank is debited if it has credit. A rank
// without credit is not debited, because it got time that no other rank claimed
// and must not start a flood in debt.
func (q *Queue[T]) applyCharge(served mustardramp.Rank, costs Costs) Charge {
	for r := range q.ranks {
		q.ranks[r].expectedTime = max(costs[r], minCost)
	}
	charge := Charge{rank: served, expected: q.ranks[served].expectedTime, debited: q.ranks[served].hasCredit()}
	q.addCredit(charge, charge.expected)
	return charge
}

// Settle corrects the charge of a request to the slot time that it used.
// Without it, a rank whose mean cost is overestimated would be served too
// rarely to correct the mean.
func (q *Queue[T]) Settle(charge Charge, used time.Duration) {
	if charge.expected == 0 {
		return
	}
	q.addCredit(charge, used-charge.expected)
}

// addCredit changes the credits of the ranks by an amount of slot time. A
// credit stays within maxSavedRequests on either side of 0, so that neither an
// idle period nor one long request has a lasting effect.
func (q *Queue[T]) addCredit(charge Charge, amount time.Duration) {
	for r := range q.ranks {
		rq := &q.ranks[r]
		bound := maxSavedRequests * max(rq.expectedTime, charge.expected)
		if charge.debited && mustardramp.Rank(r) == charge.rank {
			rq.credit -= amount
		}
		rq.credit += time.Duration(rq.share.Of(float64(amount)))
		rq.credit = max(-bound, min(rq.credit, bound))
	}
}

// hasCredit reports whether the rank has not used up the slot time that its
// share earned. Any credit is enough for one whole request, so that a rank is at
// most one request behind its share.
func (rq *rankQueue[T]) hasCredit() bool {
	return rq.credit > 0
}

// isClaiming reports whether the rank has credit and its next request has
// waited for the claim delay.
func (rq *rankQueue[T]) isClaiming(now time.Time) bool {
	if rq.len == 0 || !rq.hasCredit() {
		return false
	}
	next := rq.rotation[0].items[0]
	return now.Sub(next.Added) >= rq.terms.ClaimDelay
}

func (rq *rankQueue[T]) capacity() int {
	if rq.terms.Capacity > 0 {
		return rq.terms.Capacity
	}
	return DefaultCapacity
}

func (rq *rankQueue[T]) push(item *Item[T]) {
	if rq.len == 0 {
		rq.busySince = item.Added
	}
	cq := rq.callers[item.Caller]
	if cq == nil {
		cq = &callerQueue[T]{caller: item.Caller}
		if rq.callers == nil {
			rq.callers = map[mustardramp.CallerName]*callerQueue[T]{}
		}
		rq.callers[item.Caller] = cq
		rq.rotation = append(rq.rotation, cq)
	}
	item.callerQueue = cq
	cq.items = append(cq.items, item)
	rq.len++
}

// longest returns the caller queue with the most items. In a tie it returns
// newest, the queue of the item that was pushed last.
func (rq *rankQueue[T]) longest(newest *callerQueue[T]) *callerQueue[T] {
	longest := newest
	for _, cq := range rq.rotation {
		if len(cq.items) > len(longest.items) {
			longest = cq
		}
	}
	return longest
}

func (rq *rankQueue[T]) remove(item *Item[T]) {
	cq := item.callerQueue
	i := slices.Index(cq.items, item)
	cq.items = slices.Delete(cq.items, i, i+1)
	item.callerQueue = nil
	rq.len--
	if len(cq.items) > 0 {
		return
	}
	delete(rq.callers, cq.caller)
	t := slices.Index(rq.rotation, cq)
	rq.rotation = slices.Delete(rq.rotation, t, t+1)
}

// ExpediteWithin is the time before its expiry in which an item is served ahead
// of the rotation. It lets requests with short deadlines pass those that can
// wait.
const ExpediteWithin = 400 * time.Millisecond

// expedite moves the caller queue whose oldest item expires first to the front,
// if that item expires within ExpediteWithin. Under lasting overload it must not have
// missed its target.
func (rq *rankQueue[T]) expedite(now time.Time) {
	first := -1
	for i, cq := range rq.rotation {
		oldest := cq.items[0]
		if oldest.Expiry.Sub(now) > ExpediteWithin || now.After(oldest.Expiry) || !oldest.isOnTime(now) && rq.isOverloadLasting(now, oldest) {
			continue
		}
		if first < 0 || oldest.Expiry.Before(rq.rotation[first].items[0].Expiry) {
			first = i
		}
	}
	if first <= 0 {
		return
	}
	cq := rq.rotation[first]
	rq.rotation = slices.Insert(slices.Delete(rq.rotation, first, first+1), 0, cq)
}

// isOverloadLasting reports whether the rank has been overloaded for so long that
// requests that miss their target make as many later ones miss theirs.
func (rq *rankQueue[T]) isOverloadLasting(now time.Time, item *Item[T]) bool {
	return now.Sub(rq.busySince) > lastingOverload*item.allowedWait()
}

// takeNext offers the oldest item of each caller in turn, starting with one
// that is about to expire. Under lasting overload, items that have missed their target
// come after all others.
func (rq *rankQueue[T]) takeNext(now time.Time, accept func(*Item[T]) bool, onExpire func(*Item[T])) *Item[T] {
	rq.expedite(now)
	for _, cq := range rq.rotation {
		item := cq.firstOnTime(now)
		if item == nil || !rq.isOverloadLasting(now, item) || now.After(item.Expiry) || !accept(item) {
			continue
		}
		rq.remove(item)
		rq.moveToBack(cq)
		return item
	}
	for i := 0; i < len(rq.rotation); {
		cq := rq.rotation[i]
		item := cq.items[0]
		if now.After(item.Expiry) {
			rq.remove(item)
			if onExpire != nil {
				onExpire(item)
			}
			continue
		}
		if !accept(item) {
			i++
			continue
		}
		rq.remove(item)
		rq.moveToBack(cq)
		return item
	}
	return nil
}

// moveToBack moves a caller queue to the end of the rotation.
func (rq *rankQueue[T]) moveToBack(cq *callerQueue[T]) {
	t := slices.Index(rq.rotation, cq)
	if t < 0 {
		return
	}
	rq.rotation = slices.Delete(rq.rotation, t, t+1)
	rq.rotation = append(rq.rotation, cq)
}
