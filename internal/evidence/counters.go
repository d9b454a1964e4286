package evidence

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// stripeCount is the number of copies of a counter; it must be a power of 2.
// Several copies keep cores from contending for one cache line.
const stripeCount = 4

const cacheLineBytes = 64

// Handle identifies a backend within its service in four bytes.
type Handle uint32

// HandleOf returns the handle of a backend.
func HandleOf(id mustardramp.BackendID) Handle {
	return Handle(xxhash.Sum64String(string(id)))
}

// backendCounters counts the outcomes at one backend.
type backendCounters struct {
	id     mustardramp.BackendID
	handle Handle
	// distance is the distance of the backend from this host.
	distance mustardramp.Distance
	// bit represents the backend in the sets of a caller.
	bit uint64

	stripes  [stripeCount]stripe
	inFlight [mustardramp.RankCount]inFlightCounter
	// leavingDispatch is the dispatch time, in Unix nanoseconds, of the newest
	// attempt to which the backend answered that it is leaving, or 0.
	leavingDispatch atomic.Int64
	// lastSuccess and lastFailure are the times of the last complete answer and
	// of the last failure, in Unix nanoseconds, or 0.
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
}

// stripe is one copy of a backend's counters, padded to a cache line.
type stripe struct {
	done   atomic.Uint64
	failed atomic.Uint64
	slow   atomic.Uint64
	_      [cacheLineBytes - 24]byte
}

func newBackendCounters(id mustardramp.BackendID, distance mustardramp.Distance) *backendCounters {
	hash := xxhash.Sum64String(string(id))
	return &backendCounters{
		id:       id,
		handle:   Handle(hash),
		distance: distance,
		bit:      1 << (hash >> 58),
	}
}

func (c *backendCounters) randomStripe() *stripe {
	return &c.stripes[rand.Uint32()&(stripeCount-1)]
}

// counts returns the sum of the stripes.
func (c *backendCounters) counts() Counts {
	var sum Counts
	for i := range c.stripes {
		// Writers count a failure after its attempt, so it is read before it:
		// no reading has more failures than attempts.
		sum.Failed += c.stripes[i].failed.Load()
		sum.Slow += c.stripes[i].slow.Load()
		sum.Done += c.stripes[i].done.Load()
	}
	return sum
}

// advanceTimestamp moves a time forward, in steps of timestampResolution so that
// writes are rare.
func advanceTimestamp(at *atomic.Int64, now time.Time) {
	next := now.UnixNano()
	if next-at.Load() > int64(timestampResolution) {
		at.Store(next)
	}
}

// timestampResolution is the resolution of the times of the last outcomes.
const timestampResolution = 50 * time.Millisecond
