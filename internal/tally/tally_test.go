package tally

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/entry"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func requestStats(caller string) entry.RequestStats {
	return entry.RequestStats{
		Service: "mohor", Rank: mustardramp.Urgent, Caller: mustardramp.CallerName(caller),
		Latency: 3 * time.Millisecond, Wait: time.Millisecond, Size: 100,
	}
}

func TestReadings(t *testing.T) {
	var tally Tally
	for range 10 {
		tally.Count(requestStats("bench-1"))
	}
	refused := requestStats("bench-1")
	refused.Refused = mustardramp.KindQueueFull
	tally.Count(refused)
	tally.Count(requestStats("bench-0"))
	got := tally.Read()
	if len(got) != 2 || got[0].Caller != "bench-0" || got[1].Caller != "bench-1" {
		t.Fatalf("readings: got %+v, want bench-0 and bench-1", got)
	}
	r := got[1]
	if r.Count != 11 || r.Latency.P50 != 3e6 || r.Wait.P99 != 1e6 || r.Size.Max != 100 {
		t.Errorf("reading: got %+v, want 11 requests of 3 ms, 1 ms wait and 100 bytes", r)
	}
	if len(r.Refused) != 1 || r.Refused[0] != (RefusedKind{mustardramp.KindQueueFull, 1}) {
		t.Errorf("refused: got %v, want one queue-full", r.Refused)
	}
}

func TestClassLimit(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	tally := Tally{Limit: 8, Clock: clock}
	for i := range 1000 {
		tally.Count(requestStats(fmt.Sprint("caller-", i)))
	}
	got := tally.Read()
	if len(got) != 9 {
		t.Fatalf("classes: got %d, want 8 and the overflow", len(got))
	}
	if got[0].Caller != Overflow || got[0].Count != 992 {
		t.Errorf("overflow: got %s with %d requests, want %s with 992", got[0].Caller, got[0].Count, Overflow)
	}
	clock.now = clock.now.Add(classIdleTimeout + time.Second)
	tally.Count(requestStats("late"))
	got = tally.Read()
	if len(got) != 2 || got[1].Caller != "late" {
		t.Errorf("classes after idle time: got %d, want the overflow and the new caller", len(got))
	}
}

func TestConcurrentCounts(t *testing.T) {
	tally := Tally{Limit: 4}
	var group errgroup.Group
	for i := range 16 {
		group.Go(func() error {
			for range 200 {
				tally.Count(requestStats(fmt.Sprint("caller-", i)))
			}
			return nil
		})
	}
	_ = group.Wait()
	var sum int64
	for _, r := range tally.Read() {
		sum += r.Count
	}
	if want := int64(16 * 200); sum != want {
		t.Errorf("requests: got %d, want %d", sum, want)
	}
}

func BenchmarkCount(b *testing.B) {
	var tally Tally
	m := requestStats("caller")
	b.ReportAllocs()
	for b.Loop() {
		tally.Count(m)
	}
}
