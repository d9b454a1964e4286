package entry

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// handClock stands still until it is moved.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// hedged is a fixture whose contract hedges and whose reads were fast so far.
func hedged(t testing.TB, backends ...string) *fixture {
	t.Helper()
	c := parseContract(t)
	c.Hedge = true
	f := newFixtureOf(t, c, &handClock{now: time.Unix(1_000_000, 0)}, backends...)
	for range 100 {
		f.service.hedging().Learn(mustardramp.Bulk, time.Millisecond)
		f.service.hedging().Learn(mustardramp.Normal, time.Millisecond)
	}
	return f
}

// TestHedges checks who answers when the first backend's answer is late. The
// slow backend answers only when nothing else did.
func TestHedges(t *testing.T) {
	const good, gone = mustardramp.ResultGood, mustardramp.ResultAbandoned
	tests := map[string]struct {
		method, path, body string
		budget             int64
		// alone is true when there is no second backend.
		alone   bool
		want    string
		results []mustardramp.Result
	}{
		"late":            {"GET", "/files/a", "", 9, false, "fast", []mustardramp.Result{gone, good}},
		"late head":       {"HEAD", "/files/a", "", 9, false, "", []mustardramp.Result{gone, good}},
		"budget spent":    {"GET", "/files/a", "", 0, false, "slow", []mustardramp.Result{good}},
		"no other":        {"GET", "/files/a", "", 9, true, "slow", []mustardramp.Result{good}},
		"no retry":        {"GET", "/plain/a", "", 9, false, "slow", []mustardramp.Result{good}},
		"a write":         {"PUT", "/files/a", "x", 9, false, "slow", []mustardramp.Result{good}},
		"read with body":  {"GET", "/files/a", "x", 9, false, "slow", []mustardramp.Result{good}},
		"once":            {"POST", "/stamps", "x", 9, false, "slow", []mustardramp.Result{good}},
		"once with a key": {"POST", "/certifications", "x", 9, false, "slow", []mustardramp.Result{good}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ended atomic.Int64
			hold := make(chan struct{})
			// A hedge that answers before the first attempt has left would leave
			// the slow backend without a request.
			reached := make(chan struct{})
			slow := serve(t, func(w http.ResponseWriter, r *http.Request) {
				defer ended.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				close(reached)
				select {
				case <-r.Context().Done():
				case <-hold:
					_, _ = io.WriteString(w, "slow")
				}
			})
			backends := []string{slow}
			if !test.alone {
				backends = append(backends, serve(t, func(w http.ResponseWriter, _ *http.Request) {
					<-reached
					_, _ = io.WriteString(w, "fast")
				}))
			}
			f := hedged(t, backends...)
			f.budget.left.Store(test.budget)
			if test.want == "slow" {
				// Long after the delay of a hedge, which would answer first.
				timer := time.AfterFunc(100*time.Millisecond, func() { close(hold) })
				defer timer.Stop()
			}
			response := f.ask(t, test.method, test.path, test.body, "Idempotency-Key", "k")
			if got := text(t, response); got != test.want || response.StatusCode != http.StatusOK {
				t.Errorf("answer: got %d %q, want 200 %q", response.StatusCode, got, test.want)
			}
			eventually(t, "the end of the slow attempt", func() bool { return ended.Load() == 1 })
			if got := f.pool.seen(); !slices.Equal(got, test.results) {
				t.Errorf("results: got %v, want %v", got, test.results)
			}
			if got := f.pool.free(); !got {
				t.Error("got a slot that is still held")
			}
		})
	}
}

// TestFailedHedge checks that a hedge that fails leaves the answer to the first
// attempt.
func TestFailedHedge(t *testing.T) {
	hold := make(chan struct{})
	slow := serve(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-hold:
			_, _ = io.WriteString(w, "slow")
		}
	})
	failing := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(hold)
		w.WriteHeader(http.StatusInternalServerError)
	})
	f := hedged(t, slow, failing)
	response := f.ask(t, "GET", "/files/a", "")
	if got := text(t, response); got != "slow" || response.StatusCode != http.StatusOK {
		t.Errorf("answer: got %d %q, want 200 %q", response.StatusCode, got, "slow")
	}
	if got := f.pool.seen(); len(got) != 2 || !f.pool.free() {
		t.Errorf("got results %v, want two and no slot held", got)
	}
}

// TestNoHedgeWhileRequestsWait checks that a request that had to wait for its
// slot takes no second one.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	var count atomic.Int64
	backend := func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}
	f := hedged(t, serve(t, backend), serve(t, backend))
	clock := f.handler.config.Clock.(*handClock)
	f.pool.delay = func() {
		clock.mu.Lock()
		defer clock.mu.Unlock()
		clock.now = clock.now.Add(2 * waitLimit)
	}
	if got := text(t, f.ask(t, "GET", "/files/a", "")); got != "ok" {
		t.Errorf("got %q, want %q", got, "ok")
	}
	if got := count.Load(); got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
}

// TestHedgesNeverCross checks that each caller gets the answer to its own
// request while the first attempt at every one hangs or comes late.
func TestHedgesNeverCross(t *testing.T) {
	const callers, each = 4, 100
	var seen sync.Map
	backend := func(w http.ResponseWriter, r *http.Request) {
		if _, again := seen.LoadOrStore(r.URL.Path, true); !again {
			if strings.HasSuffix(r.URL.Path, "0") {
				<-r.Context().Done()
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	f := hedged(t, serve(t, backend), serve(t, backend), serve(t, backend))
	f.budget.left.Store(1 << 40)
	if got, want := race(t, f, callers, each), callers*each; got != want {
		t.Errorf("own answers: got %d, want %d", got, want)
	}
	if !f.pool.free() {
		t.Error("got a slot that is still held")
	}
	counts := map[mustardramp.Result]int{}
	for _, result := range f.pool.seen() {
		counts[result]++
	}
	good, gone := counts[mustardramp.ResultGood], counts[mustardramp.ResultAbandoned]
	if good != callers*each || gone < callers*each/10 || len(counts) != 2 {
		t.Errorf("results: got %v, want %d good and at least %d abandoned", counts, callers*each, callers*each/10)
	}
}

// race lets callers ask at the same time and counts the answers to their own
// requests.
func race(t *testing.T, f *fixture, callers, each int) int {
	t.Helper()
	var own atomic.Int64
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range each {
				path := "/files/" + strconv.Itoa(caller*each+i)
				if text(t, f.ask(t, http.MethodGet, path, "")) == path {
					own.Add(1)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(own.Load())
}
