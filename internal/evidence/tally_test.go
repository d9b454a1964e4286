package evidence_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func backends(service mustardramp.ServiceName, n int) []mustardramp.Backend {
	out := make([]mustardramp.Backend, n)
	for i := range out {
		out[i].ID = mustardramp.BackendID(fmt.Sprintf("%s/127.0.0.1:%d", service, 8000+i))
		out[i].Service = service
	}
	return out
}

func observation(b mustardramp.Backend, result mustardramp.Result, latency time.Duration) mustardramp.Observation {
	return mustardramp.Observation{
		Backend: b.ID, Service: b.Service, Caller: "clerk", Rank: mustardramp.Normal,
		Result: result, Latency: latency, At: start.Add(time.Second),
	}
}

func TestObserveCounts(t *testing.T) {
	type counts struct{ done, failed, slow uint64 }
	tests := map[string]struct {
		result  mustardramp.Result
		latency time.Duration
		want    counts
	}{
		"success":   {mustardramp.ResultSuccess, 10 * time.Millisecond, counts{1, 0, 0}},
		"slow":      {mustardramp.ResultSuccess, time.Second, counts{1, 0, 1}},
		"error":     {mustardramp.ResultError, time.Millisecond, counts{1, 1, 0}},
		"timeout":   {mustardramp.ResultTimeout, time.Second, counts{1, 1, 0}},
		"truncated": {mustardramp.ResultTruncated, time.Millisecond, counts{1, 1, 0}},
		"invalid":   {mustardramp.ResultInvalid, time.Millisecond, counts{1, 1, 0}},
		"dial":      {mustardramp.ResultDial, time.Millisecond, counts{1, 1, 0}},
		"shed":      {mustardramp.ResultShed, time.Millisecond, counts{}},
		"leaving":   {mustardramp.ResultLeaving, time.Millisecond, counts{}},
		"abandoned": {mustardramp.ResultAbandoned, time.Second, counts{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tally evidence.Tally
			list := backends("mohor", 2)
			tally.Prepare(start, "mohor", list)
			for range 50 {
				tally.Observe(observation(list[0], mustardramp.ResultSuccess, 10*time.Millisecond))
			}
			tally.Prepare(start.Add(2*time.Second), "mohor", list)
			tally.Observe(observation(list[1], test.result, test.latency))
			c := tally.Counts("mohor", list[1].ID)
			if got := (counts{c.Done, c.Failed, c.Slow}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestCallerFailingEverywhereIsExcluded(t *testing.T) {
	var tally evidence.Tally
	list := backends("mohor", 6)
	tally.Prepare(start, "mohor", list)
	fail := func() {
		for _, b := range list {
			tally.Observe(observation(b, mustardramp.ResultError, time.Millisecond))
		}
	}
	fail()
	tally.Prepare(start.Add(time.Minute), "mohor", list)
	fail()
	other := observation(list[0], mustardramp.ResultError, time.Millisecond)
	other.Caller = "stenographer"
	tally.Observe(other)
	if got := tally.Counts("mohor", list[0].ID).Failed; got != 2 {
		t.Errorf("got %d failures, want 2: the caller's first and the other caller's", got)
	}
	if got := tally.Counts("mohor", list[1].ID).Failed; got != 1 {
		t.Errorf("got %d failures, want 1: the caller's first", got)
	}
}

func TestSlowAttemptInFlightIsCountedOnce(t *testing.T) {
	tests := map[string]struct {
		answered time.Duration
		result   mustardramp.Result
		want     evidence.Counts
	}{
		"never":      {0, mustardramp.ResultSuccess, evidence.Counts{Done: 1, Slow: 1}},
		"late":       {2 * time.Second, mustardramp.ResultSuccess, evidence.Counts{Done: 1, Slow: 1}},
		"late error": {2 * time.Second, mustardramp.ResultTimeout, evidence.Counts{Done: 1, Slow: 1, Failed: 1}},
		"in time":    {10 * time.Millisecond, mustardramp.ResultSuccess, evidence.Counts{Done: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tally evidence.Tally
			list := backends("mohor", 2)
			tally.Prepare(start, "mohor", list)
			for range 50 {
				tally.Observe(observation(list[0], mustardramp.ResultSuccess, 10*time.Millisecond))
			}
			begun := start.Add(2 * time.Second)
			tally.Prepare(begun, "mohor", list)
			token := tally.Start("mohor", list[1].ID, mustardramp.Normal, begun)
			for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
				if at%(100*time.Millisecond) == 0 {
					tally.Prepare(begun.Add(at), "mohor", list)
				}
				if at > 0 && at == test.answered {
					tally.Answered("mohor", list[1].ID, token)
					tally.Observe(observation(list[1], test.result, at))
				}
			}
			if got := tally.Counts("mohor", list[1].ID); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestObserveFromManyGoroutines(t *testing.T) {
	const each, workers = 2000, 8
	var tally evidence.Tally
	list := backends("mohor", 3)
	tally.Prepare(start, "mohor", list)
	var group errgroup.Group
	for range workers {
		group.Go(func() error {
			for i := range each {
				tally.Observe(observation(list[i%2], mustardramp.ResultSuccess, time.Millisecond))
			}
			return nil
		})
	}
	for range 100 {
		tally.Prepare(start, "mohor", list[:2])
		tally.Prepare(start, "mohor", list)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	got := tally.Counts("mohor", list[0].ID).Done + tally.Counts("mohor", list[1].ID).Done
	if got != each*workers {
		t.Errorf("got %d outcomes, want %d", got, each*workers)
	}
}

// BenchmarkObserve runs on one goroutine per CPU given by -cpu.
func BenchmarkObserve(b *testing.B) {
	sizes := map[string]struct{ services, backends int }{
		"22 backends":                   {1, 22},
		"59000 backends, 2000 services": {2000, 30},
		"59000 backends in one service": {1, 59000},
		"1 backend, contended":          {1, 1},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			var tally evidence.Tally
			var list []mustardramp.Backend
			for i := range size.services {
				service := mustardramp.ServiceName(fmt.Sprintf("s%d", i))
				part := backends(service, size.backends)
				tally.Prepare(start, service, part)
				list = append(list, part...)
			}
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 7919; pb.Next(); i += 7919 {
					tally.Observe(observation(list[i%len(list)], mustardramp.ResultSuccess, 10*time.Millisecond))
				}
			})
		})
	}
}
