package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/internal/retry"
)

// lessor grants and tracks the leases of one group.
type lessor struct {
	group GroupID
	pool  *pool.Pool
	// window limits retries while pooled is set.
	window retry.Window
	// pooled is true while one retry budget holds for the whole fleet.
	pooled atomic.Bool
	// exhaustedLoggedAt is when an exhausted retry budget was last logged, in Unix
	// nanoseconds.
	exhaustedLoggedAt atomic.Int64
	// freeSlots is the last statement of free slots, and freeCountedAt its time in
	// Unix nanoseconds.
	freeSlots     atomic.Int32
	freeCountedAt atomic.Int64

	mu sync.Mutex
	// leases holds the pending requests and the granted leases.
	leases map[leaseKey]*leaseEntry
}

// leaseKey identifies a request or the lease granted for it.
type leaseKey struct {
	holder Holder
	number Number
}

// leaseEntry is a pending request or a granted lease.
type leaseEntry struct {
	// slot is nil while the request waits.
	slot mustardramp.Slot
	// cancelWait ends the wait of the request.
	cancelWait context.CancelFunc
	// renewed is when the entry was created, the lease was granted, or a report of
	// the holder last listed it.
	renewed time.Time
}

func newLessor(id GroupID, p *pool.Pool) *lessor {
	return &lessor{group: id, pool: p, leases: map[leaseKey]*leaseEntry{}}
}

// grant waits for a slot and records the lease.
func (l *lessor) grant(ctx context.Context, now func() time.Time, request *Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := leaseKey{holder: request.Holder, number: request.Number}
	entry := &leaseEntry{cancelWait: cancel, renewed: now()}
	l.mu.Lock()
	l.leases[key] = entry
	l.mu.Unlock()
	slot, err := l.acquire(ctx, now(), request.demand(now()))
	if err != nil {
		l.forget(key)
		return l.denied(request, err, now())
	}
	if !l.confirm(key, entry, slot, now()) {
		slot.Release(mustardramp.ResultAbandoned, 0)
		return Response{}, context.Canceled
	}
	return Response{Backend: slot.Backend(), Wait: l.pool.ExpectedWait(request.Rank), Free: l.free(now())}, nil
}

// freeInterval is the time for which a statement of free slots is repeated. Counting
// them takes about 1 us, and the hosts take the mean over seconds.
const freeInterval = 50 * time.Millisecond

// free returns the statement of the group's free slots.
func (l *lessor) free(now time.Time) *int32 {
	last := l.freeCountedAt.Load()
	if now.UnixNano()-last >= int64(freeInterval) && l.freeCountedAt.CompareAndSwap(last, now.UnixNano()) {
		l.freeSlots.Store(int32(l.pool.Room().Free))
	}
	free := l.freeSlots.Load()
	return &free
}

// acquire waits for a slot. It denies a retry that exceeds the service's retry
// budget.
func (l *lessor) acquire(ctx context.Context, now time.Time, demand mustardramp.Demand) (mustardramp.Slot, error) {
	if !l.pooled.Load() {
		return l.pool.Acquire(ctx, demand)
	}
	if !demand.IsFurtherAttempt {
		if !demand.AlreadyCounted {
			l.window.CountRequest(now)
		}
		return l.pool.Acquire(ctx, demand)
	}
	if usage, ok := l.window.Allow(now); !ok {
		l.logExhausted(now, usage)
		return nil, &mustardramp.Denial{
			Kind:       mustardramp.KindPressure,
			Reason:     "The service has had as many further attempts as it may in ten seconds.",
			RetryAfter: time.Second,
		}
	}
	slot, err := l.pool.Acquire(ctx, demand)
	if err != nil {
		l.window.Return(now)
	}
	return slot, err
}

// exhaustedLogInterval is the minimum time between two log lines about the
// exhausted retry budget of a group.
const exhaustedLogInterval = time.Second

// logExhausted logs that a retry was denied, at most once per
// exhaustedLogInterval.
func (l *lessor) logExhausted(now time.Time, usage retry.WindowUsage) {
	last := l.exhaustedLoggedAt.Load()
	if now.UnixNano()-last < int64(exhaustedLogInterval) || !l.exhaustedLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	klog.InfoS("retry-budget-exhausted", "service", l.pool.Service(), "region", l.group.Region, "part", l.group.Part,
		"requests", usage.Requests, "retries", usage.Retries, "allowed", usage.Allowed)
}

// denied returns the response for a denial, or the error when err is not a denial.
func (l *lessor) denied(request *Request, err error, now time.Time) (Response, error) {
	denial, ok := err.(*mustardramp.Denial)
	if !ok {
		return Response{}, err
	}
	return Response{Denial: denial, Wait: l.pool.ExpectedWait(request.Rank), Free: l.free(now)}, nil
}

// confirm turns a pending request into a lease. It reports false when the request
// was withdrawn in the meantime.
func (l *lessor) confirm(key leaseKey, entry *leaseEntry, slot mustardramp.Slot, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases[key] != entry {
		return false
	}
	entry.slot, entry.renewed = slot, now
	return true
}

func (l *lessor) forget(key leaseKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.leases, key)
}

// pop removes and returns an entry, and reports whether it was present.
func (l *lessor) pop(key leaseKey) (*leaseEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.leases[key]
	delete(l.leases, key)
	return entry, ok
}

// end releases a lease or withdraws a pending request.
func (l *lessor) end(holder Holder, r Return) {
	entry, ok := l.pop(leaseKey{holder: holder, number: r.Number})
	if !ok {
		return
	}
	if entry.slot == nil {
		entry.cancelWait()
		return
	}
	entry.slot.Note(mustardramp.Notice{Leaving: r.Leaving})
	entry.slot.Release(r.Result, r.Latency)
}

// renew extends the leases that a holder still uses.
func (l *lessor) renew(holder Holder, held []Number, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range held {
		if entry, ok := l.leases[leaseKey{holder: holder, number: n}]; ok {
			entry.renewed = now
		}
	}
}

// expire ends the requests and leases that no report has listed for Term.
func (l *lessor) expire(now time.Time) {
	for _, entry := range l.removeExpired(now) {
		if entry.slot == nil {
			entry.cancelWait()
			continue
		}
		entry.slot.Release(mustardramp.ResultAbandoned, 0)
	}
}

// removeExpired removes and returns the entries that were not renewed for Term.
func (l *lessor) removeExpired(now time.Time) []*leaseEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []*leaseEntry
	for key, entry := range l.leases {
		if now.Sub(entry.renewed) < Term {
			continue
		}
		delete(l.leases, key)
		expired = append(expired, entry)
	}
	return expired
}

// demand returns the demand that the request describes, with times relative to
// now.
func (r *Request) demand(now time.Time) mustardramp.Demand {
	d := mustardramp.Demand{
		Rank: r.Rank, Caller: r.Caller, Idempotent: r.Idempotent, Tried: r.Tried, Size: r.Size, Place: r.Place,
		IsFurtherAttempt: r.IsFurtherAttempt, RequireHealthy: r.RequireHealthy, AlreadyCounted: r.AlreadyCounted,
	}
	if r.TimeToTarget > 0 {
		d.Target = now.Add(r.TimeToTarget)
	}
	if r.TimeToDeadline > 0 {
		d.Deadline = now.Add(r.TimeToDeadline)
	}
	return d
}
