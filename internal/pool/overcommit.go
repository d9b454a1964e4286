package pool

import (
	"sync/atomic"
	"time"
)

// maxOvercommit is the highest number of leases that a keeper grants per slot of
// a backend. Backends queue a few requests beside those that they work on.
const maxOvercommit = 2.0

// leaseOverhead measures how much longer a lease lasts than the work that it is
// for. While the messages that grant and end a lease are delayed on busy links,
// the slot itself is free, and a keeper that counts it as taken leaves much of
// the service idle. Its zero value has no measurements.
type leaseOverhead struct {
	// leaseTime and workTime are moving means in nanoseconds.
	leaseTime, workTime atomic.Int64
}

// observe records a lease that ended with a good answer.
func (o *leaseOverhead) observe(leaseTime, workTime time.Duration) {
	if workTime <= 0 {
		return
	}
	updateMean(&o.leaseTime, max(leaseTime, workTime))
	updateMean(&o.workTime, workTime)
}

// overcommit returns the number of leases that keep one slot in use, at least
// 1.
func (o *leaseOverhead) overcommit() float64 {
	workTime := o.workTime.Load()
	if workTime == 0 {
		return 1
	}
	return max(1, min(float64(o.leaseTime.Load())/float64(workTime), maxOvercommit))
}
