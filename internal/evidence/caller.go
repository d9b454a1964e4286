package evidence

import (
	"math/bits"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// callerSlots is the size of the table of callers; it is a power of 2.
	// Callers that share a slot are judged as one.
	callerSlots = 1024
	// callerSpread is the fewest backends at which a caller's work must fail
	// before the caller is blamed.
	callerSpread = 3
)

// caller holds the backends at which one caller's work succeeded and failed
// since the last refresh.
type caller struct {
	good atomic.Uint64
	bad  atomic.Uint64
	// blamed callers fail at most backends: their failures are no evidence.
	blamed atomic.Bool
}

// callers is a table of callers by hash.
type callers [callerSlots]caller

// slot returns the entry of a caller of the service with the given seed.
func (c *callers) slot(seed uint64, name mustardramp.CallerName) *caller {
	hash := xxhash.Sum64String(string(name)) ^ seed
	return &c[hash&(callerSlots-1)]
}

func (c *caller) record(bit uint64, failed bool) {
	set := &c.good
	if failed {
		set = &c.bad
	}
	if set.Load()&bit == 0 {
		set.Or(bit)
	}
}

// refresh blames or clears the callers and starts a new span.
func (c *callers) refresh() {
	for i := range c {
		c[i].refresh()
	}
}

func (c *caller) refresh() {
	bad := c.bad.Swap(0)
	good := c.good.Swap(0)
	if bad|good == 0 {
		return
	}
	failing := bits.OnesCount64(bad)
	touched := bits.OnesCount64(bad | good)
	blamed := failing >= callerSpread && failing*2 > touched
	if blamed != c.blamed.Load() {
		c.blamed.Store(blamed)
	}
}
