package pool

import (
	"sync/atomic"
	"time"
)

// mostStretch bounds how far a keeper goes beyond a backend's slots. Backends
// queue a few requests beside those that they work on.
const mostStretch = 2.0

// transit measures how much longer a lease lasts than the work that it is for.
// It answers the load in which a keeper's messages wait on busy links: while a
// grant and the word of its end are under way, the slot itself is free, and a
// keeper that counts it as taken leaves much of the service idle. Its zero value
// knows nothing.
type transit struct {
	// lasted and worked are moving means in nanoseconds.
	lasted, worked atomic.Int64
}

// observe takes in a lease that ended well.
func (t *transit) observe(lasted, worked time.Duration) {
	if worked <= 0 {
		return
	}
	learn(&t.lasted, max(lasted, worked))
	learn(&t.worked, worked)
}

// stretch returns the number of leases that keep one slot in use: at least 1.
func (t *transit) stretch() float64 {
	worked := t.worked.Load()
	if worked == 0 {
		return 1
	}
	return max(1, min(float64(t.lasted.Load())/float64(worked), mostStretch))
}
