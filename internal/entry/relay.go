package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// bufferSize is the most of an answer that the host holds before it passes
	// a byte on, and the length of the pieces of longer ones.
	bufferSize = 64 << 10
	// KeepLimit is the longest answer that the ledger is given.
	KeepLimit = 16 << 10
)

// answer is a backend's whole answer.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
}

// receive judges a backend's answer and relays it.
func (a *attempt) receive(response *http.Response) *outcome {
	defer response.Body.Close()
	x := a.x
	x.sends++
	a.status = response.StatusCode
	a.restoreConnection(response)
	if result, ok := a.shed(response); ok {
		denial := a.shedDenial(response)
		a.release(result)
		return &outcome{denial: denial, repeatable: true}
	}
	if reason := a.foreign(response); reason != "" {
		a.wire.fence()
		x.mayHaveRun()
		a.release(mustardramp.ResultFalse)
		return a.spoiled(mustardramp.KindBadAnswer, reason, nil)
	}
	x.ran()
	if x.route.Whole && closeDelimited(response) {
		a.release(mustardramp.ResultFalse)
		return a.spoiled(mustardramp.KindBadAnswer, "the end of the backend's answer cannot be told from a cut", nil)
	}
	return a.take(response)
}

// closeDelimited reports whether only the end of the connection ends the body.
func closeDelimited(response *http.Response) bool {
	return response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 &&
		response.ProtoMajor < 2 &&
		response.Body != http.NoBody
}

// spoiled is an answer that cannot be relayed. The backend did answer, so the
// request ran; only idempotent work may be sent again.
func (a *attempt) spoiled(kind mustardramp.RefusalKind, reason string, err error) *outcome {
	text := "none"
	if err != nil {
		text = err.Error()
	}
	a.x.settleRan(nil)
	return &outcome{
		denial:     &mustardramp.Denial{Kind: kind, Reason: reason, Facts: a.facts("error", text)},
		repeatable: a.x.route.Idempotent(),
	}
}

// take reads the start of the body. A short answer is known to be whole before
// the caller sees a byte of it; a longer one is passed on piece by piece.
func (a *attempt) take(response *http.Response) *outcome {
	buf := a.x.h.buffers.Get().(*[]byte)
	defer a.x.h.buffers.Put(buf)
	b := &inflow{a: a, response: response, expect: a.expectation(response)}
	if !a.holds(response) {
		return a.stream(b, *buf, 0)
	}
	n, err := b.fill(*buf)
	switch {
	case err == nil:
		return a.stream(b, *buf, n)
	case !errors.Is(err, io.EOF):
		result, kind, reason := a.judgeCut()
		a.release(result)
		return a.spoiled(kind, reason, err)
	case !b.expect.met():
		a.release(mustardramp.ResultFalse)
		return a.spoiled(mustardramp.KindBadAnswer, "the answer fails its own digest", nil)
	}
	return a.whole(response, (*buf)[:n])
}

// holds reports whether the start of the answer is held back until it fills
// the buffer.
func (a *attempt) holds(response *http.Response) bool {
	return response.ContentLength >= 0 || a.x.route.Whole || a.x.claim != nil || a.x.route.Tabled()
}

// expectation returns the digest that the answer must have. The answer to a
// HEAD request describes a body that is not there.
func (a *attempt) expectation(response *http.Response) *expectation {
	if a.x.r.Method == http.MethodHead || response.StatusCode == http.StatusNotModified {
		return nil
	}
	return expectDigest(response.Header)
}

// judgeCut says what a body that broke off shows.
func (a *attempt) judgeCut() (mustardramp.Result, mustardramp.RefusalKind, string) {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errCut):
		return mustardramp.ResultAbandoned, mustardramp.KindStopping, "the host was stopped at once"
	case errors.Is(cause, errStall), errors.Is(cause, errTimeout):
		return mustardramp.ResultTimeout, mustardramp.KindCut, "the backend's answer stalled"
	case !a.x.route.Once && a.x.r.Context().Err() != nil:
		return mustardramp.ResultAbandoned, mustardramp.KindCallerGone, "the caller went away"
	default:
		return mustardramp.ResultCut, mustardramp.KindCut, "the backend's answer ended before it was whole"
	}
}

// whole relays an answer that is held in full.
func (a *attempt) whole(response *http.Response, body []byte) *outcome {
	x := a.x
	result := resultOf(response.StatusCode)
	a.release(result)
	if result == mustardramp.ResultError && x.route.Idempotent() && x.mayHold() {
		return &outcome{
			repeatable: true,
			denial:     &mustardramp.Denial{Kind: mustardramp.KindBadAnswer, Reason: "the backend failed", Facts: a.facts("status", strconv.Itoa(response.StatusCode))},
			answer: &answer{
				status:  response.StatusCode,
				header:  response.Header,
				body:    append([]byte(nil), body...),
				trailer: response.Trailer,
			},
		}
	}
	x.relayHeld(&answer{status: response.StatusCode, header: response.Header, body: body, trailer: response.Trailer})
	return &outcome{relayed: true}
}

// mayHold reports whether another attempt could replace a failed answer.
func (x *exchange) mayHold() bool {
	return x.sends < x.attemptLimit() && x.body.replayable()
}

