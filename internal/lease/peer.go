package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
)

// errDown ends the asks at a keeper that does not answer.
var errDown = errors.New("the keeper does not answer")

// downTime is how long a keeper that did not answer is not asked.
const downTime = time.Second

// peer is what this host knows of one keeper.
type peer struct {
	name mustardramp.HostName

	mu sync.Mutex
	// until is when the peer may be asked again.
	until time.Time
	// held are the asks and leases at the peer.
	held map[Number]context.CancelCauseFunc
	// waiting counts the asks by rank that are not answered yet; each is at
	// most maxAsks.
	waiting [mustardramp.RankCount]int
	// returns wait to be sent.
	returns []Return
	// sending is true while a report is under way.
	sending bool
}

// open reports whether the peer may be asked.
func (p *peer) open(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.until)
}

// begin notes an ask, unless too many wait already.
func (p *peer) begin(n Number, rank mustardramp.Rank, most int, cancel context.CancelCauseFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[rank] >= most {
		return false
	}
	p.waiting[rank]++
	if p.held == nil {
		p.held = map[Number]context.CancelCauseFunc{}
	}
	p.held[n] = cancel
	return true
}

// answered notes that an ask does not wait any more.
func (p *peer) answered(rank mustardramp.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[rank]--
}

// end notes the end of an ask or a lease, and reports whether the caller must
// send the returns.
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

// drop forgets an ask that was answered with a denial.
func (p *peer) drop(n Number) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, n)
}

// next returns the returns to send, or false when there are none and the
// sender may stop.
func (p *peer) next() ([]Return, bool) {
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

// inUse returns the asks and leases at the peer.
func (p *peer) inUse() []Number {
	p.mu.Lock()
	defer p.mu.Unlock()
	numbers := make([]Number, 0, len(p.held))
	for n := range p.held {
		numbers = append(numbers, n)
	}
	return numbers
}

// fail marks the peer as down and ends the asks that wait there. Leases that
// were granted stay in use.
func (p *peer) fail(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = now.Add(downTime)
	for _, cancel := range p.held {
		cancel(errDown)
	}
}
