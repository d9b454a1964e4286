package lease

import (
	"context"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp/internal/link"
)

const (
	// probeInterval is how long a keeper may be silent while a request waits there
	// before it is probed: several round trips to the other region.
	probeInterval = 80 * time.Millisecond
	// minProbeTimeout and maxProbeTimeout bound the timeout of a probe. The minimum
	// is several round trips to the other region. The maximum, half of the shortest
	// latency target (0.8 s), applies when the keeper's processor or link is busy. A
	// host must not take a slow keeper for lost: it would then grant slots by
	// itself, beyond those that the keeper counts.
	minProbeTimeout = 120 * time.Millisecond
	maxProbeTimeout = 400 * time.Millisecond
	// probeTimeoutFactor is the probe timeout as a multiple of the mean latency,
	// and latencySmoothing the weight of a new sample in that mean.
	probeTimeoutFactor = 4
	latencySmoothing   = 0.2
)

// liveness distinguishes a keeper in whose queue requests wait from one that was
// killed, frozen or partitioned. All requests at the keeper share it. Its zero
// value is ready to use.
type liveness struct {
	mu sync.Mutex
	// lastAnswer is the time of the keeper's last answer.
	lastAnswer time.Time
	// probing is true while a probe is in flight.
	probing bool
	// failures counts the failed probes.
	failures uint64
	// meanLatency is the moving mean of the probe latency, or 0 before the first
	// probe.
	meanLatency time.Duration
}

// recordAnswer records that the keeper has answered.
func (l *liveness) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswer = time.Now()
}

// startProbe reports whether the caller must probe the keeper now. The caller then
// calls finishProbe.
func (l *liveness) startProbe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || time.Since(l.lastAnswer) < probeInterval {
		return false
	}
	l.probing = true
	return true
}

// finishProbe records the result and the latency of a probe. A probe that was
// canceled together with its request is ignored.
func (l *liveness) finishProbe(canceled bool, err error, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	switch {
	case canceled:
	case err != nil:
		l.updateLatency(latency)
		l.failures++
	default:
		l.updateLatency(latency)
		l.lastAnswer = time.Now()
	}
}

// updateLatency updates the mean latency. A failed probe counts with the time that
// it took, so that the timeout of a keeper that has become slow soon grows.
func (l *liveness) updateLatency(latency time.Duration) {
	if l.meanLatency == 0 {
		l.meanLatency = latency
		return
	}
	l.meanLatency += time.Duration(latencySmoothing * float64(latency-l.meanLatency))
}

// timeout returns the timeout of the next probe.
func (l *liveness) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meanLatency == 0 {
		// The first probe also establishes the connection.
		return maxProbeTimeout
	}
	return max(minProbeTimeout, min(probeTimeoutFactor*l.meanLatency, maxProbeTimeout))
}

// failureCount returns the number of failed probes.
func (l *liveness) failureCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

// watch probes the keeper while a request waits there, and cancels the request
// once a probe fails.
func (l *liveness) watch(ctx context.Context, keeper link.Invoker, cancel context.CancelCauseFunc) {
	before := l.failureCount()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l.startProbe() {
			start := time.Now()
			err := probe(ctx, keeper, l.timeout())
			l.finishProbe(ctx.Err() != nil, err, time.Since(start))
		}
		if l.failureCount() > before && ctx.Err() == nil {
			cancel(errKeeperDown)
			return
		}
	}
}

// probe calls the keeper to check that it is alive.
func probe(ctx context.Context, keeper link.Invoker, limit time.Duration) error {
	probeCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := link.Call[struct{}](probeCtx, keeper, methodAlive, struct{}{})
	return err
}
