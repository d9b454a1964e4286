package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
)

// errGroupWithdrawn cancels the requests that wait at a group of which no backend
// takes requests of this host any more.
var errGroupWithdrawn = errors.New("no backend of the group takes requests of this host")

// waitingRequests holds the requests that wait for a slot by group. The zero value
// is empty.
type waitingRequests struct {
	mu      sync.Mutex
	byGroup map[GroupID]map[*waitingRequest]bool
}

// waitingRequest is one request that waits.
type waitingRequest struct {
	cancel context.CancelCauseFunc
}

func (w *waitingRequests) add(id GroupID, r *waitingRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byGroup == nil {
		w.byGroup = map[GroupID]map[*waitingRequest]bool{}
	}
	if w.byGroup[id] == nil {
		w.byGroup[id] = map[*waitingRequest]bool{}
	}
	w.byGroup[id][r] = true
}

func (w *waitingRequests) remove(id GroupID, r *waitingRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byGroup[id], r)
}

// cancelGroup cancels the requests that wait at a group.
func (w *waitingRequests) cancelGroup(id GroupID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.byGroup[id] {
		r.cancel(errGroupWithdrawn)
	}
}

// acquireUnlessWithdrawn acquires a slot of a group. It gives up waiting when no
// backend of the group takes requests of this host any more.
func (p *Pool) acquireUnlessWithdrawn(ctx context.Context, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &waitingRequest{cancel: cancel}
	p.waiting.add(g.id, r)
	defer p.waiting.remove(g.id, r)
	slot, err := p.acquireFrom(ctx, g, demand)
	if err != nil && errors.Is(context.Cause(ctx), errGroupWithdrawn) {
		return nil, &mustardramp.Denial{
			Kind:       mustardramp.KindNoBackend,
			Reason:     "The backends of the group take no more requests of this host.",
			RetryAfter: time.Second,
		}
	}
	return slot, err
}
