// Package linkquota limits the traffic on the link between two regions by rank:
// urgent work may use all of the link, and bulk work never crowds out the other
// ranks. The package is pure: it reads no clock and starts no goroutines.
package linkquota

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultRate is the rate of the link in each direction in bytes per second,
	// equal to 30 Mbit/s.
	DefaultRate mustardramp.Bytes = 30_000_000 / 8
	// burst is the depth of each bucket: unused capacity is kept for up to this
	// time.
	burst = time.Second
	// defaultSize is used for a request of unknown size.
	defaultSize mustardramp.Bytes = 16 << 10
)

// shares holds the share of the link that each rank may use together with all more
// valuable ranks.
var shares = [mustardramp.RankCount]mustardramp.Percent{100, 75, 40}

// Meter limits one host's part of the link in one direction. The limits are
// nested: what a rank sends also counts against all less valuable ranks, so that a
// rank and all more valuable ones together stay within the rank's share. The zero
// value has no limit. It is safe for concurrent use and takes no lock.
type Meter struct {
	buckets [mustardramp.RankCount]bucket
}

// bucket is the token bucket of a rank and all more valuable ones.
type bucket struct {
	// rate is in bytes per second; 0 means no limit.
	rate atomic.Int64
	// clearedAt is the time in Unix nanoseconds at which the bucket is free of
	// debt: the virtual end of all that was sent. It is in the past while the
	// bucket holds unused capacity.
	clearedAt atomic.Int64
}

// New returns the meter of one of the hosts that share a link. The rate is in bytes
// per second.
func New(rate mustardramp.Bytes, hosts int) *Meter {
	m := &Meter{}
	m.Configure(rate, hosts)
	return m
}

// Configure replaces the rate of the link in bytes per second and the number of
// hosts that share it.
func (m *Meter) Configure(rate mustardramp.Bytes, hosts int) {
	hostRate := float64(rate) / float64(max(1, hosts))
	for r := range m.buckets {
		m.buckets[r].rate.Store(int64(shares[r].Of(hostRate)))
	}
}

// Allow charges the bytes of one request, or reports false when its rank has no
// capacity left. A size below 0 means that the size is unknown.
func (m *Meter) Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool {
	if size < 0 {
		size = defaultSize
	}
	if !m.buckets[rank].hasCapacity(now) {
		return false
	}
	m.Charge(rank, size, now)
	return true
}

// Charge charges bytes without a check, such as those of an answer.
func (m *Meter) Charge(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) {
	for r := rank; r < mustardramp.RankCount; r++ {
		m.buckets[r].charge(size, now)
	}
}

// hasCapacity reports whether the bucket is free of debt. A request of any size may
// then put it into debt, so that large requests are delayed and not rejected
// forever.
func (b *bucket) hasCapacity(now time.Time) bool {
	return b.rate.Load() == 0 || b.clearedAt.Load() <= now.UnixNano()
}

// charge takes bytes from the bucket, which may go into debt.
func (b *bucket) charge(size mustardramp.Bytes, now time.Time) {
	rate := b.rate.Load()
	if rate == 0 {
		return
	}
	cost := int64(float64(size) / float64(rate) * float64(time.Second))
	earliest := now.Add(-burst).UnixNano()
	for {
		old := b.clearedAt.Load()
		if b.clearedAt.CompareAndSwap(old, max(old, earliest)+cost) {
			return
		}
	}
}
