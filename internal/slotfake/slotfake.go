// Package slotfake simulates backends with slots and a clock, so that tests can
// measure decisions without waiting. It has no network: a test adds constant
// delays with Clock.After.
package slotfake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock runs events in the order of their time. The zero value is ready to use
// and starts epochSeconds after the zero time of Unix. It implements
// mustardramp.Clock.
type Clock struct {
	now    time.Duration
	serial uint64
	events events
}

type event struct {
	at time.Duration
	// serial keeps events of equal time in the order in which they were added.
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// epochSeconds is the Unix time, in seconds, at which a clock starts. It keeps
// the times of a clock away from the zero time.
const epochSeconds = 1_000_000

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	return time.Unix(epochSeconds, 0).Add(c.now)
}

// Elapsed returns the time since the clock's start.
func (c *Clock) Elapsed() time.Duration {
	return c.now
}

// After schedules fn to run when d has passed.
func (c *Clock) After(d time.Duration, fn func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + max(0, d), serial: c.serial, run: fn})
}

// Run runs all events that are due until the given time since the clock's start,
// and moves the clock to that time.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = max(c.now, until)
}

// Backend serves requests in slots, holds a limited number of further requests
// in a queue and sheds the rest.
type Backend struct {
	Clock *Clock
	// Slots is the number of requests served at the same time; at least 1.
	Slots int
	// Queue is the number of accepted requests that may wait for a slot.
	Queue int
	// Slowness multiplies the time of each request; 0 means 1.
	Slowness float64
	// Dead makes each request fail at once.
	Dead bool

	busy        int
	waiting     []job
	slotTime    time.Duration
	shedCount   int
	servedCount int
}

type job struct {
	work time.Duration
	done func(Answer)
}

// Answer is the result of a request.
type Answer uint8

// The results of a request.
const (
	// Served means that the work was done.
	Served Answer = iota
	// Shed means that slots and queue were full and nothing was done.
	Shed
	// Failed means that the backend is dead.
	Failed
)

// Serve accepts a request that takes the given time of work. It calls done when
// the request is served, shed or failed.
func (b *Backend) Serve(work time.Duration, done func(Answer)) {
	if b.Dead {
		done(Failed)
		return
	}
	if b.Slowness > 0 {
		work = time.Duration(float64(work) * b.Slowness)
	}
	if b.busy < b.Slots {
		b.start(job{work: work, done: done})
		return
	}
	if len(b.waiting) < b.Queue {
		b.waiting = append(b.waiting, job{work: work, done: done})
		return
	}
	b.shedCount++
	done(Shed)
}

func (b *Backend) start(j job) {
	b.busy++
	b.Clock.After(j.work, func() {
		b.busy--
		b.slotTime += j.work
		b.servedCount++
		if len(b.waiting) > 0 {
			first := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.start(first)
		}
		j.done(Served)
	})
}

// Busy returns the number of slots in use.
func (b *Backend) Busy() int {
	return b.busy
}

// Used returns the sum of the slot times of all served requests.
func (b *Backend) Used() time.Duration {
	return b.slotTime
}

// Sheds returns the number of shed requests.
func (b *Backend) Sheds() int {
	return b.shedCount
}

// ServedCount returns the number of served requests.
func (b *Backend) ServedCount() int {
	return b.servedCount
}

// Source generates random arrivals and work times from a seed.
type Source struct {
	rand *rand.Rand
}

// NewSource returns a source. Equal seeds give equal sequences.
func NewSource(seed uint64) *Source {
	return &Source{rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Exponential returns an exponentially distributed duration with the given mean.
func (s *Source) Exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

// Intn returns a number from 0 to below n.
func (s *Source) Intn(n int) int {
	return s.rand.IntN(n)
}

// Float returns a number from 0 to below 1.
func (s *Source) Float() float64 {
	return s.rand.Float64()
}

// Poisson calls fn at the arrivals of a Poisson process with the given mean rate
// per second. The times from and until count from the clock's start.
func (s *Source) Poisson(clock *Clock, rate float64, from, until time.Duration, fn func()) {
	if rate <= 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / rate)
	var arrive func()
	arrive = func() {
		if clock.Elapsed() >= until {
			return
		}
		fn()
		clock.After(s.Exponential(mean), arrive)
	}
	clock.After(from-clock.Elapsed()+s.Exponential(mean), arrive)
}
