package evidence

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// subBuckets is the number of buckets to each doubling of the latency.
	subBuckets = 4
	// octaves covers latencies from 1 µs to more than 9 hours.
	octaves = 36
	// slowFactor is how many times the median makes an answer slow.
	slowFactor = 5
	// slowMargin is by how much a slow answer exceeds the median at least.
	slowMargin = 5 * time.Millisecond
	// minSamples is the fewest latencies that make a median.
	minSamples = 8
	// keepSamples bounds the weight of old latencies in the median.
	keepSamples = 128
	// busySamples is the number of latencies between two refreshes above which
	// only one in busyShare is recorded.
	busySamples = 1024
	busyShare   = 8
)

// latencies are the distributions of the latencies of a service's work of one
// rank, by the distance of the backend.
type latencies [distances]latency

const distances = mustardramp.AcrossRegions + 1

// allowances bound the part of a latency that the distance explains, there and
// back.
var allowances = [distances]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    5 * time.Millisecond,
	mustardramp.AcrossRegions: 25 * time.Millisecond,
}

// latency is the distribution of latencies at one distance, and the limit
// above which one counts as slow.
type latency struct {
	buckets [octaves * subBuckets]atomic.Uint32
	// limit is in nanoseconds; 0 means that none is known yet.
	limit atomic.Int64
	// busy is true while latencies are sampled.
	busy atomic.Bool
}

// record takes in a latency and reports whether it is slow.
func (l *latency) record(d time.Duration, sample uint32) bool {
	if !l.busy.Load() || sample%busyShare == 0 {
		l.buckets[bucketOf(d)].Add(1)
	}
	limit := l.limit.Load()
	return limit > 0 && int64(d) > limit
}

// refresh sets the limits from the recorded latencies and ages them. The least
// median of the distances stands for the backends' own time; the difference to
// it is that of the path, as far as the distance explains it. A distance with
// few latencies is given its whole allowance.
func (l *latencies) refresh() {
	var medians [distances]time.Duration
	least := time.Duration(math.MaxInt64)
	for i := range l {
		medians[i] = l[i].median()
		if medians[i] > 0 {
			least = min(least, medians[i])
		}
	}
	if least == math.MaxInt64 {
		return
	}
	for i, median := range medians {
		path := allowances[i]
		if median > 0 {
			path = min(median-least, path)
		}
		l[i].limit.Store(int64(path + max(slowFactor*least, least+slowMargin)))
	}
}

// median returns the median of the recorded latencies, or 0 when they are too
// few. It ages them when they are many.
func (l *latency) median() time.Duration {
	var counts [octaves * subBuckets]uint32
	var total uint32
	for i := range l.buckets {
		counts[i] = l.buckets[i].Load()
		total += counts[i]
	}
	if total < minSamples {
		return 0
	}
	l.busy.Store(total > busySamples)
	if total > keepSamples {
		l.age(&counts)
	}
	return median(&counts, total)
}

// age halves the counts.
func (l *latency) age(counts *[octaves * subBuckets]uint32) {
	for i, n := range counts {
		if n > 0 {
			l.buckets[i].Add(-(n - n/2))
		}
	}
}

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

// bucketOf returns the index of a latency's bucket: subBuckets to an octave.
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
