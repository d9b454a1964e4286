package exchange

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultRate is the number of bytes per second that a host may send to its
	// peers on average.
	DefaultRate mustardramp.Bytes = 4096
	// summaryShare is the share of the rate that is reserved for summaries.
	// Updates may use it too. They are the records of changes, and statements,
	// which are the records of backends and hosts.
	summaryShare = 3.0 / 8
	// updateBurstTime is the time for which an idle host saves up bytes for
	// updates.
	updateBurstTime = 256 * time.Second
	// summaryBurstTime is the time for which it saves up bytes for summaries.
	summaryBurstTime = 4 * time.Second
	// updateReserveShare is the share of the bytes saved up for updates that
	// summaries may not use.
	updateReserveShare = 7.0 / 8
	// catchUpReserveShare is the share of the bytes saved up for updates that
	// pages of a catch-up may not use.
	catchUpReserveShare = 1.0 / 4
	// messageOverheadBytes is the length of a message on the wire without its
	// payload.
	messageOverheadBytes = 100
	// base64Expansion is the length on the wire of a byte of payload, which JSON
	// carries in base64.
	base64Expansion = 4.0 / 3
)

// wireBytes returns the length on the wire of a message with a payload of the
// given length.
func wireBytes(payload int) int {
	return int(float64(payload)*base64Expansion) + messageOverheadBytes
}

// budget bounds the bytes that a host sends. Over any span it sends at most the
// rate times the span, plus what it has saved up.
type budget struct {
	updates   *rate.Limiter
	summaries *rate.Limiter
	// extra holds further bytes for updates. Summaries may not use them: they would be
	// sent more often, and cost processor time, without being needed.
	extra          *rate.Limiter
	catchUpReserve float64
	spent          mustardramp.Bytes
}

func newBudget(bytesPerSecond mustardramp.Bytes) *budget {
	if bytesPerSecond == 0 {
		bytesPerSecond = DefaultRate
	}
	limiter := func(perSecond float64, window time.Duration) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*window.Seconds()))
	}
	total := float64(bytesPerSecond)
	b := &budget{
		updates:   limiter(total*(1-summaryShare), updateBurstTime),
		summaries: limiter(total*summaryShare, summaryBurstTime),
		extra:     limiter(0, 0),
	}
	b.catchUpReserve = float64(b.updates.Burst()) * catchUpReserveShare
	return b
}

// allowExtra adds a rate for updates.
func (b *budget) allowExtra(bytesPerSecond mustardramp.Bytes) {
	b.extra = rate.NewLimiter(rate.Limit(bytesPerSecond), int(float64(bytesPerSecond)*updateBurstTime.Seconds()))
}

// forceSpend spends bytes that must be sent, even if they are not available yet.
func (b *budget) forceSpend(now time.Time, n int) {
	extra := b.spendExtra(now, n-int(max(0, b.updates.TokensAt(now))))
	b.draw(now, b.updates, n-extra)
}

// spendExtra spends up to n bytes of the extra rate and returns their number.
func (b *budget) spendExtra(now time.Time, n int) int {
	n = max(0, min(n, int(b.extra.TokensAt(now))))
	b.draw(now, b.extra, n)
	return n
}

// availableForUpdates returns how many bytes may be spent on changes and
// statements.
func (b *budget) availableForUpdates(now time.Time) float64 {
	return max(0, b.updates.TokensAt(now)) + max(0, b.summaries.TokensAt(now)) + max(0, b.extra.TokensAt(now))
}

// availableForSummaries returns how many bytes may be spent on summaries.
func (b *budget) availableForSummaries(now time.Time) float64 {
	return max(0, b.summaries.TokensAt(now)) + b.surplus(now)
}

// surplus returns the bytes saved up for updates beyond their reserve. Summaries
// may use them.
func (b *budget) surplus(now time.Time) float64 {
	return max(0, b.updates.TokensAt(now)-updateReserveShare*float64(b.updates.Burst()))
}

// spendUpdates spends bytes on changes and statements: from their own share, then from
// the extra rate, and from the share of the summaries once both are spent.
func (b *budget) spendUpdates(now time.Time, n int) {
	n -= b.spendExtra(now, n-int(max(0, b.updates.TokensAt(now))))
	borrowed := min(max(0, n-int(b.updates.TokensAt(now))), int(max(0, b.summaries.TokensAt(now))))
	b.draw(now, b.summaries, borrowed)
	b.draw(now, b.updates, n-borrowed)
}

// spendSummaries spends bytes on summaries, from the share of the updates once
// their own share is spent.
func (b *budget) spendSummaries(now time.Time, n int) {
	own := min(n, int(max(0, b.summaries.TokensAt(now))))
	b.draw(now, b.summaries, own)
	b.draw(now, b.updates, n-own)
}

// draw takes bytes from a limiter, even if they are not available yet.
func (b *budget) draw(now time.Time, from *rate.Limiter, n int) {
	b.spent += mustardramp.Bytes(n)
	from.ReserveN(now, min(n, from.Burst()))
}

// pageBytes returns how many bytes may be spent on a page of a catch-up.
func (b *budget) pageBytes(now time.Time) int {
	return max(0, int(b.updates.TokensAt(now)+b.extra.TokensAt(now)-b.catchUpReserve))
}

// requestPause returns the least time between two requests over a link. The fewer
// of the saved bytes are left, the more updates a request collects.
func (b *budget) requestPause(now time.Time) time.Duration {
	used := 1 - b.updates.TokensAt(now)/float64(b.updates.Burst())
	return minBatchPause + time.Duration(min(1, max(0, used))*float64(maxBatchPause-minBatchPause))
}
