package evidence

import (
	"math/bits"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// callerTableSize is the number of entries in the table of callers; it must
	// be a power of 2. Callers that share an entry are treated as one.
	callerTableSize = 1024
	// minFailedBackends is the lowest number of backends at which a caller's
	// requests must fail before its failures are excluded.
	minFailedBackends = 3
)

// caller holds, as bit sets, the backends at which one caller's requests succeeded
// and failed since the last refresh.
type caller struct {
	succeeded atomic.Uint64
	failed    atomic.Uint64
	// excluded is true for a caller whose requests fail at most backends: its
	// failures say nothing about a backend.
	excluded atomic.Bool
}

// callerTable holds callers by the hash of their name.
type callerTable [callerTableSize]caller

// entry returns the entry of a caller of the service with the given seed.
func (c *callerTable) entry(seed uint64, name mustardramp.CallerName) *caller {
	hash := xxhash.Sum64String(string(name)) ^ seed
	return &c[hash&(callerTableSize-1)]
}

// record adds a backend to the set of successes or of failures. It writes only
// when the set changes.
func (c *caller) record(bit uint64, failed bool) {
	set := &c.succeeded
	if failed {
		set = &c.failed
	}
	if set.Load()&bit == 0 {
		set.Or(bit)
	}
}

// refresh updates which callers are excluded and starts new sets.
func (c *callerTable) refresh() {
	for i := range c {
		c[i].refresh()
	}
}

func (c *caller) refresh() {
	failed := c.failed.Swap(0)
	succeeded := c.succeeded.Swap(0)
	if failed|succeeded == 0 {
		return
	}
	failedCount := bits.OnesCount64(failed)
	usedCount := bits.OnesCount64(failed | succeeded)
	excluded := failedCount >= minFailedBackends && failedCount*2 > usedCount
	if excluded != c.excluded.Load() {
		c.excluded.Store(excluded)
	}
}
