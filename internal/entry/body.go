package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Limits on the request bodies that the host buffers.
const (
	// MaxReplayBytes is the length of the longest body that can be sent again.
	MaxReplayBytes = 64 << 10
	// MaxKeyedBytes is the length of the longest body of a request with an
	// operation key. The ledger needs the digest of the body before a byte is
	// sent.
	MaxKeyedBytes = 1 << 20
	// DefaultBodyMemory limits the bytes of all bodies buffered at one time.
	DefaultBodyMemory mustardramp.Bytes = 64 << 20
)

// DefaultStallTimeout is the longest time without progress in a body.
const DefaultStallTimeout = 60 * time.Second

// errUpload is the class of errors for a caller that did not send its whole
// body.
var errUpload = errs.Class("upload")

// body is a request body, either buffered or a stream that is read once.
type body struct {
	// buffered is the whole body if stream is nil.
	buffered []byte
	// reservedBytes is the body's share of the handler's body memory.
	reservedBytes int64
	stream        *uploadReader
}

// canReplay reports whether another attempt can send the body.
func (b *body) canReplay() bool {
	return b.stream == nil || !b.stream.used.Load()
}

// size returns the length in bytes, or -1 if unknown.
func (b *body) size(r *http.Request) mustardramp.Bytes {
	if b.stream == nil {
		return mustardramp.Bytes(len(b.buffered))
	}
	return mustardramp.Bytes(r.ContentLength)
}

// uploadReader reads a caller's body for one attempt.
type uploadReader struct {
	source     io.Reader
	controller *http.ResponseController
	// root ends when the requests in flight are aborted.
	root         context.Context
	stallTimeout time.Duration
	used         atomic.Bool
	// failed is true if the caller did not send the whole body.
	failed atomic.Bool
	// done is true once the body has been read to its end.
	done atomic.Bool
	// onEnd is called when the body has been read to its end. The trailers of the
	// request are then known.
	onEnd func()
}

// Read reads from the caller, and fails if the caller stalls.
func (u *uploadReader) Read(p []byte) (int, error) {
	u.used.Store(true)
	_ = u.controller.SetReadDeadline(time.Now().Add(u.stallTimeout))
	if u.root.Err() != nil {
		// interrupt may have run before the deadline was set.
		u.interrupt()
	}
	n, err := u.source.Read(p)
	if err == nil {
		return n, nil
	}
	_ = u.controller.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		u.onEnd()
		u.done.Store(true)
		return n, err
	}
	u.failed.Store(true)
	return n, errUpload.Wrap(err)
}

// interruptIfAborted ends a Read that waits for the caller if the requests in flight
// were aborted.
func (u *uploadReader) interruptIfAborted() {
	if u.root.Err() != nil {
		u.interrupt()
	}
}

// interrupt ends a Read that waits for the caller.
func (u *uploadReader) interrupt() {
	_ = u.controller.SetReadDeadline(time.Now())
}

// Close leaves the caller's body open: the server closes it after the
// request, and another attempt may still read from it.
func (u *uploadReader) Close() error {
	return nil
}

// readBody buffers the body if it is short or belongs to a keyed operation, and
// streams it otherwise.
func (x *exchange) readBody() *mustardramp.Denial {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.bodyLimit(); limit > 0 && x.r.ContentLength < 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, int64(limit))
	}
	stream := &uploadReader{source: x.h.inbound.Reader(x.r.Context(), x.r.Body), controller: x.responseController(), root: x.h.root, stallTimeout: x.h.config.StallTimeout, onEnd: x.removeWorkspaceTrailers}
	x.removeWorkspaceTrailers()
	context.AfterFunc(x.r.Context(), stream.interruptIfAborted)
	length := x.r.ContentLength
	if x.key == "" && (length < 0 || length > MaxReplayBytes) {
		x.streamBody(stream)
		return nil
	}
	if length > MaxKeyedBytes {
		return keyedBodyTooLarge()
	}
	if !x.reserveMemory(length) {
		if x.key == "" {
			x.streamBody(stream)
			return nil
		}
		return &mustardramp.Denial{
			Kind:       mustardramp.KindQueueFull,
			Reason:     "the host holds as many request bodies as it may",
			RetryAfter: time.Second,
		}
	}
	return x.bufferBody(stream, length)
}

