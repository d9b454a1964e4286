package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// outcome summarizes the answers to all requests with one key.
type outcome struct {
	// succeeded reports whether any answer had status 200.
	succeeded bool
	// notRun counts the answers that the operation did not run.
	notRun int
	// answers counts all answers.
	answers int
}

// TestKeyedRequestsRunAtMostOnce sends keyed requests, each several times
// through different hosts, while entry hosts and a control host are killed. No
// key may run twice. A key must not run if the verdict of every answer was that
// the operation did not run.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	const (
		workers = 16
		keys    = 25
		sends   = 4
	)
	f := startProcessFleet(t, 3, 4)
	f.publish("mohor.yaml")
	for range 3 {
		f.startBackend("mohor", 6, time.Millisecond)
	}
	f.waitForService("GET", "mohor.sutradhar.example", "/certifications/1")
	outcomes := make([]outcome, workers*keys)
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(1, uint64(w)))
			for k := range keys {
				f.sendRepeatedly(&outcomes[w*keys+k], fmt.Sprintf("key-%d-%d", w, k), sends, random)
			}
			return nil
		})
	}
	var killer errgroup.Group
	killer.Go(func() error {
		time.Sleep(300 * time.Millisecond)
		f.entry[3].kill()
		time.Sleep(300 * time.Millisecond)
		f.control[0].kill()
		time.Sleep(time.Second)
		f.entry[2].kill()
		return nil
	})
	_ = group.Wait()
	_ = killer.Wait()
	runs := f.countRuns()
	succeededKeys := 0
	for i, o := range outcomes {
		key := fmt.Sprintf("key-%d-%d", i/keys, i%keys)
		if got := runs[key]; got > 1 {
			t.Errorf("key %s: got %d runs, want at most 1", key, got)
		}
		if o.answers == sends && o.notRun == sends && runs[key] > 0 {
			t.Errorf("key %s: got %d runs, want none after %d verdicts not-run", key, runs[key], sends)
		}
		if o.succeeded {
			succeededKeys++
			if runs[key] != 1 {
				t.Errorf("key %s: got status 200 and %d runs, want 1", key, runs[key])
			}
		}
	}
	if succeededKeys == 0 {
		t.Error("got status 200 for no key, want it for most")
	}
	t.Logf("%d keys sent %d times each: %d succeeded, %d ran", len(outcomes), sends, succeededKeys, len(runs))
}

// sendRepeatedly sends requests with one key through hosts chosen at random.
func (f *processFleet) sendRepeatedly(o *outcome, key string, sends int, random *rand.Rand) {
	for range sends {
		entry := random.IntN(len(f.entry))
		status, _, header, err := f.send(entry, "POST", "mohor.sutradhar.example", "/certifications",
			strings.NewReader("order"), "Idempotency-Key", key, "X-Caller", "clerk")
		if err != nil {
			continue
		}
		o.answers++
		if status == http.StatusOK {
			o.succeeded = true
		}
		if strings.HasPrefix(header.Get("Mustardramp-Verdict"), "operation=not-run") {
			o.notRun++
		}
	}
}

// countRuns returns the number of runs of each key over all backends.
func (f *processFleet) countRuns() map[string]int {
	out := map[string]int{}
	for _, b := range f.backends {
		for key, n := range b.RunCounts() {
			if strings.HasPrefix(key, "key-") {
				out[key] += n
			}
		}
	}
	return out
}
