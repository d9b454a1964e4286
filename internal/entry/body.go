package entry

import (
	"bytes"
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

// Bounds of request bodies that the host holds.
const (
	// ReplayLimit is the longest body that can be sent a second time.
	ReplayLimit = 64 << 10
	// KeyedLimit is the longest body of a request with an operation key. The
	// ledger takes the body's digest before a byte is dispatched.
	KeyedLimit = 1 << 20
	// DefaultMemory bounds the bytes of all bodies held at one time.
	DefaultMemory mustardramp.Bytes = 64 << 20
)

// DefaultStall is the longest time without a byte in a body.
const DefaultStall = 60 * time.Second

// errUpload is the class of errors for a caller that did not send its body.
var errUpload = errs.Class("upload")

// body is a request's body: held whole, or a stream that is read once.
type body struct {
	// held is the whole body when stream is nil.
	held []byte
	// reserved is what the body takes of the handler's memory.
	reserved int64
	stream   *upload
}

// replayable reports whether the body can be sent by another attempt.
func (b *body) replayable() bool {
	return b.stream == nil || !b.stream.used.Load()
}

// size returns the length in bytes, or -1.
func (b *body) size(r *http.Request) mustardramp.Bytes {
	if b.stream == nil {
		return mustardramp.Bytes(len(b.held))
	}
	return mustardramp.Bytes(r.ContentLength)
}

// upload reads a caller's body for one attempt.
type upload struct {
	source  io.Reader
	control *http.ResponseController
	stall   time.Duration
	used    atomic.Bool
	// failed is true once the caller did not deliver what it announced.
	failed atomic.Bool
	// done is true once the body was read to its end.
	done atomic.Bool
}

// Read reads from the caller, and fails when it stalls.
func (u *upload) Read(p []byte) (int, error) {
	u.used.Store(true)
	_ = u.control.SetReadDeadline(time.Now().Add(u.stall))
	n, err := u.source.Read(p)
	if err == nil {
		return n, nil
	}
	_ = u.control.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		u.done.Store(true)
		return n, err
	}
	u.failed.Store(true)
	return n, errUpload.Wrap(err)
}

// Close leaves the caller's body open: the server closes it after the
// request, and another attempt may still read it.
func (u *upload) Close() error {
	return nil
}

// readBody holds the body when it is small or belongs to a keyed operation,
// and leaves it a stream otherwise.
func (x *exchange) readBody() *mustardramp.Denial {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	stream := &upload{source: x.h.inbound.Reader(x.r.Context(), x.r.Body), control: x.control(), stall: x.h.config.Stall}
	length := x.r.ContentLength
	if x.key == "" && (length < 0 || length > ReplayLimit) {
		x.streamBody(stream)
		return nil
	}
	if length > KeyedLimit {
		return keyedTooLong()
	}
	if !x.reserve(length) {
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
	return x.hold(stream, length)
}

// streamBody passes the body on as it comes. The backend may answer before the
// whole body has been read.
func (x *exchange) streamBody(stream *upload) {
	_ = stream.control.EnableFullDuplex()
	x.body.stream = stream
}

func keyedTooLong() *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindBodyTooLarge,
		Reason: "the body of a request with an operation key is longer than the host can hold",
		Facts:  []mustardramp.Fact{{Name: "limit", Value: strconv.Itoa(KeyedLimit)}},
	}
}

// reserve takes memory for a body; an unknown length takes KeyedLimit.
func (x *exchange) reserve(length int64) bool {
	if length < 0 {
		length = KeyedLimit
	}
	if x.h.held.Add(length) > int64(x.h.config.Memory) {
		x.h.held.Add(-length)
		return false
	}
	x.body.reserved = length
	return true
}

func (x *exchange) hold(stream *upload, length int64) *mustardramp.Denial {
	var err error
	if length >= 0 {
		x.body.held = make([]byte, length)
		_, err = io.ReadFull(stream, x.body.held)
		_ = stream.control.SetReadDeadline(time.Time{})
	} else {
		x.body.held, err = io.ReadAll(io.LimitReader(stream, KeyedLimit+1))
	}
	if err != nil {
		return &mustardramp.Denial{Kind: mustardramp.KindCallerGone, Reason: "the request's body ended early"}
	}
	if len(x.body.held) > KeyedLimit {
		return keyedTooLong()
	}
	return nil
}

// releaseBody gives back the memory of the body.
func (x *exchange) releaseBody() {
	x.h.held.Add(-x.body.reserved)
	x.body.reserved = 0
}

// digest names the request: method, target and body.
func (x *exchange) digest() mustardramp.Digest {
	sum := sha256.New()
	_, _ = io.WriteString(sum, x.r.Method+" "+x.r.URL.RequestURI()+"\n")
	_, _ = sum.Write(x.body.held)
	var digest mustardramp.Digest
	sum.Sum(digest[:0])
	return digest
}

// attach sets the body of an attempt. It never offers the transport a way to
// read the body a second time.
func (x *exchange) attach(out *http.Request) {
	out.Body = http.NoBody
	switch {
	case x.body.stream != nil:
		out.Body = x.body.stream
		out.ContentLength = x.r.ContentLength
		out.Trailer = x.r.Trailer
	case len(x.body.held) > 0:
		out.Body = io.NopCloser(x.h.outbound.Reader(out.Context(), bytes.NewReader(x.body.held)))
		out.ContentLength = int64(len(x.body.held))
		if len(x.r.Trailer) > 0 {
			// Trailers need a chunked body.
			out.ContentLength = -1
			out.Trailer = x.r.Trailer
		}
	}
}
