package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/fleet"
	"github.com/mustardramp/mustardramp/internal/standin"
)

const (
	// ratePerBackend is the number of requests per second for each backend.
	ratePerBackend = 20
	// settleTime is the time that weight ramps, service levels and the pause of
	// the shared test need after the whole fleet has started.
	settleTime = 60 * time.Second
	// detectionLimit ends a run in which the fault is not detected.
	detectionLimit = 20 * time.Second
	// standingPollInterval is the time between two checks of the standings.
	standingPollInterval = 10 * time.Millisecond
)

// sendReads sends reads of the service patha to all entry hosts in turn, at a
// fixed rate per second, until the context ends. It counts the complete answers
// with status 200 as good and all other answers as bad.
func sendReads(ctx context.Context, f *fleet.Fleet, rate int, good, bad *atomic.Int64) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var group errgroup.Group
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
		group.Go(func() error {
			url := "http://" + f.Entry[i%len(f.Entry)].TrafficAddress().String() + fmt.Sprintf("/transcripts/%d", i)
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return err
			}
			r.Host = "patha.sutradhar.example"
			response, err := client.Do(r)
			if err != nil {
				return nil
			}
			defer response.Body.Close()
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
				bad.Add(1)
				return nil
			}
			good.Add(1)
			return nil
		})
	}
}

// countAvoidingHosts counts the entry hosts at which a backend receives no
// ordinary work.
func countAvoidingHosts(f *fleet.Fleet, address string) int {
	n := 0
	for _, e := range f.Entry {
		for _, s := range e.Standings("patha") {
			if s.Backend.Address.String() == address && !s.Usable() {
				n++
			}
		}
	}
	return n
}

// BenchmarkDetectionOverLinks measures the time from the start of a fault until
// half and until all of the hosts avoid the backend, on 40 entry hosts and 9
// backends of patha with real links on loopback, at 20 requests per second for
// each backend.
func BenchmarkDetectionOverLinks(b *testing.B) {
	faults := map[string]standin.Fault{
		"fails-all": {Errors: 1},
		"fails-30%": {Errors: 0.3},
		"hangs":     {Hangs: 1},
		"slow-10x":  {Delay: 20 * time.Millisecond},
	}
	for name, fault := range faults {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureDetection(b, fault)
			}
		})
	}
}

func measureDetection(b *testing.B, fault standin.Fault) {
	f := startFleet(b, fleet.Size{Control: 3, Entry: 40, Backends: 9})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var good, bad atomic.Int64
	group.Go(func() error { return sendReads(ctx, f, 9*ratePerBackend, &good, &bad) })
	time.Sleep(settleTime)
	var faulty *fleet.Backend
	for _, backend := range f.Backends {
		if backend.Service == mustardramp.ServiceName("patha") {
			faulty = backend
		}
	}
	unusableBefore := 0
	for _, e := range f.Entry {
		for _, s := range e.Standings("patha") {
			if !s.Usable() {
				unusableBefore++
			}
		}
	}
	good.Store(0)
	bad.Store(0)
	runsBefore := sumRuns(faulty.RunCounts())
	sentBefore := sumSentBytes(f)
	faulty.Fail(fault)
	faultStart := time.Now()
	halfDetected, allDetected := detectionLimit, detectionLimit
	for time.Since(faultStart) < detectionLimit {
		n := countAvoidingHosts(f, faulty.Address.String())
		if n >= len(f.Entry)/2 && halfDetected == detectionLimit {
			halfDetected = time.Since(faultStart)
		}
		if n == len(f.Entry) {
			allDetected = time.Since(faultStart)
			break
		}
		time.Sleep(standingPollInterval)
	}
	elapsed := time.Since(faultStart)
	b.ReportMetric(float64(sumRuns(faulty.RunCounts())-runsBefore), "requests-to-the-ill")
	b.ReportMetric(float64(good.Load()+bad.Load())/elapsed.Seconds(), "answers/s")
	b.ReportMetric(float64(sumSentBytes(f)-sentBefore)/elapsed.Seconds()/float64(len(f.Entry)), "bytes/s/host")
	cancel()
	_ = group.Wait()
	b.ReportMetric(halfDetected.Seconds(), "s-half-of-hosts")
	b.ReportMetric(allDetected.Seconds(), "s-all-hosts")
	b.ReportMetric(float64(bad.Load()), "bad-answers")
	b.ReportMetric(float64(unusableBefore), "standings-not-usable-before")
}

func sumRuns(runs map[string]int) int {
	n := 0
	for _, r := range runs {
		n += r
	}
	return n
}

// sumSentBytes sums the bytes that all entry hosts sent to their peers.
func sumSentBytes(f *fleet.Fleet) mustardramp.Bytes {
	var n mustardramp.Bytes
	for _, e := range f.Entry {
		n += e.SentBytes()
	}
	return n
}
