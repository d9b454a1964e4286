// Package slotfake is a small stand-in for backends with slots and for a
// clock, on which decision packages are measured without waiting. It knows no
// network: who uses it adds constant delays with Clock.After.
package slotfake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock runs events in the order of their time. Its zero value starts at the
// zero time of Unix. It implements mustardramp.Clock.
type Clock struct {
	now    time.Duration
	serial uint64
	events events
}

type event struct {
	at time.Duration
	// serial keeps events of equal time in the order of their making.
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

// epoch keeps clock times away from the zero time.
const epoch = 1_000_000

// Now returns the present time.
func (c *Clock) Now() time.Time {
	return time.Unix(epoch, 0).Add(c.now)
}

// Elapsed returns the time since the start.
func (c *Clock) Elapsed() time.Duration {
	return c.now
}

// After runs fn when d has passed.
func (c *Clock) After(d time.Duration, fn func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now + max(0, d), serial: c.serial, run: fn})
}

// Run runs all events up to a time since the start.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = max(c.now, until)
}

// Backend serves work in slots, has a short queue of its own and sheds the
// rest.
type Backend struct {
	Clock *Clock
	// Slots is the number of requests served at the same time; at least 1.
	Slots int
	// Queue is the number of accepted requests that wait for a slot.
	Queue int
	// Slowness multiplies the work's time; 0 means 1.
	Slowness float64
	// Dead backends answer each request at once with a failure.
	Dead bool

	busy    int
	waiting []job
	used    time.Duration
	shed    int
	served  int
}

type job struct {
	work time.Duration
	done func(Answer)
}

// Answer is how a backend ended one request.
type Answer uint8

// The answers.
const (
	// Served means that the work was done.
	Served Answer = iota
	// Shed means that the backend had no room and did nothing.
	Shed
	// Failed means that the backend is dead.
	Failed
)

// Serve starts work, and calls done when it ended, was shed or failed.
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
	b.shed++
	done(Shed)
}

func (b *Backend) start(j job) {
	b.busy++
	b.Clock.After(j.work, func() {
		b.busy--
		b.used += j.work
		b.served++
		if len(b.waiting) > 0 {
			first := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.start(first)
		}
		j.done(Served)
	})
}

// Busy returns the number of requests that are served now.
func (b *Backend) Busy() int {
	return b.busy
}

// Used returns the slot time of all finished work.
func (b *Backend) Used() time.Duration {
	return b.used
}

// Sheds returns the number of shed requests.
func (b *Backend) Sheds() int {
	return b.shed
}

// ServedCount returns the number of finished requests.
func (b *Backend) ServedCount() int {
	return b.served
}

// Source makes random arrivals and work from a seed.
type Source struct {
	rand *rand.Rand
}

// NewSource returns a source; equal seeds give equal sequences.
func NewSource(seed uint64) *Source {
	return &Source{rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Exponential returns a time with the given mean.
func (s *Source) Exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

// Intn returns a number below n.
func (s *Source) Intn(n int) int {
	return s.rand.IntN(n)
}

// Float returns a number from 0 to below 1.
func (s *Source) Float() float64 {
	return s.rand.Float64()
}

// Poisson calls fn at random times with a mean rate per second, until a time
// since the clock's start.
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
