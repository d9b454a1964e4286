package retry

import (
	"sync"
	"time"
)

const (
	// windowStep is the resolution of a Window.
	windowStep = time.Second
	// spanSteps is the number of steps in the span that a Window bounds: ten
	// seconds.
	spanSteps = 10
	// keptSteps covers a span and the one before it, plus an incomplete step at
	// either end.
	keptSteps = 2*spanSteps + 2
)

// Window bounds further attempts across the hosts of a fleet: in any ten
// seconds there are at most a share of the fresh requests plus a slack.
// The fresh requests are those of the same ten seconds, of the ten before or of
// the ten that began five before, whichever has the most requests. It serves
// loads that fail at all hosts at once, when the budget of each single host is
// less than one attempt. Its zero value allows none. It is safe for concurrent use.
type Window struct {
	mu    sync.Mutex
	share float64
	slack float64
	// fresh and retries are counts by step, modulo keptSteps.
	fresh   [keptSteps]int
	retries [keptSteps]int
	// step is the number of the newest step, lastCounted the newest with a
	// count, and lastOwn the newest in which this window itself counted a
	// request.
	step, lastCounted, lastOwn int64
}

// Configure sets the bound on further attempts: a share of the fresh requests
// plus a slack.
func (w *Window) Configure(share, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.slack = share, slack
}

// CountRequest counts the first attempt of a request.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.fresh[w.step%keptSteps]++
	w.lastCounted, w.lastOwn = w.step, w.step
}

// WindowUsage is the state of the bound for a span of ten seconds.
type WindowUsage struct {
	// Requests is the number of fresh requests that count for the span, and
	// Retries that of the further attempts in it.
	Requests, Retries int
	// Allowed is the upper bound of Retries.
	Allowed float64
}

// Allow counts a further attempt, or reports false and the usage of the span
// that has no room for it.
func (w *Window) Allow(now time.Time) (WindowUsage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for from := w.step - spanSteps; from <= w.step; from++ {
		if u := w.usage(from); float64(u.Retries+1) > u.Allowed {
			return u, false
		}
	}
	w.retries[w.step%keptSteps]++
	w.lastCounted, w.lastOwn = w.step, w.step
	return WindowUsage{}, true
}

// Return takes back a further attempt that was allowed at a time and not made.
func (w *Window) Return(allowed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := allowed.UnixNano() / int64(windowStep)
	if step > w.step-keptSteps && w.retries[step%keptSteps] > 0 {
		w.retries[step%keptSteps]--
	}
}

// Counts holds the counts of a Window by step, the newest last, so that another
// window can take over from it.
type Counts struct {
	// Step is the newest step, in seconds of Unix time.
	Step    int64 `cbor:"1,keyasint"`
	Fresh   []int `cbor:"2,keyasint"`
	Retries []int `cbor:"3,keyasint"`
}

// Counts returns the counts of the window, or none if all are older than the
// steps that it keeps.
func (w *Window) Counts(now time.Time) Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.lastCounted <= w.step-keptSteps {
		return Counts{}
	}
	c := Counts{Step: w.step}
	for step := max(0, w.step-keptSteps+1); step <= w.step; step++ {
		c.Fresh = append(c.Fresh, w.fresh[step%keptSteps])
		c.Retries = append(c.Retries, w.retries[step%keptSteps])
	}
	return c
}

// Adopt merges the counts of another window for the same requests. Both may
// have exchanged counts before, so the larger count of each step is kept. Steps
// that have expired, or that have not begun by this window's clock, are
// ignored.
func (w *Window) Adopt(now time.Time, c Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for i := range min(len(c.Fresh), len(c.Retries)) {
		step := c.Step - int64(len(c.Fresh)-1-i)
		if step <= w.step-keptSteps || step < 0 || step > w.step {
			continue
		}
		at := step % keptSteps
		w.fresh[at] = max(w.fresh[at], c.Fresh[i])
		w.retries[at] = max(w.retries[at], c.Retries[i])
		w.lastCounted = max(w.lastCounted, step)
	}
}

// CountedSince reports whether the window itself counted anything since a time.
func (w *Window) CountedSince(from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastOwn > 0 && w.lastOwn >= from.UnixNano()/int64(windowStep)
}

// usage returns the usage of the span that begins within the step from. Fresh
// requests count in the steps that lie entirely within their span.
func (w *Window) usage(from int64) WindowUsage {
	within := sumSteps(&w.fresh, from+1, min(w.step, from+spanSteps-1))
	before := sumSteps(&w.fresh, from-spanSteps+1, from-1)
	across := sumSteps(&w.fresh, from-spanSteps/2+1, min(w.step, from+spanSteps/2-1))
	u := WindowUsage{Requests: max(within, before, across), Retries: sumSteps(&w.retries, from, w.step)}
	u.Allowed = w.share*float64(u.Requests) + w.slack
	return u
}

// sumSteps sums the counts of the steps in [from, to].
func sumSteps(counts *[keptSteps]int, from, to int64) int {
	n := 0
	for step := max(0, from); step <= to; step++ {
		n += counts[step%keptSteps]
	}
	return n
}

// advance clears the counts of expired steps.
func (w *Window) advance(now time.Time) {
	step := now.UnixNano() / int64(windowStep)
	for i := max(w.step+1, step-keptSteps+1); i <= step; i++ {
		w.fresh[i%keptSteps] = 0
		w.retries[i%keptSteps] = 0
	}
	// If the clock goes back, requests count into the newest step.
	w.step = max(w.step, step)
}
