package quota

import (
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// slack is the number of tokens that a bucket holds beyond the burst. Requests that
	// a caller spaces evenly reach the keeper with the jitter of the network, and must
	// not be refused for it. It is half of the constant term of the rule.
	slack = 10
	// binLength is the resolution of the window in which a keeper counts its tokens.
	binLength = 50 * time.Millisecond
	// binCount bins span the window of the rule and the lifetime of a token.
	binCount = int((window + TokenLifetime) / binLength)
	// window is the time in which the rule bounds the requests of a workspace.
	window = 5 * time.Second
)

// bucket is the token bucket of a workspace at its keeper. Tokens that were given back
// may be lent again, since the window counts only those that were not. Its zero value
// is empty and has no quota.
type bucket struct {
	quota   mustardramp.Quota
	version mustardramp.Index
	// level is at most the capacity.
	level float64
	// filledAt is the time of level.
	filledAt time.Time
	// bins counts the tokens lent and not given back, by the time of lending. bins[0]
	// is the newest and began at binStart.
	bins     [binCount + 1]int
	binStart time.Time
	// lent is the sum of the bins.
	lent int
}

// capacity returns the most tokens that can be lent at once.
func capacity(q mustardramp.Quota) float64 {
	return float64(q.Burst) + slack
}

// configure replaces the quota unless that of a newer routing table is known. A lower
// burst applies to the level at once.
func (b *bucket) configure(now time.Time, q mustardramp.Quota, version mustardramp.Index) {
	if version < b.version {
		return
	}
	b.refill(now)
	b.quota, b.version = q, version
	b.level = min(b.level, capacity(q))
}

// refill adds the tokens due since the last call and moves the bins.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(capacity(b.quota), b.level+b.quota.Rate*elapsed.Seconds())
		b.filledAt = now
	}
	steps := int(now.Sub(b.binStart) / binLength)
	if steps <= 0 {
		return
	}
	if steps > binCount {
		b.bins, b.binStart, b.lent = [binCount + 1]int{}, now, 0
		return
	}
	for _, n := range b.bins[binCount+1-steps:] {
		b.lent -= n
	}
	copy(b.bins[steps:], b.bins[:binCount+1-steps])
	clear(b.bins[:steps])
	b.binStart = b.binStart.Add(time.Duration(steps) * binLength)
}

// take lends up to want tokens and returns their number.
func (b *bucket) take(now time.Time, want int) int {
	b.refill(now)
	n := max(0, min(want, int(b.level), b.windowRoom()))
	b.level -= float64(n)
	b.bins[0] += n
	b.lent += n
	return n
}

// windowRoom returns how many tokens the window still allows.
func (b *bucket) windowRoom() int {
	const span = time.Duration(binCount+1) * binLength
	return int(b.quota.Rate*span.Seconds()+capacity(b.quota)) - b.lent
}

// giveBack takes back tokens that no request used. They are taken from the oldest bins,
// so that later windows never count too few.
func (b *bucket) giveBack(now time.Time, n int) {
	b.refill(now)
	for i := binCount; i >= 0 && n > 0; i-- {
		k := min(n, b.bins[i])
		b.bins[i] -= k
		b.lent -= k
		b.level = min(capacity(b.quota), b.level+float64(k))
		n -= k
	}
}

// untilToken returns the time until the bucket expects a token.
func (b *bucket) untilToken() time.Duration {
	if b.quota.Rate <= 0 {
		return maxSilence
	}
	return time.Duration(max(0, 1-b.level) / b.quota.Rate * float64(time.Second))
}
