package retry

import (
	"sync"
	"time"
)

const (
	// windowStep is the resolution of a Window.
	windowStep = time.Second
	// boundSteps is the span of the fleet's bound, ten seconds.
	boundSteps = 10
	// keptSteps covers a span and the one before it, with a step under way at
	// either end.
	keptSteps = 2*boundSteps + 2
)

// Window bounds further attempts where the requests of many hosts meet: in any
// ten seconds there are at most a share of the fresh ones and a number beside.
// The fresh ones are those of the ten seconds, of the ten before or of the ten
// that began five before, whichever has most. It answers load that fails for all
// hosts at once, when what each host may repeat by itself is less than one
// attempt. Its zero value allows none. It is safe for concurrent use.
type Window struct {
	mu    sync.Mutex
	share float64
	slack float64
	// fresh and repeat count by step, modulo keptSteps.
	fresh  [keptSteps]int
	repeat [keptSteps]int
	// step is the number of the newest step, counted the newest with a count, and
	// used the newest in which this window counted itself.
	step, counted, used int64
}

// Configure sets the share of fresh requests, and the number beside, that
// further attempts may be.
func (w *Window) Configure(share, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.slack = share, slack
}

// Fresh counts a first attempt.
func (w *Window) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.fresh[w.step%keptSteps]++
	w.counted, w.used = w.step, w.step
}

// Account is what a Window counted for a span of ten seconds.
type Account struct {
	// Fresh are the requests that count for the span, and Repeats the further
	// attempts in it.
	Fresh, Repeats int
	// Most bounds the further attempts.
	Most float64
}

// Allow counts a further attempt, or reports false and the account of the span
// that has no room for it.
func (w *Window) Allow(now time.Time) (Account, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	for from := w.step - boundSteps; from <= w.step; from++ {
		if a := w.account(from); float64(a.Repeats+1) > a.Most {
			return a, false
		}
	}
	w.repeat[w.step%keptSteps]++
	w.counted, w.used = w.step, w.step
	return Account{}, true
}

// Return takes back a further attempt that was allowed at a time and not made.
func (w *Window) Return(allowed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := allowed.UnixNano() / int64(windowStep)
	if step > w.step-keptSteps && w.repeat[step%keptSteps] > 0 {
		w.repeat[step%keptSteps]--
	}
}

// Counts are what a Window counted by step, the newest last, for the one that
// takes over from it.
type Counts struct {
	// Step is the newest step, in seconds of Unix time.
	Step    int64 `cbor:"1,keyasint"`
	Fresh   []int `cbor:"2,keyasint"`
	Repeats []int `cbor:"3,keyasint"`
}

// Counts returns what the window counted, nothing when that is long ago.
func (w *Window) Counts(now time.Time) Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	if w.counted <= w.step-keptSteps {
		return Counts{}
	}
	c := Counts{Step: w.step}
	for step := max(0, w.step-keptSteps+1); step <= w.step; step++ {
		c.Fresh = append(c.Fresh, w.fresh[step%keptSteps])
		c.Repeats = append(c.Repeats, w.repeat[step%keptSteps])
	}
	return c
}

// Adopt takes in the counts of another window for the same requests. Both may have
// told each other before, so that the greater count of each step holds. Steps that
// are over here, or not yet begun by this clock, do not count.
func (w *Window) Adopt(now time.Time, c Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	for i := range min(len(c.Fresh), len(c.Repeats)) {
		step := c.Step - int64(len(c.Fresh)-1-i)
		if step <= w.step-keptSteps || step < 0 || step > w.step {
			continue
		}
		at := step % keptSteps
		w.fresh[at] = max(w.fresh[at], c.Fresh[i])
		w.repeat[at] = max(w.repeat[at], c.Repeats[i])
		w.counted = max(w.counted, step)
	}
}

// UsedSince reports whether the window itself counted anything since a time.
func (w *Window) UsedSince(from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used > 0 && w.used >= from.UnixNano()/int64(windowStep)
}

// account returns what counts for a span that begins within a step. Fresh requests
// count in the steps that lie wholly within the spans.
func (w *Window) account(from int64) Account {
	within := count(&w.fresh, from+1, min(w.step, from+boundSteps-1))
	before := count(&w.fresh, from-boundSteps+1, from-1)
	across := count(&w.fresh, from-boundSteps/2+1, min(w.step, from+boundSteps/2-1))
	a := Account{Fresh: max(within, before, across), Repeats: count(&w.repeat, from, w.step)}
	a.Most = w.share*float64(a.Fresh) + w.slack
	return a
}

// count sums the steps from one to another.
func count(counts *[keptSteps]int, from, to int64) int {
	n := 0
	for step := max(0, from); step <= to; step++ {
		n += counts[step%keptSteps]
	}
	return n
}

// turn empties the steps that are over.
func (w *Window) turn(now time.Time) {
	step := now.UnixNano() / int64(windowStep)
	for i := max(w.step+1, step-keptSteps+1); i <= step; i++ {
		w.fresh[i%keptSteps] = 0
		w.repeat[i%keptSteps] = 0
	}
	// A clock that goes back counts into the newest step.
	w.step = max(w.step, step)
}
