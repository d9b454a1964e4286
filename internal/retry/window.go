package retry

import (
	"sync"
	"time"
)

const (
	// windowStep is the resolution of a Window.
	windowStep = time.Second
	// windowSteps covers the span of the fleet's bound, ten seconds, with the
	// step under way and one for arrivals that trail what was allowed.
	windowSteps = 12
	// freshSteps lies within that span: fresh requests count for no longer than
	// they do for the bound.
	freshSteps = 10
)

// Window bounds further attempts where the requests of many hosts meet: in any
// ten seconds to a share of the fresh ones and a number beside. It answers load
// that fails for all hosts at once, when what each host may repeat by itself is
// less than one attempt. Its zero value allows none. It is safe for concurrent
// use.
type Window struct {
	mu     sync.Mutex
	share  float64
	slack  float64
	fresh  [windowSteps]int
	repeat [windowSteps]int
	// step is the number of the newest step counted.
	step int64
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
	w.fresh[w.turn(now)]++
}

// Allow counts a further attempt, or reports false.
func (w *Window) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.turn(now)
	if float64(sum(w.repeat[:])+1) > w.share*float64(w.recent())+w.slack {
		return false
	}
	w.repeat[at]++
	return true
}

// recent counts the fresh requests of the last freshSteps.
func (w *Window) recent() int {
	n := 0
	for step := max(0, w.step-freshSteps+1); step <= w.step; step++ {
		n += w.fresh[step%int64(windowSteps)]
	}
	return n
}

// turn empties the steps that are over and returns the present one's place.
func (w *Window) turn(now time.Time) int {
	step := now.UnixNano() / int64(windowStep)
	for i := max(w.step+1, step-int64(windowSteps)+1); i <= step; i++ {
		w.fresh[i%int64(windowSteps)] = 0
		w.repeat[i%int64(windowSteps)] = 0
	}
	// A clock that goes back counts into the newest step.
	w.step = max(w.step, step)
	return int(w.step % int64(windowSteps))
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
