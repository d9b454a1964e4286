// Package pacing keeps long bodies from filling a thin link. It answers the load
// in which uploads of tens of kilobytes meet on the link of one host: each would
// hold back every short message behind it, the questions of other hosts for a
// slot among them, for as long as its bytes take.
package pacing

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardramp/mustardramp"
)

const (
	// share is the part of a link's rate that bodies use together in one
	// direction. The rest is for answers and for the fleet's own calls.
	share = 0.6
	// pieceTime is the time that one piece of a body takes on the link: a short
	// message waits no longer behind it.
	pieceTime = 10 * time.Millisecond
	// leastPiece bounds the cost of pieces on very thin links.
	leastPiece = 2 << 10
	// mostPiece is the longest piece, that of a link that needs no pacing.
	mostPiece = 64 << 10
)

// Link paces bodies over one direction of a host's link. A nil Link lets them
// pass.
type Link struct {
	limiter *rate.Limiter
	piece   int
}

// NewLink returns the pacing of a link with a rate a second, or nil where none
// is needed: the rate is not known, or is so high that a piece has no bound.
func NewLink(perSecond mustardramp.Bytes) *Link {
	piece := int(float64(perSecond) * pieceTime.Seconds())
	if perSecond <= 0 || piece >= mostPiece {
		return nil
	}
	piece = max(piece, leastPiece)
	return &Link{limiter: rate.NewLimiter(rate.Limit(share*float64(perSecond)), piece), piece: piece}
}

// Reader returns a reader that takes pieces of a body as the link has room for
// them. It fails once the context ends.
func (l *Link) Reader(ctx context.Context, r io.Reader) io.Reader {
	if l == nil {
		return r
	}
	return &reader{ctx: ctx, link: l, r: r}
}

type reader struct {
	ctx  context.Context
	link *Link
	r    io.Reader
}

// Read reads at most one piece.
func (p *reader) Read(b []byte) (int, error) {
	if len(b) > p.link.piece {
		b = b[:p.link.piece]
	}
	n, err := p.r.Read(b)
	if n == 0 || err != nil {
		return n, err
	}
	return n, p.link.limiter.WaitN(p.ctx, n)
}
