package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	// maxInFlight bounds the calls in flight in the open loop. A call beyond it
	// starts late, and its wait counts as latency.
	maxInFlight = 2048
	// maxLatencyMicros is the longest latency that a histogram holds, in
	// microseconds.
	maxLatencyMicros = 60_000_000
	// closedLoopRounds is the number of times that the closed loop measures each
	// of the two ways in turn.
	closedLoopRounds = 4
)

// latencyStats holds the latencies and the number of failed calls of one way to
// the backend.
type latencyStats struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed atomic.Int64
}

func newLatencyStats() *latencyStats {
	return &latencyStats{hist: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (s *latencyStats) record(latency time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hist.RecordValue(latency.Microseconds())
}

// openLoop sends calls at times that do not depend on the answers. Each call
// takes one of the two ways at random. Its latency counts from the planned time.
func openLoop(ctx context.Context, s *settings, direct, through *target) error {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	stats := map[*target]*latencyStats{direct: newLatencyStats(), through: newLatencyStats()}
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	start := time.Now()
	planned := start
	for planned.Sub(start) < s.Span {
		planned = planned.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		way := direct
		if random.IntN(2) == 1 {
			way = through
		}
		at := planned
		time.Sleep(time.Until(at))
		group.Go(func() error {
			if err := way.call(ctx); err != nil {
				stats[way].failed.Add(1)
				return nil
			}
			return stats[way].record(time.Since(at))
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	printLatencies(stats[direct], stats[through])
	return nil
}

func printLatencies(direct, through *latencyStats) {
	printLatencyStats("direct", direct)
	printLatencyStats("through", through)
	for _, q := range []float64{50, 99} {
		d, t := direct.hist.ValueAtQuantile(q), through.hist.ValueAtQuantile(q)
		fmt.Printf("open-loop added p%g=%dus ratio=%.2f\n", q, t-d, float64(t)/float64(max(d, 1)))
	}
}

func printLatencyStats(way string, s *latencyStats) {
	fmt.Printf("open-loop way=%s calls=%d failed=%d p50=%dus p99=%dus max=%dus\n", way, s.hist.TotalCount(), s.failed.Load(),
		s.hist.ValueAtQuantile(50), s.hist.ValueAtQuantile(99), s.hist.Max())
}

// closedLoop keeps all callers busy on each way in turn, and reads the CPU time
// that the entry host uses meanwhile.
func closedLoop(ctx context.Context, s *settings, direct, through *target) error {
	var calls [2]int64
	var cpu time.Duration
	for range closedLoopRounds {
		for i, way := range []*target{direct, through} {
			before := cpuTime(s.Process)
			n, err := saturate(ctx, s, way)
			if err != nil {
				return err
			}
			calls[i] += n
			if way == through {
				cpu += cpuTime(s.Process) - before
			}
		}
	}
	seconds := s.Span.Seconds()
	fmt.Printf("closed-loop direct=%.0f/s through=%.0f/s ratio=%.3f\n", float64(calls[0])/seconds, float64(calls[1])/seconds,
		float64(calls[1])/float64(max(calls[0], 1)))
	if cpu > 0 {
		perCall := cpu / time.Duration(max(calls[1], 1))
		fmt.Printf("closed-loop cpu=%s/call calls-per-core=%.0f/s\n", perCall, 1/perCall.Seconds())
	}
	return nil
}

// saturate keeps all callers busy on one way for one round, and returns the
// number of calls.
func saturate(ctx context.Context, s *settings, way *target) (int64, error) {
	var calls atomic.Int64
	end := time.Now().Add(s.Span / closedLoopRounds)
	var group errgroup.Group
	for range s.Callers {
		group.Go(func() error {
			for time.Now().Before(end) {
				if err := way.call(ctx); err != nil {
					return err
				}
				calls.Add(1)
			}
			return nil
		})
	}
	err := group.Wait()
	return calls.Load(), err
}
