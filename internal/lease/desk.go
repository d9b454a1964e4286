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

// desk grants leases of one group.
type desk struct {
	group GroupID
	pool  *pool.Pool
	// window bounds further attempts while pooled is set.
	window retry.Window
	pooled atomic.Bool
	// spentLogged is when the log was last told of a further attempt too many, in
	// Unix nanoseconds.
	spentLogged atomic.Int64

	mu sync.Mutex
	// leases holds the asks that wait and the leases that are out.
	leases map[holding]*issued
}

// holding names an ask or its lease.
type holding struct {
	holder Holder
	number Number
}

// issued is one ask or its lease.
type issued struct {
	// slot is nil while the ask waits.
	slot mustardramp.Slot
	// withdraw ends the wait.
	withdraw context.CancelFunc
	// listed is when the holder was last heard to use it.
	listed time.Time
}

func newDesk(id GroupID, p *pool.Pool) *desk {
	return &desk{group: id, pool: p, leases: map[holding]*issued{}}
}

// grant waits for a slot and books the lease.
func (d *desk) grant(ctx context.Context, now func() time.Time, ask *Ask) (Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := holding{holder: ask.Holder, number: ask.Number}
	entry := &issued{withdraw: cancel, listed: now()}
	d.mu.Lock()
	d.leases[key] = entry
	d.mu.Unlock()
	slot, err := d.acquire(ctx, now(), ask.demand(now()))
	if err != nil {
		d.forget(key)
		return d.denied(ask, err)
	}
	if !d.book(key, entry, slot, now()) {
		slot.Release(mustardramp.ResultAbandoned, 0)
		return Grant{}, context.Canceled
	}
	return Grant{Backend: slot.Backend(), Wait: d.pool.Pressure(ask.Rank)}, nil
}

// acquire waits for a slot, unless the attempt is one too many for the service.
func (d *desk) acquire(ctx context.Context, now time.Time, demand mustardramp.Demand) (mustardramp.Slot, error) {
	if !d.pooled.Load() {
		return d.pool.Acquire(ctx, demand)
	}
	if !demand.Repeat {
		if !demand.Counted {
			d.window.Fresh(now)
		}
		return d.pool.Acquire(ctx, demand)
	}
	if account, ok := d.window.Allow(now); !ok {
		d.logSpent(now, account)
		return nil, &mustardramp.Denial{
			Kind:       mustardramp.KindPressure,
			Reason:     "The service has had as many further attempts as it may in ten seconds.",
			RetryAfter: time.Second,
		}
	}
	slot, err := d.pool.Acquire(ctx, demand)
	if err != nil {
		d.window.Return(now)
	}
	return slot, err
}

// spentLogPause is the least time between two lines on a desk's spent budget.
const spentLogPause = time.Second

// logSpent notes that a further attempt was one too many.
func (d *desk) logSpent(now time.Time, a retry.Account) {
	last := d.spentLogged.Load()
	if now.UnixNano()-last < int64(spentLogPause) || !d.spentLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	klog.InfoS("further-attempts-spent", "service", d.pool.Service(), "region", d.group.Region, "part", d.group.Part,
		"fresh", a.Fresh, "repeats", a.Repeats, "most", a.Most)
}

func (d *desk) denied(ask *Ask, err error) (Grant, error) {
	denial, ok := err.(*mustardramp.Denial)
	if !ok {
		return Grant{}, err
	}
	return Grant{Denial: denial, Wait: d.pool.Pressure(ask.Rank)}, nil
}

// book turns an ask into a lease, unless it was withdrawn meanwhile.
func (d *desk) book(key holding, entry *issued, slot mustardramp.Slot, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases[key] != entry {
		return false
	}
	entry.slot, entry.listed = slot, now
	return true
}

func (d *desk) forget(key holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.leases, key)
}

// take removes an entry, and reports whether it was there.
func (d *desk) take(key holding) (*issued, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.leases[key]
	delete(d.leases, key)
	return entry, ok
}

// end finishes a lease or withdraws an ask.
func (d *desk) end(holder Holder, r Return) {
	entry, ok := d.take(holding{holder: holder, number: r.Number})
	if !ok {
		return
	}
	if entry.slot == nil {
		entry.withdraw()
		return
	}
	entry.slot.Release(r.Result, r.Latency)
}

// list notes that a holder still uses its leases.
func (d *desk) list(holder Holder, held []Number, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range held {
		if entry, ok := d.leases[holding{holder: holder, number: n}]; ok {
			entry.listed = now
		}
	}
}

// sweep ends the leases that no report has listed for Term.
func (d *desk) sweep(now time.Time) {
	for _, entry := range d.stale(now) {
		if entry.slot == nil {
			entry.withdraw()
			continue
		}
		entry.slot.Release(mustardramp.ResultAbandoned, 0)
	}
}

func (d *desk) stale(now time.Time) []*issued {
	d.mu.Lock()
	defer d.mu.Unlock()
	var stale []*issued
	for key, entry := range d.leases {
		if now.Sub(entry.listed) < Term {
			continue
		}
		delete(d.leases, key)
		stale = append(stale, entry)
	}
	return stale
}

func (a *Ask) demand(now time.Time) mustardramp.Demand {
	d := mustardramp.Demand{
		Rank: a.Rank, Caller: a.Caller, Idempotent: a.Idempotent, Tried: a.Tried, Size: a.Size, Place: a.Place,
		Repeat: a.Repeat, Wary: a.Wary, Counted: a.Counted,
	}
	if a.Soon > 0 {
		d.Target = now.Add(a.Soon)
	}
	if a.Left > 0 {
		d.Deadline = now.Add(a.Left)
	}
	return d
}
