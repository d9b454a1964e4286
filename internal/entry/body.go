package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Limits on the request bodies that the host buffers.
const (
	// MaxBufferedBytes is the length of the longest body without an operation key that
	// is read in full before the request asks for a slot.
	MaxBufferedBytes = 64 << 10
	// MaxKeyedBytes is the length of the longest body of a request with an
	// operation key. The ledger needs the digest of the body before a byte is
	// sent.
	MaxKeyedBytes = 1 << 20
	// DefaultBodyMemory limits the bytes of all bodies buffered at one time.
	DefaultBodyMemory mustardramp.Bytes = 64 << 20
)

// DefaultStallTimeout is the longest time without progress in a body.
const DefaultStallTimeout = 60 * time.Second

var (
	// errUpload is the class of errors for a caller that did not send its whole body.
	errUpload       = errs.Class("upload")
	errNoBodyMemory = errs.New("the host holds as many request bodies as it may")
)

// body is a request body, either buffered or forwarded while it arrives.
type body struct {
	// buffered is the whole body if upload is nil.
	buffered []byte
	// reservedBytes is the share of buffered in the handler's body memory.
	reservedBytes int64
	upload        *upload
}

// canReplay reports whether another attempt can send the body.
func (b *body) canReplay() bool {
	return b.upload == nil || b.upload.canReplay()
}

// isWhole reports whether the body has been read to its end.
func (b *body) isWhole() bool {
	return b.upload == nil || b.upload.isWhole()
}

// size returns the length in bytes, or -1 if unknown.
func (b *body) size(r *http.Request) mustardramp.Bytes {
	if b.upload == nil {
		return mustardramp.Bytes(len(b.buffered))
	}
	return mustardramp.Bytes(r.ContentLength)
}

// callerBody reads the body from the caller.
type callerBody struct {
	// source is the request's body, paced on the host's link.
	source     io.Reader
	controller *http.ResponseController
	// root ends when the requests in flight are aborted.
	root         context.Context
	stallTimeout time.Duration
	// onEnd is called when the body has been read to its end. The trailers of the
	// request are then known.
	onEnd func()
	// cancel ends a read that waits for its turn on the link.
	cancel context.CancelFunc
	// stopWatch ends the wait for an abort of the requests in flight.
	stopWatch func() bool

	mu sync.Mutex
	// isInterrupted is true once reads must not wait for the caller any more.
	isInterrupted bool
}

func (x *exchange) newCallerBody() *callerBody {
	ctx, cancel := context.WithCancel(x.r.Context())
	b := &callerBody{
		source:       x.h.inbound.Reader(ctx, x.r.Body),
		controller:   x.responseController(),
		root:         x.h.root,
		stallTimeout: x.h.config.StallTimeout,
		onEnd:        x.removeWorkspaceTrailers,
		cancel:       cancel,
	}
	b.stopWatch = context.AfterFunc(x.r.Context(), b.interruptIfAborted)
	return b
}

// Read reads from the caller, and fails if the caller stalls.
func (b *callerBody) Read(p []byte) (int, error) {
	b.extendDeadline()
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	_ = b.controller.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		b.onEnd()
		return n, err
	}
	return n, errUpload.Wrap(err)
}

func (b *callerBody) extendDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isInterrupted {
		_ = b.controller.SetReadDeadline(time.Now().Add(b.stallTimeout))
	}
}

// interruptIfAborted ends a Read that waits for the caller if the requests in flight
// were aborted.
func (b *callerBody) interruptIfAborted() {
	if b.root.Err() != nil {
		b.interrupt()
	}
}

// interrupt ends a Read that waits for the caller.
func (b *callerBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isInterrupted = true
	b.cancel()
	_ = b.controller.SetReadDeadline(time.Now())
}

// close must be called once no Read is in progress. The server closes the request's body.
func (b *callerBody) close() {
	b.stopWatch()
	b.cancel()
	_ = b.controller.SetReadDeadline(time.Time{})
}

// readBody buffers the body if it is short or belongs to a keyed operation, and
// forwards it while it arrives otherwise.
func (x *exchange) readBody() *mustardramp.Denial {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.bodyLimit(); limit > 0 && x.r.ContentLength < 0 {
		// Reads may run beside the handler, so the reader must not change the response.
		x.r.Body = http.MaxBytesReader(nil, x.r.Body, int64(limit))
	}
	x.removeWorkspaceTrailers()
	source := x.newCallerBody()
	length := x.r.ContentLength
	isShort := length >= 0 && length <= MaxBufferedBytes
	if x.key == "" && (!isShort || !x.reserveMemory(length)) {
		x.startUpload(source)
		return nil
	}
	defer source.close()
	switch {
	case length > MaxKeyedBytes:
		return keyedBodyTooLarge()
	case x.key != "" && !x.reserveMemory(length):
		return noBodyMemoryDenial()
	}
	return x.bufferBody(source, length)
}

func noBodyMemoryDenial() *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindQueueFull,
		Reason:     errNoBodyMemory.Error(),
		RetryAfter: time.Second,
	}
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
	if !x.h.reserveBody(length, length) {
		return false
	}
	x.body.reservedBytes = length
	return true
}

// reserveBody reserves n more bytes for a body of which total bytes are held with them,
// and reports whether there was room.
func (h *Handler) reserveBody(n, total int64) bool {
	if h.heldBodyBytes.Add(n) > int64(h.config.BodyMemory) {
		h.heldBodyBytes.Add(-n)
		return false
	}
	if !h.config.Account.Reserve(mustardramp.Bytes(n), mustardramp.Bytes(total)) {
		h.heldBodyBytes.Add(-n)
		return false
	}
	return true
}

// holdBody reserves n bytes for a body even if there is no room.
func (h *Handler) holdBody(n int64) {
	h.heldBodyBytes.Add(n)
	h.config.Account.Hold(mustardramp.Bytes(n))
}

// releaseBody releases n bytes that were reserved for a body.
func (h *Handler) releaseBody(n int64) {
	h.heldBodyBytes.Add(-n)
	h.config.Account.Release(mustardramp.Bytes(n))
}

func (x *exchange) bufferBody(source *callerBody, length int64) *mustardramp.Denial {
	var err error
	if length >= 0 {
		x.body.buffered = make([]byte, length)
		_, err = io.ReadFull(source, x.body.buffered)
	} else {
		x.body.buffered, err = io.ReadAll(io.LimitReader(source, MaxKeyedBytes+1))
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
	x.h.releaseBody(x.body.reservedBytes)
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

// setRequestBody sets the body of the attempt's request. It leaves GetBody unset,
// so that the transport cannot read the body a second time.
func (a *attempt) setRequestBody(out *http.Request) {
	x := a.x
	out.Body = http.NoBody
	switch {
	case x.body.upload != nil:
		a.upload = x.body.upload.newReader()
		out.Body = pacedUpload{x.h.outbound.Reader(out.Context(), a.upload), a.upload}
		out.ContentLength = x.r.ContentLength
		out.Trailer = a.upload.trailer
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

// pacedUpload reads an upload at the rate of the host's link.
type pacedUpload struct {
	io.Reader
	io.Closer
}
