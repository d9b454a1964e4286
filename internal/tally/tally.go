// Package tally measures requests by service, rank and caller.
package tally

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/entry"
)

const (
	// DefaultLimit is the number of classes of a Tally that sets no other.
	DefaultLimit = 512
	// Overflow is the caller's name in the classes that take what exceeds the
	// limit.
	Overflow mustardramp.CallerName = "(other)"
	// idleTime is after how long a class gives its place to another caller.
	idleTime = 10 * time.Minute
	// sweepPause is the shortest time between two looks for idle classes.
	sweepPause = 10 * time.Second
	// reservoir and decay describe the sample behind each histogram, which
	// leans towards the last minutes.
	reservoir = 256
	decay     = 0.015
)

// Key names a class of requests.
type Key struct {
	Service mustardramp.ServiceName
	Rank    mustardramp.Rank
	Caller  mustardramp.CallerName
}

// Tally counts requests. Its zero value works.
type Tally struct {
	// Limit bounds the classes, but for one overflow class for each service
	// and rank; zero stands for DefaultLimit.
	Limit int
	// Clock is the machine's when it is nil.
	Clock mustardramp.Clock

	// classes is replaced when a class is added, never changed.
	classes atomic.Pointer[map[Key]*class]
	// swept is when idle classes were looked for last, in nanoseconds.
	swept atomic.Int64
	mu    sync.Mutex
}

// class measures the requests of one key.
type class struct {
	latency metrics.Histogram
	wait    metrics.Histogram
	size    metrics.Histogram
	refused [mustardramp.KindCount]atomic.Int64
	// used is when the class was used last, in nanoseconds of Unix time.
	used atomic.Int64
}

var _ entry.Tally = (*Tally)(nil)

// Count takes in one request.
func (t *Tally) Count(m entry.Measure) {
	now := t.now()
	c := t.class(Key{Service: m.Service, Rank: m.Rank, Caller: m.Caller}, now)
	c.used.Store(now.UnixNano())
	if m.Refused != mustardramp.KindUnknown && m.Refused < mustardramp.KindCount {
		c.refused[m.Refused].Add(1)
	}
	c.latency.Update(int64(m.Latency))
	c.wait.Update(int64(m.Wait))
	c.size.Update(int64(m.Size))
}

func (t *Tally) now() time.Time {
	if t.Clock == nil {
		return time.Now()
	}
	return t.Clock.Now()
}

func (t *Tally) load() map[Key]*class {
	if m := t.classes.Load(); m != nil {
		return *m
	}
	return nil
}

// class returns the key's class, or the overflow class when there is no room.
func (t *Tally) class(key Key, now time.Time) *class {
	classes := t.load()
	if c, ok := classes[key]; ok {
		return c
	}
	overflow := key
	overflow.Caller = Overflow
	if c, ok := classes[overflow]; ok && t.full(classes) && !t.sweepDue(now) {
		return c
	}
	return t.add(key, overflow, now)
}

// add makes a class under the lock.
func (t *Tally) add(key, overflow Key, now time.Time) *class {
	t.mu.Lock()
	defer t.mu.Unlock()
	classes := maps.Clone(t.load())
	if classes == nil {
		classes = map[Key]*class{}
	}
	if c, ok := classes[key]; ok {
		return c
	}
	if t.full(classes) {
		t.swept.Store(now.UnixNano())
		maps.DeleteFunc(classes, func(k Key, c *class) bool { return k.Caller != Overflow && idle(c, now) })
	}
	if t.full(classes) {
		key = overflow
	}
	c, ok := classes[key]
	if !ok {
		c = newClass(now)
		classes[key] = c
	}
	t.classes.Store(&classes)
	return c
}

func newClass(now time.Time) *class {
	c := &class{latency: histogram(), wait: histogram(), size: histogram()}
	c.used.Store(now.UnixNano())
	return c
}

func histogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
}

func (t *Tally) full(classes map[Key]*class) bool {
	limit := t.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return len(classes) >= limit
}

// sweepDue reports whether idle classes may be looked for again.
func (t *Tally) sweepDue(now time.Time) bool {
	return now.UnixNano()-t.swept.Load() > int64(sweepPause)
}

func idle(c *class, now time.Time) bool {
	return now.UnixNano()-c.used.Load() > int64(idleTime)
}
