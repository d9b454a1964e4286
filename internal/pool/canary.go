package pool

import (
	"math"
	"sync/atomic"

	"github.com/mustardramp/mustardramp"
)

const (
	// canaryProbeRatio is the part of the times of the floor after which a canary may be
	// the next attempt at a backend. Other requests are used after the whole time.
	canaryProbeRatio = 0.6
	// canaryFailureCost is the cost of a failed canary relative to that of a request
	// that cannot be retried.
	canaryFailureCost = 0.3
	// minOnceShare is the share of requests that cannot be retried above which the
	// others are canaries. Below, a canary would only add a retry.
	minOnceShare = 0.1
	// onceShareSmoothing is the weight of one request in the moving share.
	onceShareSmoothing = 0.01
)

// onceShare is the moving share of first attempts of requests that cannot be retried.
// Its zero value is 0.
type onceShare struct {
	// bits holds the bits of a float64.
	bits atomic.Uint64
}

// observe takes the first attempt of a request into the share.
func (s *onceShare) observe(demand *mustardramp.Demand) {
	if demand.IsFurtherAttempt {
		return
	}
	value := 0.0
	if !demand.Idempotent {
		value = 1
	}
	old := math.Float64frombits(s.bits.Load())
	s.bits.Store(math.Float64bits(old + onceShareSmoothing*(value-old)))
}

// isCanary reports whether a request is a canary: it can be retried if its backend turns
// out to be unhealthy, and spares that failure to the requests of the service that
// cannot. A further attempt of a request is not a canary, since none may follow it.
func (c *Core) isCanary(demand *mustardramp.Demand) bool {
	return demand.Idempotent && !demand.IsFurtherAttempt && math.Float64frombits(c.onceShare.bits.Load()) >= minOnceShare
}
