package entry

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// maxClosingTime is the time before the end of the grace at which the requests
	// still in flight get their final answers. A shorter grace has a shorter one:
	// closingDivisor is the part of the grace that it is at most.
	maxClosingTime = 500 * time.Millisecond
	closingDivisor = 12
	// typicalTimeFactor is the multiple of the typical time of a request that must
	// be left of the grace for another one to be taken.
	typicalTimeFactor = 2
	// typicalTimeSmoothing is the weight of a new time in the moving mean.
	typicalTimeSmoothing = 0.1
	// stoppingRetryAfter is the time after which a caller that was refused by a
	// stopping host should return. Other hosts take its request at once.
	stoppingRetryAfter = 100 * time.Millisecond
)

// closingTime returns the time before the end of the grace at which requests in
// flight are ended.
func closingTime(grace time.Duration) time.Duration {
	return min(maxClosingTime, grace/closingDivisor)
}

// typicalTimes holds the moving mean time of the answered requests by rank in
// nanoseconds. The zero value knows none.
type typicalTimes struct {
	ranks [mustardramp.RankCount]atomic.Int64
}

func (t *typicalTimes) observe(rank mustardramp.Rank, d time.Duration) {
	mean := &t.ranks[rank]
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(d))
		return
	}
	mean.Store(old + int64(typicalTimeSmoothing*float64(int64(d)-old)))
}

// mean returns the mean of a rank, or 0 if it is not known.
func (t *typicalTimes) mean(rank mustardramp.Rank) time.Duration {
	return time.Duration(t.ranks[rank].Load())
}

// checkGrace refuses a request that is not likely to end before the stopping host
// does, so that it is not cut after a backend has begun it. It shortens the deadline
// of any other request so that a final answer can follow.
func (x *exchange) checkGrace() *mustardramp.Denial {
	end := x.h.stopEnd.Load()
	if end == nil || x.deadline.Before(*end) {
		return nil
	}
	if remaining := end.Sub(x.arrived); remaining < x.timeNeeded() {
		denial := stoppingDenial()
		denial.Facts = []mustardramp.Fact{
			{Name: "remaining", Value: remaining.String()},
			{Name: "needed", Value: x.timeNeeded().String()},
		}
		return denial
	}
	x.deadline = *end
	return nil
}

// timeNeeded returns the time that must be left of the grace for the request: a
// multiple of the typical time, at least maxClosingTime, and the time of its body on
// the host's link.
func (x *exchange) timeNeeded() time.Duration {
	needed := max(typicalTimeFactor*x.service.typicalTimes.mean(x.rank), maxClosingTime)
	if rate := x.h.config.LinkRate; rate > 0 && x.r.ContentLength > 0 {
		needed += time.Duration(float64(x.r.ContentLength) / float64(rate) * float64(time.Second))
	}
	return needed
}

func stoppingDenial() *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindStopping,
		Reason:     "the host is shutting down; another one takes the request",
		RetryAfter: stoppingRetryAfter,
	}
}
