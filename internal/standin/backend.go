// Package standin provides backends that replace real ones in the commands
// 'fleet try' and 'backend try' and in tests. They count the requests that they
// run and fail as they are told.
package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// ShedHeader is the response header with which a stand-in declares that it shed
// a request. The contracts of the examples name it.
const ShedHeader = "X-Shed"

// Headers with which a stand-in states something about itself in its answers. The
// contracts of the examples name them.
const (
	// LeavingHeader is "1" once the stand-in is leaving.
	LeavingHeader = "X-Leaving"
	// QuietHeader is the time in seconds for which the stand-in wants no requests
	// of the host.
	QuietHeader = "Retry-After"
)

// Values of ShedHeader.
const (
	// shedFull means that all slots are in use.
	shedFull = "full"
	// shedLeaving means that the backend takes no more requests.
	shedLeaving = "leaving"
)

// Fault describes how a stand-in fails. The zero value is no fault.
type Fault struct {
	// Errors, Cuts and Hangs are the shares of requests, 0 to 1, that end with
	// status 500, with a truncated answer, or without an answer.
	Errors float64
	Cuts   float64
	Hangs  float64
	// Delay is added to the time of each request.
	Delay time.Duration
	// Quiet, if above 0, is the time for which the stand-in asks for no requests
	// when it sheds one.
	Quiet time.Duration
}

// Backend answers requests. The zero value is ready to use and has one slot.
type Backend struct {
	// Name is part of each answer.
	Name string
	// Slots is the number of requests served at the same time; 0 means 1.
	Slots int
	// Work is the time that each request takes.
	Work time.Duration

	fault    atomic.Pointer[Fault]
	draining atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
	mu       sync.Mutex
	// runs counts the executed requests by idempotency key, or by method and
	// path for requests without a key.
	runs map[string]int
}

// Fail makes the backend fail as described from now on.
func (b *Backend) Fail(f Fault) {
	b.fault.Store(&f)
}

// Drain makes the backend state in all further answers that it is leaving, while it
// still executes requests.
func (b *Backend) Drain() {
	b.draining.Store(true)
}

// Leave makes the backend shed all further requests and declare that it is
// leaving.
func (b *Backend) Leave() {
	b.leaving.Store(true)
}

// RunCounts returns the number of runs of each idempotency key, or of each method
// and path for requests without a key.
func (b *Backend) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runs))
	for key, n := range b.runs {
		out[key] = n
	}
	return out
}

// ServeHTTP executes the request, or sheds it when all slots are in use or the
// backend is leaving.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.draining.Load() || b.leaving.Load() {
		w.Header().Set(LeavingHeader, "1")
	}
	if b.leaving.Load() {
		w.Header().Set(ShedHeader, shedLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.inFlight.Add(1) > int64(max(b.Slots, 1)) {
		b.inFlight.Add(-1)
		w.Header().Set(ShedHeader, shedFull)
		if f := b.fault.Load(); f != nil && f.Quiet > 0 {
			w.Header().Set(QuietHeader, strconv.FormatFloat(f.Quiet.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.inFlight.Add(-1)
	b.execute(w, r)
}

// execute counts the request as run once its body has arrived, and answers it or
// fails.
func (b *Backend) execute(w http.ResponseWriter, r *http.Request) {
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	b.countRun(r)
	var fault Fault
	if f := b.fault.Load(); f != nil {
		fault = *f
	}
	if !waitFor(r, b.Work+fault.Delay) {
		return
	}
	switch draw := rand.Float64(); {
	case draw < fault.Errors:
		http.Error(w, "stand-in fault", http.StatusInternalServerError)
	case draw < fault.Errors+fault.Cuts:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "cut")
		panic(http.ErrAbortHandler)
	case draw < fault.Errors+fault.Cuts+fault.Hangs:
		<-r.Context().Done()
	default:
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		fmt.Fprintf(w, "%s served %s %s, %d bytes in\n", b.Name, r.Method, r.URL.Path, length)
	}
}

func (b *Backend) countRun(r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = map[string]int{}
	}
	b.runs[key]++
}

// waitFor waits for d. It returns false if the request ends first.
func waitFor(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
