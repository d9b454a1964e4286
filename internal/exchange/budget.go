package exchange

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardramp/mustardramp"
)

const (
	// DefaultRate is the number of bytes a second that a host may send for
	// control on average.
	DefaultRate mustardramp.Bytes = 4096
	// summaryShare is the share of the rate that is kept for summaries; changes
	// may use it too.
	summaryShare = 3.0 / 8
	// burstTime is for how long a quiet host saves up bytes for changes.
	burstTime = 256 * time.Second
	// summaryBurstTime is for how long it saves up bytes for summaries.
	summaryBurstTime = 4 * time.Second
	// keptShare is the share of the saved bytes beyond which summaries may use
	// them too.
	keptShare = 7.0 / 8
	// reserveShare is the share of the saved bytes that pages of a catch-up
	// leave for news.
	reserveShare = 1.0 / 4
	// frameBytes is the cost of a message beside its payload.
	frameBytes = 100
	// wirePerByte is the length on the wire of a byte of payload, which JSON
	// carries in base64.
	wirePerByte = 4.0 / 3
)

// wireBytes returns the length of a message with a payload on the wire.
func wireBytes(payload int) int {
	return int(float64(payload)*wirePerByte) + frameBytes
}

// budget bounds the bytes that a host sends: over any span it sends at most
// the rate times the span, plus what it has saved up.
type budget struct {
	news      *rate.Limiter
	summaries *rate.Limiter
	reserve   float64
	spent     mustardramp.Bytes
}

func newBudget(bytesPerSecond mustardramp.Bytes) *budget {
	if bytesPerSecond == 0 {
		bytesPerSecond = DefaultRate
	}
	limiter := func(perSecond float64, save time.Duration) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*save.Seconds()))
	}
	total := float64(bytesPerSecond)
	b := &budget{
		news:      limiter(total*(1-summaryShare), burstTime),
		summaries: limiter(total*summaryShare, summaryBurstTime),
	}
	b.reserve = float64(b.news.Burst()) * reserveShare
	return b
}

// force spends bytes that must be sent, if need be in advance.
func (b *budget) force(now time.Time, n int) {
	b.draw(now, b.news, n)
}

// forNews returns how many bytes may be spent on changes and statements, forSummaries
// on summaries.
func (b *budget) forNews(now time.Time) float64 {
	return max(0, b.news.TokensAt(now)) + max(0, b.summaries.TokensAt(now))
}

func (b *budget) forSummaries(now time.Time) float64 {
	return max(0, b.summaries.TokensAt(now)) + b.surplus(now)
}

// surplus returns the bytes saved up for news beyond what is kept for them:
// what remains is for summaries.
func (b *budget) surplus(now time.Time) float64 {
	return max(0, b.news.TokensAt(now)-keptShare*float64(b.news.Burst()))
}

// spendNews spends bytes on changes and statements, from the share of the
// summaries when their own is spent.
func (b *budget) spendNews(now time.Time, n int) {
	borrowed := min(max(0, n-int(b.news.TokensAt(now))), int(max(0, b.summaries.TokensAt(now))))
	b.draw(now, b.summaries, borrowed)
	b.draw(now, b.news, n-borrowed)
}

// spendSummaries spends bytes on summaries.
func (b *budget) spendSummaries(now time.Time, n int) {
	own := min(n, int(max(0, b.summaries.TokensAt(now))))
	b.draw(now, b.summaries, own)
	b.draw(now, b.news, n-own)
}

// draw takes bytes from a bucket, if need be in advance.
func (b *budget) draw(now time.Time, from *rate.Limiter, n int) {
	b.spent += mustardramp.Bytes(n)
	from.ReserveN(now, min(n, from.Burst()))
}

// pageBytes returns how many bytes a page of a catch-up may have.
func (b *budget) pageBytes(now time.Time) int {
	return max(0, int(b.news.TokensAt(now)-b.reserve))
}

// pause returns the least time between two requests over a link: the less is
// left of the saved bytes, the more news a request collects.
func (b *budget) pause(now time.Time) time.Duration {
	used := 1 - b.news.TokensAt(now)/float64(b.news.Burst())
	return batchPause + time.Duration(min(1, max(0, used))*float64(longBatchPause-batchPause))
}
