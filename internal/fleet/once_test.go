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

// outcome is what the callers of one key saw over all its sendings.
type outcome struct {
	ran    bool
	notRun int
	asked  int
}

// TestKeyedRequestsRunAtMostOnce sends keyed requests, each several times
// through different hosts, while entry hosts and a control host are killed. No
// key may run twice, and none may run whose every sending was answered with
// an operation that did not run.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	const (
		workers = 16
		keys    = 25
		sends   = 4
	)
	f := startProcesses(t, 3, 4)
	f.publish("mohor.yaml")
	for range 3 {
		f.backend("mohor", 6, time.Millisecond)
	}
	f.serves("GET", "mohor.sutradhar.example", "/certifications/1")
	seen := make([]outcome, workers*keys)
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(1, uint64(w)))
			for k := range keys {
				f.repeat(&seen[w*keys+k], fmt.Sprintf("key-%d-%d", w, k), sends, random)
			}
			return nil
		})
	}
	var killing errgroup.Group
	killing.Go(func() error {
		time.Sleep(300 * time.Millisecond)
		f.entry[3].kill()
		time.Sleep(300 * time.Millisecond)
		f.control[0].kill()
		time.Sleep(time.Second)
		f.entry[2].kill()
		return nil
	})
	_ = group.Wait()
	_ = killing.Wait()
	runs := f.runs()
	answered := 0
	for i, o := range seen {
		key := fmt.Sprintf("key-%d-%d", i/keys, i%keys)
		if got := runs[key]; got > 1 {
			t.Errorf("key %s: got %d runs, want at most 1", key, got)
		}
		if o.asked == sends && o.notRun == sends && runs[key] > 0 {
			t.Errorf("key %s: got %d runs, want none after %d verdicts not-run", key, runs[key], sends)
		}
		if o.ran {
			answered++
			if runs[key] != 1 {
				t.Errorf("key %s: got an answer and %d runs, want 1", key, runs[key])
			}
		}
	}
	if answered == 0 {
		t.Error("got no key answered, want most")
	}
	t.Logf("%d keys, %d sendings each: %d answered, %d ran", len(seen), sends, answered, len(runs))
}

// repeat sends a key through hosts chosen at random.
func (f *processes) repeat(o *outcome, key string, sends int, random *rand.Rand) {
	for range sends {
		entry := random.IntN(len(f.entry))
		status, _, header, err := f.send(entry, "POST", "mohor.sutradhar.example", "/certifications",
			strings.NewReader("order"), "Idempotency-Key", key, "X-Caller", "clerk")
		if err != nil {
			continue
		}
		o.asked++
		if status == http.StatusOK {
			o.ran = true
		}
		if strings.HasPrefix(header.Get("Mustardramp-Verdict"), "operation=not-run") {
			o.notRun++
		}
	}
}

// runs counts the runs of each key over all backends.
func (f *processes) runs() map[string]int {
	out := map[string]int{}
	for _, b := range f.backends {
		for key, n := range b.Runs() {
			if strings.HasPrefix(key, "key-") {
				out[key] += n
			}
		}
	}
	return out
}
