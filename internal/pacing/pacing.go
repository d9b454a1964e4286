// Package pacing limits the rate of long bodies on a slow link. Without it,
// concurrent uploads of tens of kilobytes on the link of one host delay every short
// message behind them, such as the lease requests of other hosts, for as long as
// their bytes take.
package pacing

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardramp/mustardramp"
)

const (
	// bodyShare is the share of a link's rate that all bodies may use together in
	// one direction. The rest is for answers and for the fleet's own calls.
	bodyShare = 0.6
	// chunkTime is the time that one chunk of a body takes on the link, and so the
	// longest time that a short message waits behind it.
	chunkTime = 10 * time.Millisecond
	// minChunkBytes limits the overhead of chunks on very slow links.
	minChunkBytes = 2 << 10
	// maxChunkBytes is the chunk size from which a link needs no pacing.
	maxChunkBytes = 64 << 10
)

// Link paces the bodies in one direction of a host's link. A nil Link doesn't limit
// them.
type Link struct {
	limiter *rate.Limiter
	chunk   int
}

// NewLink returns the pacing of a link with a rate in bytes per second. It returns
// nil when the rate is unknown (0 or less) or so high that no pacing is needed.
func NewLink(perSecond mustardramp.Bytes) *Link {
	chunk := int(float64(perSecond) * chunkTime.Seconds())
	if perSecond <= 0 || chunk >= maxChunkBytes {
		return nil
	}
	chunk = max(chunk, minChunkBytes)
	return &Link{limiter: rate.NewLimiter(rate.Limit(bodyShare*float64(perSecond)), chunk), chunk: chunk}
}

// Reader returns a reader that reads r in chunks at the rate of the link. It fails
// once the context ends.
func (l *Link) Reader(ctx context.Context, r io.Reader) io.Reader {
	if l == nil {
		return r
	}
	return &reader{ctx: ctx, link: l, r: r}
}

// reader paces the reads from r.
type reader struct {
	ctx  context.Context
	link *Link
	r    io.Reader
}

// Read reads at most one chunk and waits until the link has capacity for it.
func (p *reader) Read(b []byte) (int, error) {
	if len(b) > p.link.chunk {
		b = b[:p.link.chunk]
	}
	n, err := p.r.Read(b)
	if n == 0 || err != nil {
		return n, err
	}
	return n, p.link.limiter.WaitN(p.ctx, n)
}
