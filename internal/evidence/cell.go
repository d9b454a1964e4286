package evidence

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

// stripes is the number of copies of a counter; it is a power of 2. Several
// copies keep cores from contending for one cache line.
const stripes = 4

const cacheLine = 64

// Handle names a backend within its service in few bytes.
type Handle uint32

// HandleOf returns the handle of a backend.
func HandleOf(id mustardramp.BackendID) Handle {
	return Handle(xxhash.Sum64String(string(id)))
}

// cell counts the outcomes at one backend.
type cell struct {
	id     mustardramp.BackendID
	handle Handle
	// distance is how far the backend is from this host.
	distance mustardramp.Distance
	// bit stands for the backend in the sets of a caller.
	bit uint64

	stripe  [stripes]stripe
	flights [mustardramp.RankCount]flight
	// leaving is the dispatch time, in Unix nanoseconds, of the newest attempt
	// to which the backend answered that it is leaving, or 0.
	leaving atomic.Int64
	// good and bad are the times of the last whole answer and of the last
	// failure, in Unix nanoseconds.
	good atomic.Int64
	bad  atomic.Int64
}

type stripe struct {
	done   atomic.Uint64
	failed atomic.Uint64
	slow   atomic.Uint64
	_      [cacheLine - 24]byte
}

func newCell(id mustardramp.BackendID, distance mustardramp.Distance) *cell {
	hash := xxhash.Sum64String(string(id))
	return &cell{
		id:       id,
		handle:   Handle(hash),
		distance: distance,
		bit:      1 << (hash >> 58),
	}
}

func (c *cell) pick() *stripe {
	return &c.stripe[rand.Uint32()&(stripes-1)]
}

// counts sums the stripes.
func (c *cell) counts() Counts {
	var sum Counts
	for i := range c.stripe {
		// A failure is counted after its attempt, so it is read before.
		sum.Failed += c.stripe[i].failed.Load()
		sum.Slow += c.stripe[i].slow.Load()
		sum.Done += c.stripe[i].done.Load()
	}
	return sum
}

// stamp moves a time forward, in steps that keep the writes rare.
func stamp(at *atomic.Int64, now time.Time) {
	next := now.UnixNano()
	if next-at.Load() > int64(stampStep) {
		at.Store(next)
	}
}

// stampStep is the resolution of the times of the last outcomes.
const stampStep = 50 * time.Millisecond
