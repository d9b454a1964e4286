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
	// perBackend is the rate of requests for each backend, per second.
	perBackend = 20
	// settleTime is the time for ramps, levels and the pause of the shared test
	// after a start of the whole fleet.
	settleTime = 60 * time.Second
	// detectionLimit ends a run in which the fault is not detected.
	detectionLimit = 20 * time.Second
	standingPause  = 10 * time.Millisecond
)

// load sends reads of patha to all entry hosts at a fixed rate until the
// context ends, and counts answers by whether they are whole and good.
func load(ctx context.Context, f *fleet.Fleet, rate int, good, bad *atomic.Int64) error {
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

// avoidedBy counts the entry hosts at which a backend takes no ordinary work.
func avoidedBy(f *fleet.Fleet, address string) int {
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

// BenchmarkDetectionOverLinks measures, on 40 entry hosts and 9 backends of
// patha with real links on loopback, the time from a fault's begin until half
// and all of the hosts avoid the backend, at 20 requests a second for each
// backend.
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
	f := start(b, fleet.Size{Control: 3, Entry: 40, Backends: 9})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var good, bad atomic.Int64
	group.Go(func() error { return load(ctx, f, 9*perBackend, &good, &bad) })
	time.Sleep(settleTime)
	var ill *fleet.Backend
	for _, backend := range f.Backends {
		if backend.Service == mustardramp.ServiceName("patha") {
			ill = backend
		}
	}
	healthy := 0
	for _, e := range f.Entry {
		for _, s := range e.Standings("patha") {
			if !s.Usable() {
				healthy++
			}
		}
	}
	good.Store(0)
	bad.Store(0)
	before := total(ill.Runs())
	sent := sentBytes(f)
	ill.Fail(fault)
	began := time.Now()
	half, all := detectionLimit, detectionLimit
	for time.Since(began) < detectionLimit {
		n := avoidedBy(f, ill.Address.String())
		if n >= len(f.Entry)/2 && half == detectionLimit {
			half = time.Since(began)
		}
		if n == len(f.Entry) {
			all = time.Since(began)
			break
		}
		time.Sleep(standingPause)
	}
	took := time.Since(began)
	b.ReportMetric(float64(total(ill.Runs())-before), "requests-to-the-ill")
	b.ReportMetric(float64(good.Load()+bad.Load())/took.Seconds(), "answers/s")
	b.ReportMetric(float64(sentBytes(f)-sent)/took.Seconds()/float64(len(f.Entry)), "bytes/s/host")
	cancel()
	_ = group.Wait()
	b.ReportMetric(half.Seconds(), "s-half-of-hosts")
	b.ReportMetric(all.Seconds(), "s-all-hosts")
	b.ReportMetric(float64(bad.Load()), "bad-answers")
	b.ReportMetric(float64(healthy), "standings-not-usable-before")
}

func total(runs map[string]int) int {
	n := 0
	for _, r := range runs {
		n += r
	}
	return n
}

// sentBytes sums what all entry hosts sent to their peers.
func sentBytes(f *fleet.Fleet) mustardramp.Bytes {
	var n mustardramp.Bytes
	for _, e := range f.Entry {
		n += e.SentBytes()
	}
	return n
}
