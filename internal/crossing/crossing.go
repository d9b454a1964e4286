// Package crossing meters the link between two regions by rank: urgent work
// may use all of it, and bulk work never crowds out the others. The package is
// pure: it reads no clock and starts nothing.
package crossing

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultRate is the rate of the link each way, in bytes per second: 30
	// Mbit/s.
	DefaultRate mustardramp.Bytes = 30_000_000 / 8
	// depth is the time of traffic that a rank may save up.
	depth = time.Second
	// guess stands in for a size that is not known.
	guess mustardramp.Bytes = 16 << 10
)

// shares are the parts of the link that the ranks fill up to.
var shares = [mustardramp.RankCount]mustardramp.Percent{100, 75, 40}

// Meter is one host's part of the link in one direction. The budgets nest: what
// a rank sends counts against all less valuable ranks, so that together they
// stay within their own part. Its zero value lets everything pass. It takes no
// lock.
type Meter struct {
	levels [mustardramp.RankCount]level
}

// level is the bucket of a rank and of all more valuable ones.
type level struct {
	// rate is in bytes per second; 0 means no limit.
	rate atomic.Int64
	// free is the time in Unix nanoseconds at which the bucket is empty of
	// debt: the virtual end of all that was sent.
	free atomic.Int64
}

// New returns the meter of one of several hosts that share a link of a rate.
func New(rate mustardramp.Bytes, hosts int) *Meter {
	m := &Meter{}
	m.Configure(rate, hosts)
	return m
}

// Configure replaces the rate of the link and the number of hosts that share
// it.
func (m *Meter) Configure(rate mustardramp.Bytes, hosts int) {
	own := float64(rate) / float64(max(1, hosts))
	for r := range m.levels {
		m.levels[r].rate.Store(int64(shares[r].Of(own)))
	}
}

// Allow books the bytes of one request, or reports false when its rank has used
// its part. A size below 0 is not known.
func (m *Meter) Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool {
	if size < 0 {
		size = guess
	}
	if !m.levels[rank].room(now) {
		return false
	}
	m.Book(rank, size, now)
	return true
}

// Book counts bytes that crossed, such as those of an answer.
func (m *Meter) Book(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) {
	for r := rank; r < mustardramp.RankCount; r++ {
		m.levels[r].book(size, now)
	}
}

// room reports whether the bucket has not gone into debt for more than its
// depth. One request may exceed it, whatever its size, so that large ones are
// delayed and not shut out.
func (l *level) room(now time.Time) bool {
	return l.rate.Load() == 0 || l.free.Load() <= now.UnixNano()
}

func (l *level) book(size mustardramp.Bytes, now time.Time) {
	rate := l.rate.Load()
	if rate == 0 {
		return
	}
	cost := int64(float64(size) / float64(rate) * float64(time.Second))
	floor := now.Add(-depth).UnixNano()
	for {
		old := l.free.Load()
		if l.free.CompareAndSwap(old, max(old, floor)+cost) {
			return
		}
	}
}
