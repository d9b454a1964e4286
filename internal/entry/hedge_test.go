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

// manualClock is a clock that a test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// newHedgedFixture returns a fixture whose contract enables hedging and whose
// recorded reads took 1 ms.
func newHedgedFixture(t testing.TB, backends ...string) *fixture {
	t.Helper()
	c := parseContract(t)
	c.Hedge = true
	f := newFixtureWith(t, c, &manualClock{now: time.Unix(1_000_000, 0)}, backends...)
	for range 100 {
		f.service.hedgePolicy().Learn(mustardramp.Bulk, time.Millisecond)
		f.service.hedgePolicy().Learn(mustardramp.Normal, time.Millisecond)
	}
	return f
}

// TestHedges checks which backend's response is relayed when the first backend is
// late. The slow backend responds only in the cases that expect its response.
func TestHedges(t *testing.T) {
	const good, abandoned = mustardramp.ResultSuccess, mustardramp.ResultAbandoned
	tests := map[string]struct {
		method, path, body string
		budget             int64
		// alone is true if there is no second backend.
		alone   bool
		want    string
		results []mustardramp.Result
	}{
		"late":             {"GET", "/files/a", "", 9, false, "fast", []mustardramp.Result{abandoned, good}},
		"late head":        {"HEAD", "/files/a", "", 9, false, "", []mustardramp.Result{abandoned, good}},
		"budget spent":     {"GET", "/files/a", "", 0, false, "slow", []mustardramp.Result{good}},
		"no other backend": {"GET", "/files/a", "", 9, true, "slow", []mustardramp.Result{good}},
		"no retry":         {"GET", "/plain/a", "", 9, false, "slow", []mustardramp.Result{good}},
		"a write":          {"PUT", "/files/a", "x", 9, false, "slow", []mustardramp.Result{good}},
		"read with body":   {"GET", "/files/a", "x", 9, false, "slow", []mustardramp.Result{good}},
		"once":             {"POST", "/stamps", "x", 9, false, "slow", []mustardramp.Result{good}},
		"once with a key":  {"POST", "/certifications", "x", 9, false, "slow", []mustardramp.Result{good}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ended atomic.Int64
			release := make(chan struct{})
			// If the hedge got its response before the first attempt was sent, the
			// slow backend would never get a request.
			reached := make(chan struct{})
			slow := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				defer ended.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				close(reached)
				select {
				case <-r.Context().Done():
				case <-release:
					_, _ = io.WriteString(w, "slow")
				}
			})
			backends := []string{slow}
			if !test.alone {
				backends = append(backends, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
					<-reached
					_, _ = io.WriteString(w, "fast")
				}))
			}
			f := newHedgedFixture(t, backends...)
			f.budget.remaining.Store(test.budget)
			if test.want == "slow" {
				// This is long after a hedge would have been sent and answered.
				timer := time.AfterFunc(100*time.Millisecond, func() { close(release) })
				defer timer.Stop()
			}
			response := f.send(t, test.method, test.path, test.body, "Idempotency-Key", "k")
			if got := readBody(t, response); got != test.want || response.StatusCode != http.StatusOK {
				t.Errorf("response: got %d %q, want 200 %q", response.StatusCode, got, test.want)
			}
			eventually(t, "end of the slow attempt", func() bool { return ended.Load() == 1 })
			if got := f.pool.releasedResults(); !slices.Equal(got, test.results) {
				t.Errorf("results: got %v, want %v", got, test.results)
			}
			if got := f.pool.isIdle(); !got {
				t.Error("got a slot still held, want all released")
			}
		})
	}
}

// TestFailedHedge checks that the first attempt's response is relayed if the hedge
// fails.
func TestFailedHedge(t *testing.T) {
	release := make(chan struct{})
	slow := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
			_, _ = io.WriteString(w, "slow")
		}
	})
	failing := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(release)
		w.WriteHeader(http.StatusInternalServerError)
	})
	f := newHedgedFixture(t, slow, failing)
	response := f.send(t, "GET", "/files/a", "")
	if got := readBody(t, response); got != "slow" || response.StatusCode != http.StatusOK {
		t.Errorf("response: got %d %q, want 200 %q", response.StatusCode, got, "slow")
	}
	if got := f.pool.releasedResults(); len(got) != 2 || !f.pool.isIdle() {
		t.Errorf("got results %v, want two and no slot held", got)
	}
}

// TestNoHedgeWhileRequestsWait checks that a request which had to wait for its
// slot does not take a second one.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	var count atomic.Int64
	backend := func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}
	f := newHedgedFixture(t, startBackend(t, backend), startBackend(t, backend))
	clock := f.handler.config.Clock.(*manualClock)
	f.pool.onAcquire = func() {
		clock.mu.Lock()
		defer clock.mu.Unlock()
		clock.now = clock.now.Add(2 * maxHedgeWait)
	}
	if got := readBody(t, f.send(t, "GET", "/files/a", "")); got != "ok" {
		t.Errorf("got %q, want %q", got, "ok")
	}
	if got := count.Load(); got != 1 {
		t.Errorf("attempts: got %d, want 1", got)
	}
}

// TestHedgedResponsesMatchTheirRequests checks that each caller gets the response
// to its own request while the first attempt of every request hangs or is late.
func TestHedgedResponsesMatchTheirRequests(t *testing.T) {
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
	f := newHedgedFixture(t, startBackend(t, backend), startBackend(t, backend), startBackend(t, backend))
	f.budget.remaining.Store(1 << 40)
	if got, want := countMatchingResponses(t, f, callers, each), callers*each; got != want {
		t.Errorf("matching responses: got %d, want %d", got, want)
	}
	if !f.pool.isIdle() {
		t.Error("got a slot still held, want all released")
	}
	counts := map[mustardramp.Result]int{}
	for _, result := range f.pool.releasedResults() {
		counts[result]++
	}
	good, abandoned := counts[mustardramp.ResultSuccess], counts[mustardramp.ResultAbandoned]
	if good != callers*each || abandoned < callers*each/10 || len(counts) != 2 {
		t.Errorf("results: got %v, want %d good and at least %d abandoned", counts, callers*each, callers*each/10)
	}
}

// countMatchingResponses sends requests from concurrent callers and counts the
// responses that match their requests.
func countMatchingResponses(t *testing.T, f *fixture, callers, each int) int {
	t.Helper()
	var matching atomic.Int64
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range each {
				path := "/files/" + strconv.Itoa(caller*each+i)
				if readBody(t, f.send(t, http.MethodGet, path, "")) == path {
					matching.Add(1)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(matching.Load())
}
