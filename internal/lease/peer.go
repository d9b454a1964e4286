package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
)

// errKeeperDown cancels the requests that wait at a keeper that does not answer.
var errKeeperDown = errors.New("the keeper does not answer")

// keeperBackoff is how long a keeper that did not answer gets no requests.
const keeperBackoff = time.Second

// peer is the state that this host holds about one keeper.
type peer struct {
	name mustardramp.HostName

	mu sync.Mutex
	// retryAt is when requests may be sent to the peer again.
	retryAt time.Time
	// held maps the requests and leases at the peer to their cancel functions.
	held map[Number]context.CancelCauseFunc
	// waiting counts the unanswered requests by rank, each at most
	// maxWaitingRequests.
	waiting [mustardramp.RankCount]int
	// returns are queued for the next report.
	returns []Return
	// sending is true while a goroutine sends the returns.
	sending bool
}

// isAvailable reports whether requests may be sent to the peer.
func (p *peer) isAvailable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.retryAt)
}

// begin records a request. It reports false when limit requests of the rank wait
// already.
func (p *peer) begin(n Number, rank mustardramp.Rank, limit int, cancel context.CancelCauseFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isFull(rank, limit) {
		return false
	}
	p.waiting[rank]++
	if p.held == nil {
		p.held = map[Number]context.CancelCauseFunc{}
	}
	p.held[n] = cancel
	return true
}

// isFull reports whether limit requests of the rank wait already. The caller holds
// p.mu.
func (p *peer) isFull(rank mustardramp.Rank, limit int) bool {
	return p.waiting[rank] >= limit
}

// endWait records that a request of the rank no longer waits.
func (p *peer) endWait(rank mustardramp.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[rank]--
}

// end queues the return of a request or a lease, and reports whether the caller
// must send the queued returns.
func (p *peer) end(r Return) (send bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, r.Number)
	p.returns = append(p.returns, r)
	if p.sending {
		return false
	}
	p.sending = true
	return true
}

// forget removes a request that was denied.
func (p *peer) forget(n Number) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, n)
}

// nextReturns takes the queued returns. It reports false when there are none and
// the sender must stop.
func (p *peer) nextReturns() ([]Return, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.returns) == 0 {
		p.sending = false
		return nil, false
	}
	returns := p.returns
	p.returns = nil
	return returns, true
}

// heldNumbers returns the numbers of the requests and leases at the peer.
func (p *peer) heldNumbers() []Number {
	p.mu.Lock()
	defer p.mu.Unlock()
	numbers := make([]Number, 0, len(p.held))
	for n := range p.held {
		numbers = append(numbers, n)
	}
	return numbers
}

// markDown marks the peer as down and cancels the requests that wait there.
// Granted leases stay in use.
func (p *peer) markDown(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAt = now.Add(keeperBackoff)
	for _, cancel := range p.held {
		cancel(errKeeperDown)
	}
}
