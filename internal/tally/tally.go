// Package tally keeps histograms of requests by service, rank and caller.
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
	// DefaultLimit is the class limit of a Tally whose Limit is not set.
	DefaultLimit = 512
	// Overflow is the caller name of the overflow classes, which count the requests
	// that exceed the class limit.
	Overflow mustardramp.CallerName = "(other)"
	// classIdleTimeout is the time without requests after which a class may be
	// removed for another caller.
	classIdleTimeout = 10 * time.Minute
	// sweepInterval is the minimum time between two sweeps for idle classes.
	sweepInterval = 10 * time.Second
	// reservoirSize and decayFactor configure the exponentially decaying sample of
	// each histogram, which favors the last minutes.
	reservoirSize = 256
	decayFactor   = 0.015
)

// Key identifies a class of requests.
type Key struct {
	Service mustardramp.ServiceName
	Rank    mustardramp.Rank
	Caller  mustardramp.CallerName
}

// Tally measures requests by class. Its zero value is ready to use. It is safe for
// concurrent use.
type Tally struct {
	// Limit is the number of classes from which a new key is counted in the overflow
	// class of its service and rank. The overflow classes count towards the limit
	// but are added beyond it. Zero means DefaultLimit.
	Limit int
	// Clock defaults to the system clock.
	Clock mustardramp.Clock

	// classes points to an immutable map, which is replaced when a class is added.
	classes atomic.Pointer[map[Key]*class]
	// sweptAt is the time of the last sweep, in Unix nanoseconds.
	sweptAt atomic.Int64
	mu      sync.Mutex
}

// class measures the requests of one key.
type class struct {
	latency metrics.Histogram
	wait    metrics.Histogram
	size    metrics.Histogram
	refused [mustardramp.KindCount]atomic.Int64
	// usedAt is the time of the last request, in Unix nanoseconds.
	usedAt atomic.Int64
}

var _ entry.RequestRecorder = (*Tally)(nil)

// Count adds one request to its class.
func (t *Tally) Count(m entry.RequestStats) {
	now := t.now()
	c := t.class(Key{Service: m.Service, Rank: m.Rank, Caller: m.Caller}, now)
	c.usedAt.Store(now.UnixNano())
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

// class returns the class of the key, or the overflow class when the limit is
// reached.
func (t *Tally) class(key Key, now time.Time) *class {
	classes := t.load()
	if c, ok := classes[key]; ok {
		return c
	}
	overflow := key
	overflow.Caller = Overflow
	if c, ok := classes[overflow]; ok && t.isFull(classes) && !t.isSweepDue(now) {
		return c
	}
	return t.add(key, overflow, now)
}

// add returns the class of the key, which it creates unless another goroutine did.
// When the limit is reached it removes idle classes first, and falls back to the
// overflow class.
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
	if t.isFull(classes) {
		t.sweptAt.Store(now.UnixNano())
		maps.DeleteFunc(classes, func(k Key, c *class) bool { return k.Caller != Overflow && isIdle(c, now) })
	}
	if t.isFull(classes) {
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
	c := &class{latency: newHistogram(), wait: newHistogram(), size: newHistogram()}
	c.usedAt.Store(now.UnixNano())
	return c
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor))
}

// isFull reports whether the class limit is reached.
func (t *Tally) isFull(classes map[Key]*class) bool {
	limit := t.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return len(classes) >= limit
}

// isSweepDue reports whether sweepInterval has passed since the last sweep.
func (t *Tally) isSweepDue(now time.Time) bool {
	return now.UnixNano()-t.sweptAt.Load() > int64(sweepInterval)
}

// isIdle reports whether the class has had no requests for classIdleTimeout.
func isIdle(c *class, now time.Time) bool {
	return now.UnixNano()-c.usedAt.Load() > int64(classIdleTimeout)
}
