package evidence

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// subBuckets is the number of buckets per doubling of the latency.
	subBuckets = 4
	// octaves is the number of doublings that the buckets cover: latencies from
	// 1 µs to more than 9 hours.
	octaves = 36
	// slowFactor is the multiple of the median above which an answer is slow.
	slowFactor = 5
	// slowMargin is the least time by which a slow answer exceeds the median.
	slowMargin = 5 * time.Millisecond
	// minSamples is the lowest number of latencies from which a median is
	// computed.
	minSamples = 8
	// agingThreshold is the number of recorded latencies above which their
	// weight is halved, so that the median follows new latencies.
	agingThreshold = 128
	// samplingThreshold is the number of recorded latencies above which only one
	// in samplingInterval is recorded until the next refresh.
	samplingThreshold = 1024
	samplingInterval  = 8
)

// rankLatencies holds the distributions of the latencies of a service's requests
// of one rank, by the distance of the backend.
type rankLatencies [distanceCount]latencyHistogram

const distanceCount = mustardramp.AcrossRegions + 1

// maxPathLatencies bound the part of a latency that the round trip over the
// network explains, by distance.
var maxPathLatencies = [distanceCount]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    5 * time.Millisecond,
	mustardramp.AcrossRegions: 25 * time.Millisecond,
}

// latencyHistogram is the distribution of latencies at one distance, with the
// limit above which an answer is slow.
type latencyHistogram struct {
	buckets [octaves * subBuckets]atomic.Uint32
	// limit is in nanoseconds; 0 means that it is not known yet.
	limit atomic.Int64
	// isSampled is true while only one in samplingInterval latencies is
	// recorded.
	isSampled atomic.Bool
}

// record records a latency and reports whether it is slow. The sample is a random
// number.
func (l *latencyHistogram) record(d time.Duration, sample uint32) bool {
	if !l.isSampled.Load() || sample%samplingInterval == 0 {
		l.buckets[bucketOf(d)].Add(1)
	}
	limit := l.limit.Load()
	return limit > 0 && int64(d) > limit
}

// refresh sets the limits from the recorded latencies and ages them. The lowest
// median of the distances is taken as the time of the backends themselves; the
// difference to it is that of the path, up to the bound in maxPathLatencies. A
// distance with few latencies gets the whole bound.
func (l *rankLatencies) refresh() {
	var medians [distanceCount]time.Duration
	lowest := time.Duration(math.MaxInt64)
	for i := range l {
		medians[i] = l[i].median()
		if medians[i] > 0 {
			lowest = min(lowest, medians[i])
		}
	}
	if lowest == math.MaxInt64 {
		return
	}
	for i, median := range medians {
		path := maxPathLatencies[i]
		if median > 0 {
			path = min(median-lowest, path)
		}
		l[i].limit.Store(int64(path + max(slowFactor*lowest, lowest+slowMargin)))
	}
}

// median returns the median of the recorded latencies, or 0 if there are fewer
// than minSamples. It ages them if there are more than agingThreshold.
func (l *latencyHistogram) median() time.Duration {
	var counts [octaves * subBuckets]uint32
	var total uint32
	for i := range l.buckets {
		counts[i] = l.buckets[i].Load()
		total += counts[i]
	}
	if total < minSamples {
		return 0
	}
	l.isSampled.Store(total > samplingThreshold)
	if total > agingThreshold {
		l.age(&counts)
	}
	return median(&counts, total)
}

// age halves the counts.
func (l *latencyHistogram) age(counts *[octaves * subBuckets]uint32) {
	for i, n := range counts {
		if n > 0 {
			l.buckets[i].Add(-(n - n/2))
		}
	}
}

// median returns the upper edge of the bucket that holds the median.
func median(counts *[octaves * subBuckets]uint32, total uint32) time.Duration {
	var below uint32
	for i, n := range counts {
		below += n
		if below*2 >= total {
			return upperEdge(i)
		}
	}
	return 0
}

// bucketOf returns the index of a latency's bucket.
func bucketOf(d time.Duration) int {
	micros := uint64(max(d/time.Microsecond, subBuckets))
	octave := bits.Len64(micros) - 1
	sub := int(micros>>(octave-2)) & (subBuckets - 1)
	return min((octave-2)*subBuckets+sub, octaves*subBuckets-1)
}

// upperEdge returns the latency at which a bucket ends.
func upperEdge(bucket int) time.Duration {
	octave := bucket/subBuckets + 2
	sub := bucket % subBuckets
	micros := math.Ldexp(float64(subBuckets+sub+1), octave-2)
	return time.Duration(micros) * time.Microsecond
}