// streamBody forwards the body as it arrives. The backend may respond before
// the whole body has been read.
func (x *exchange) streamBody(stream *uploadReader) {
	_ = stream.controller.EnableFullDuplex()
	x.body.stream = stream
}

func keyedBodyTooLarge() *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindBodyTooLarge,
		Reason: "the body of a request with an operation key is longer than the host can hold",
		Facts:  []mustardramp.Fact{{Name: "limit", Value: strconv.Itoa(MaxKeyedBytes)}},
	}
}

// reserveMemory reserves memory for a body. A body of unknown length reserves
// MaxKeyedBytes.
func (x *exchange) reserveMemory(length int64) bool {
	if length < 0 {
		length = MaxKeyedBytes
	}
	if x.h.heldBodyBytes.Add(length) > int64(x.h.config.BodyMemory) {
		x.h.heldBodyBytes.Add(-length)
		return false
	}
	if !x.h.config.Account.Reserve(mustardramp.Bytes(length), mustardramp.Bytes(length)) {
		x.h.heldBodyBytes.Add(-length)
		return false
	}
	x.body.reservedBytes = length
	return true
}

func (x *exchange) bufferBody(stream *uploadReader, length int64) *mustardramp.Denial {
	var err error
	if length >= 0 {
		x.body.buffered = make([]byte, length)
		_, err = io.ReadFull(stream, x.body.buffered)
		_ = stream.controller.SetReadDeadline(time.Time{})
	} else {
		x.body.buffered, err = io.ReadAll(io.LimitReader(stream, MaxKeyedBytes+1))
	}
	if err != nil && x.h.root.Err() != nil {
		return x.interruptedDenial(x.h.root)
	}
	if err != nil {
		return &mustardramp.Denial{Kind: mustardramp.KindCallerGone, Reason: "the request's body ended early"}
	}
	if len(x.body.buffered) > MaxKeyedBytes {
		return keyedBodyTooLarge()
	}
	return nil
}

// releaseBodyMemory releases the memory reserved for the body.
func (x *exchange) releaseBodyMemory() {
	x.h.heldBodyBytes.Add(-x.body.reservedBytes)
	x.h.config.Account.Release(mustardramp.Bytes(x.body.reservedBytes))
	x.body.reservedBytes = 0
}

// requestDigest returns the digest of the request's method, target and body.
func (x *exchange) requestDigest() mustardramp.Digest {
	sum := sha256.New()
	_, _ = io.WriteString(sum, x.r.Method+" "+x.r.URL.RequestURI()+"\n")
	_, _ = sum.Write(x.body.buffered)
	var digest mustardramp.Digest
	sum.Sum(digest[:0])
	return digest
}

// setRequestBody sets the body of an attempt's request. It leaves GetBody unset,
// so that the transport cannot read the body a second time.
func (x *exchange) setRequestBody(out *http.Request) {
	out.Body = http.NoBody
	switch {
	case x.body.stream != nil:
		out.Body = x.body.stream
		out.ContentLength = x.r.ContentLength
		out.Trailer = x.r.Trailer
	case len(x.body.buffered) > 0:
		out.Body = io.NopCloser(x.h.outbound.Reader(out.Context(), bytes.NewReader(x.body.buffered)))
		out.ContentLength = int64(len(x.body.buffered))
		if len(x.r.Trailer) > 0 {
			// Trailers require a chunked body.
			out.ContentLength = -1
			out.Trailer = x.r.Trailer
		}
	}
}