func resultOf(status int) mustardramp.Result {
	if status >= http.StatusInternalServerError {
		return mustardramp.ResultError
	}
	return mustardramp.ResultGood
}

// relayHeld writes a whole answer, then has its outcome recorded.
func (x *exchange) relayHeld(ans *answer) {
	x.writeHeader(ans.status, ans.header, ans.trailer)
	if x.r.Method != http.MethodHead {
		x.write(ans.body)
	}
	x.writeTrailer(ans.trailer)
	if x.claim != nil {
		x.flush()
		x.settleRan(ans)
	}
}

// stream relays a longer answer. The last piece is held back until the body
// is known to be whole, so that a caller never takes a cut one for whole.
func (a *attempt) stream(b *inflow, buf []byte, n int) *outcome {
	x := a.x
	response := b.response
	x.writeHeader(response.StatusCode, response.Header, response.Trailer)
	if response.ContentLength < 0 {
		x.flush()
	}
	err := x.pump(b, buf, n)
	x.settleRan(nil)
	if err != nil {
		a.cut(err)
	}
	a.release(resultOf(response.StatusCode))
	x.writeTrailer(response.Trailer)
	return &outcome{relayed: true}
}

// pump passes pieces on until the body ends. The last bytes of a body with a
// digest stay back until the digest has been compared.
func (x *exchange) pump(b *inflow, buf []byte, n int) error {
	flush := b.response.ContentLength < 0
	for {
		held := b.hold(buf[:n])
		if err := x.send(buf[:n-held], flush); err != nil {
			return err
		}
		copy(buf, buf[n-held:n])
		m, err := b.read(buf[held:])
		n = held + m
		if errors.Is(err, io.EOF) {
			if !b.expect.met() {
				return errFalseDigest
			}
			return x.send(buf[:n], flush)
		}
		if err != nil {
			return err
		}
	}
}

// send passes a piece on. The caller of non-idempotent work may leave; its
// backend's answer is then read to the end without it.
func (x *exchange) send(p []byte, flush bool) error {
	if len(p) == 0 {
		return nil
	}
	_, err := x.write(p)
	if flush && err == nil {
		x.flush()
	}
	if err != nil && !x.route.Once {
		return errCallerLost.Wrap(err)
	}
	return nil
}

// cut ends an answer that has begun but is not whole. The caller's connection
// is aborted, so that the caller sees the cut.
func (a *attempt) cut(err error) {
	result, kind, reason := a.judgeCut()
	switch {
	case errors.Is(err, errFalseDigest):
		result, kind, reason = mustardramp.ResultFalse, mustardramp.KindBadAnswer, "the answer fails its own digest"
	case errCallerLost.Has(err):
		result, kind, reason = mustardramp.ResultAbandoned, mustardramp.KindCallerGone, "the caller went away"
	}
	a.release(result)
	a.x.refuse(&mustardramp.Denial{Kind: kind, Reason: reason, Facts: a.facts("error", err.Error())})
	panic(http.ErrAbortHandler)
}

// writeHeader starts the answer to the caller.
func (x *exchange) writeHeader(status int, from, trailer http.Header) {
	target := x.w.Header()
	pass(target, from)
	for name := range trailer {
		target.Add("Trailer", name)
	}
	x.begin(status)
}

// begin writes the status line. The deadline holds for what the server writes
// by itself as well, and one from an earlier request may still be set.
func (x *exchange) begin(status int) {
	x.begun = true
	x.extendWrite()
	x.w.WriteHeader(status)
}

func (x *exchange) extendWrite() {
	_ = x.control().SetWriteDeadline(time.Now().Add(x.h.config.Stall))
}

func (x *exchange) write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	x.extendWrite()
	n, err := x.w.Write(p)
	x.sent += mustardramp.Bytes(n)
	return n, err
}

func (x *exchange) flush() {
	_ = x.control().Flush()
}

// writeTrailer sets the trailers. Those that the backend did not announce go
// without an announcement too.
func (x *exchange) writeTrailer(trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	target := x.w.Header()
	announced := target["Trailer"]
	for name, values := range forwardable(trailer) {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		target[name] = values
	}
}

// inflow reads a backend's body and ends the attempt when it stalls.
type inflow struct {
	a        *attempt
	response *http.Response
	expect   *expectation
}

func (b *inflow) read(p []byte) (int, error) {
	b.a.due.Reset(b.a.x.patience())
	n, err := b.response.Body.Read(p)
	// The time that a slow caller takes is not the backend's.
	b.a.due.Stop()
	b.expect.write(p[:n])
	return n, err
}

// patience returns how long the next byte of an answer may take. A route of a
// routing table bounds the whole answer, a contract's only its start.
func (x *exchange) patience() time.Duration {
	stall := x.h.config.Stall
	if !x.route.Tabled() {
		return stall
	}
	return max(0, min(stall, x.deadline.Sub(x.h.config.Clock.Now())))
}

// fill reads until the buffer is full or the body ends; the end is io.EOF.
func (b *inflow) fill(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := b.read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// hold returns how many of the bytes wait for the digest.
func (b *inflow) hold(p []byte) int {
	if b.expect == nil {
		return 0
	}
	return min(len(p), 1)
}

func logCut(r *mustardramp.Refusal) {
	klog.InfoS("answer-cut", refusalFields(r)...)
}
