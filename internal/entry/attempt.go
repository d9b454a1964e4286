package entry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

var (
	errTimeout              = errs.New("no answer before the deadline")
	errStall                = errs.New("no byte of the answer came in time")
	errAborted              = errs.New("the operator cut the requests in flight")
	errTooManyInformational = errs.New("more informational answers than a backend may send")
	errWithdrawn            = errs.New("the backend takes no more requests of this host")
	errKeyChanged           = errs.New("the key was removed before a byte left")
)

// maxInformational limits the informational (1xx) responses before the final
// one. One or two are usual, and each is read in full and forwarded.
const maxInformational = 16

// maxWatchedBodyBytes is the length up to which a request body is sent at once,
// so that a missing response points to a hanging backend.
const maxWatchedBodyBytes = 64 << 10

// outcome describes how an attempt ended.
type outcome struct {
	// relayed is true if the response, or the start of it, was relayed to the
	// caller.
	relayed bool
	// retryable is true if another attempt is safe: the contract allows it, or
	// the request provably did not run.
	retryable bool
	// unsent is true if no byte was sent. Another attempt then adds no load to
	// the service and costs no retry budget.
	unsent bool
	// denial describes the failure. It is set unless relayed is true.
	denial *mustardramp.Denial
	// withheldResponse is a complete error response that is relayed if no
	// further attempt is possible.
	withheldResponse *bufferedResponse
}

// attempt is the dispatch of a request to one backend.
type attempt struct {
	x       *exchange
	slot    mustardramp.Slot
	backend mustardramp.Backend
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// timer cancels the attempt: at the deadline until the response starts, and
	// after the stall timeout without a byte from then on.
	timer *time.Timer
	// responseStarted is true once the header of the response has arrived.
	responseStarted atomic.Bool

	conn *backendConn
	// upload reads the body if it is forwarded while it arrives, and is nil otherwise.
	upload *uploadReader
	// keyDenial is set if the request's key was removed before the first byte.
	keyDenial *mustardramp.Denial
	// reused is true if the connection has carried an earlier request.
	reused bool
	// startedAt is when the attempt was dispatched.
	startedAt time.Time
	// latency is the time to the header of the response.
	latency time.Duration
	// status is the status code of the response, or 0.
	status int

	mu sync.Mutex
	// skipInformational is true once informational responses must not be
	// forwarded.
	skipInformational bool
	// informationalCount counts the informational responses.
	informationalCount int
	// sentAt is when the last byte of the request was sent, or zero.
	sentAt time.Time
}

// dispatch sends the request to the slot's backend, relays the response and
// releases the slot.
func (x *exchange) dispatch(slot mustardramp.Slot) *outcome {
	a := x.newAttempt(x.attemptContext(), slot)
	x.tried = append(x.tried, a.backend.ID)
	response, err := a.roundTrip()
	return a.finish(response, err)
}

// attemptContext returns the context for an attempt. Non-idempotent requests
// continue after the caller disconnects, so that their outcome becomes known;
// others are canceled.
func (x *exchange) attemptContext() context.Context {
	if x.route.Once {
		return x.h.nextDetachedContext()
	}
	return x.ctx
}

func (x *exchange) newAttempt(parent context.Context, slot mustardramp.Slot) *attempt {
	return &attempt{x: x, slot: slot, backend: slot.Backend(), parent: parent, startedAt: x.h.config.Clock.Now()}
}

// roundTrip sends the request and waits for the header of the response. It does
// not modify the exchange.
func (a *attempt) roundTrip() (*http.Response, error) {
	a.start()
	token := a.watch()
	response, err := a.send(a.x.selectTransport())
	if err != nil && a.isStale() {
		response, err = a.resend()
	}
	a.unwatch(token)
	a.latency = a.measureLatency()
	if err == nil {
		a.responseStarted.Store(true)
		a.noteAnswer(response)
	}
	return response, err
}

// finish evaluates the result of roundTrip, relays a response and releases the
// slot.
func (a *attempt) finish(response *http.Response, err error) *outcome {
	defer a.stop()
	if err != nil {
		return a.handleError(err)
	}
	return a.handleResponse(response)
}

func (a *attempt) start() {
	a.ctx, a.cancel = context.WithCancelCause(a.parent)
	remaining := a.x.deadline.Sub(a.startedAt)
	a.timer = time.AfterFunc(remaining, a.expire)
}

// watch reports the attempt to the watcher as in flight. Attempts with a long
// body are left out: sending takes time, so they do not show that a backend
// hangs.
func (a *attempt) watch() mustardramp.Token {
	length := a.x.r.ContentLength
	if a.x.h.config.Watcher == nil || length < 0 || length > maxWatchedBodyBytes {
		return 0
	}
	return a.x.h.config.Watcher.Start(a.x.contract.Service, a.backend.ID, a.x.rank, a.startedAt)
}

func (a *attempt) unwatch(token mustardramp.Token) {
	if token != 0 {
		a.x.h.config.Watcher.Answered(a.x.contract.Service, a.backend.ID, token)
	}
}

// expire cancels an attempt whose timer has fired: for a stall if the response
// has started, and for the deadline otherwise.
func (a *attempt) expire() {
	if a.responseStarted.Load() {
		a.cancel(errStall)
		return
	}
	a.cancel(errTimeout)
}

func (a *attempt) stop() {
	a.timer.Stop()
	a.cancel(nil)
	if a.upload != nil {
		_ = a.upload.Close()
	}
}

// isStale reports whether the attempt got a pooled connection that the backend
// had already closed, so that no byte was sent, and the body can be sent again.
func (a *attempt) isStale() bool {
	return a.conn != nil &&
		errors.Is(context.Cause(a.ctx), errBroken) &&
		!a.conn.fence() &&
		a.x.body.canReplay()
}

// resend starts over on a new connection.
func (a *attempt) resend() (*http.Response, error) {
	a.stop()
	a.conn = nil
	a.start()
	return a.send(a.x.h.transports.fresh)
}

func (a *attempt) send(transport *http.Transport) (*http.Response, error) {
	x := a.x
	out := (&http.Request{
		Method:     x.r.Method,
		URL:        a.targetURL(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       x.r.Host,
		Header:     a.requestHeader(),
		// Without Close the transport sends a body that the backend declined.
		Close: transport == x.h.transports.fresh,
	}).WithContext(httptrace.WithClientTrace(a.ctx, a.clientTrace()))
	a.setRequestBody(out)
	if x.body.upload == nil || x.body.upload.hasStarted() {
		// The caller sends the body in any case, so there is nothing to wait for.
		delete(out.Header, "Expect")
	}
	return transport.RoundTrip(out)
}

// targetURL returns the URL of the attempt. A request of the routing table
// keeps its path and query byte for byte.
func (a *attempt) targetURL() *url.URL {
	r := a.x.r
	target := &url.URL{
		Scheme:     "http",
		Host:       a.backend.Address.String(),
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	if a.x.route.IsTableRoute() && !strings.HasPrefix(r.RequestURI, "//") {
		target.Opaque = rawPath(r)
	}
	return target
}

// requestHeader returns the header of the attempt.
func (a *attempt) requestHeader() http.Header {
	header := a.x.commonHeader()
	if name := a.x.h.config.Headers.Instance; name != "" && a.backend.Instance != "" {
		header[name] = []string{a.backend.Instance}
	}
	return header
}

// selectTransport selects a new connection for non-idempotent requests and for
// uploads, which may become too long to be sent again, and a pooled one otherwise. On a
// pooled one a backend may write the refusal of an earlier request once more.
func (x *exchange) selectTransport() *http.Transport {
	if !x.route.Idempotent() || x.body.upload != nil {
		return x.h.transports.fresh
	}
	return x.h.transports.pooled
}

func (a *attempt) clientTrace() *httptrace.ClientTrace {
	trace := &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.forwardInformational,
	}
	if a.x.body.upload != nil || a.x.h.outbound != nil {
		trace.WroteRequest = a.wroteRequest
	}
	return trace
}

// gotConn runs in the goroutine that calls RoundTrip.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.conn != nil {
		// The transport is about to resend the request by itself.
		a.cancel(errBroken)
	}
	c, ok := info.Conn.(*backendConn)
	if !ok {
		a.cancel(errBroken)
		return
	}
	if a.conn == nil {
		a.conn, a.reused = c, info.Reused
		c.bind(a)
		return
	}
	c.fence()
}

func (a *attempt) wroteRequest(httptrace.WroteRequestInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = a.x.h.config.Clock.Now()
}

// forwardInformational forwards an informational (1xx) response to the caller.
func (a *attempt) forwardInformational(code int, header textproto.MIMEHeader) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.informationalCount++; a.informationalCount > maxInformational {
		return errTooManyInformational
	}
	if a.skipInformational || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	target := a.x.w.Header()
	forwarded := forwardableHeader(http.Header(header))
	for name, values := range forwarded {
		target[name] = values
	}
	a.x.w.WriteHeader(code)
	for name := range forwarded {
		delete(target, name)
	}
	return nil
}

// measureLatency returns the time that the backend took to respond, and ends
// the forwarding of informational responses. The time to send a streamed or
// paced body does not count, since it does not depend on the backend.
func (a *attempt) measureLatency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.skipInformational = true
	from := a.startedAt
	if a.sentAt.After(from) {
		from = a.sentAt
	}
	return a.x.h.config.Clock.Now().Sub(from)
}

// handleError evaluates an attempt without a response.
func (a *attempt) handleError(err error) *outcome {
	x := a.x
	mayHaveSent := a.conn != nil && a.conn.fence()
	if mayHaveSent {
		x.sendCount++
		x.markMayHaveRun()
	}
	result, denial := a.classifyError(err, mayHaveSent)
	a.releaseSlot(result)
	return &outcome{
		denial:    denial,
		unsent:    !mayHaveSent,
		retryable: a.isWithdrawn() || result != mustardramp.ResultAbandoned && (!mayHaveSent || x.route.Idempotent()),
	}
}

// isWithdrawn reports whether the attempt was given up before a byte of it was sent,
// because its backend takes no more requests of this host.
func (a *attempt) isWithdrawn() bool {
	return errors.Is(context.Cause(a.ctx), errWithdrawn)
}

// classifyError returns the result that a failure means for the backend, and
// the denial for the caller.
func (a *attempt) classifyError(err error, mayHaveSent bool) (mustardramp.Result, *mustardramp.Denial) {
	x := a.x
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errAborted):
		return mustardramp.ResultAbandoned, x.interruptedDenial(x.h.root)
	case errors.Is(cause, errSuperseded):
		return mustardramp.ResultAbandoned, &mustardramp.Denial{
			Kind:   mustardramp.KindLost,
			Reason: "another backend answered first",
		}
	case errors.Is(cause, errWithdrawn):
		return mustardramp.ResultAbandoned, &mustardramp.Denial{
			Kind:       mustardramp.KindQuiet,
			Reason:     "the backend asked for no more requests before a byte left",
			Facts:      a.backendFacts("error", err.Error()),
			RetryAfter: x.h.withJitter(defaultShedRetryAfter),
		}
	case errors.Is(cause, errKeyChanged):
		return mustardramp.ResultAbandoned, a.keyDenial
	case errors.Is(cause, errTimeout):
		return mustardramp.ResultTimeout, &mustardramp.Denial{
			Kind:   mustardramp.KindTimeout,
			Reason: "the backend did not answer before the deadline",
			Facts:  a.backendFacts("deadline", x.deadline.Sub(x.arrived).String()),
		}
	case x.body.upload != nil && x.body.upload.failure() != nil:
		return mustardramp.ResultAbandoned, uploadDenial(x.body.upload.failure())
	case !x.route.Once && x.ctx.Err() != nil:
		return mustardramp.ResultAbandoned, x.interruptedDenial(x.ctx)
	case errDial.Has(err):
		return mustardramp.ResultDial, &mustardramp.Denial{
			Kind:   mustardramp.KindDial,
			Reason: "the backend could not be reached",
			Facts:  a.backendFacts("error", err.Error()),
		}
	case !mayHaveSent:
		return mustardramp.ResultTruncated, &mustardramp.Denial{
			Kind:   mustardramp.KindDial,
			Reason: "the connection to the backend was gone before a byte left",
			Facts:  a.backendFacts("error", err.Error()),
		}
	default:
		return mustardramp.ResultTruncated, &mustardramp.Denial{
			Kind:   mustardramp.KindLost,
			Reason: "the connection to the backend was lost before its answer",
			Facts:  a.backendFacts("error", err.Error()),
		}
	}
}

func (a *attempt) backendFacts(name, value string) []mustardramp.Fact {
	return []mustardramp.Fact{
		{Name: "backend", Value: string(a.backend.ID)},
		{Name: name, Value: value},
	}
}

// releaseSlot releases the slot, and logs and reports the result of the attempt.
func (a *attempt) releaseSlot(result mustardramp.Result) {
	a.slot.Release(result, a.latency)
	klog.InfoS("attempt-ended", "request", a.x.r.Header.Get(requestIDHeader), "service", a.x.contract.Service,
		"backend", a.backend.Address, "result", result.String(), "status", a.status, "ms", a.latency.Milliseconds(),
		"waited", a.x.slotWait.Milliseconds(), "attempt", len(a.x.tried))
	if a.x.h.config.Observer == nil {
		return
	}
	a.x.h.config.Observer.Observe(mustardramp.Observation{
		Backend: a.backend.ID,
		Service: a.x.contract.Service,
		Caller:  a.x.caller,
		Rank:    a.x.rank,
		Result:  result,
		Latency: a.latency,
		At:      a.x.h.config.Clock.Now(),
	})
}

// shedResult returns ResultShed or ResultLeaving, and true, if the backend declared
// that it did not run the request.
func (a *attempt) shedResult(response *http.Response) (mustardramp.Result, bool) {
	if !hasFinalStatus(response) {
		return 0, false
	}
	if a.isWrongInstance(response) {
		return mustardramp.ResultLeaving, true
	}
	name := a.x.contract.Shed
	if name == "" {
		name = a.x.h.config.Headers.NotRun
	}
	if name == "" {
		return 0, false
	}
	value := response.Header.Get(name)
	if value == "" {
		return 0, false
	}
	if strings.EqualFold(value, "leaving") {
		return mustardramp.ResultLeaving, true
	}
	return mustardramp.ResultShed, true
}

// hasFinalStatus reports whether a response has a status that a final response may have.
// The transport accepts any three characters that are a number, and leaves 101 to its
// user; the host asks no backend to switch protocols.
func hasFinalStatus(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < 600
}

// isWrongInstance reports whether the address now belongs to another instance.
func (a *attempt) isWrongInstance(response *http.Response) bool {
	return a.x.h.config.Headers.Instance != "" && a.backend.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// provesNotRun reports whether a refusal of the backend is about this request. On a
// connection that carried earlier requests it may be the refusal of one of those,
// unless it bears the id of this request and ids are required.
func (a *attempt) provesNotRun(response *http.Response) bool {
	if a.x.h.config.Headers.RequireRequestID && a.x.r.Header.Get(requestIDHeader) != "" {
		return a.answersRequest(response)
	}
	return !a.reused
}

// defaultShedRetryAfter is the time after which a caller may retry a shed
// request if the backend states none. It is short because some backends shed a
// random part of their requests.
const defaultShedRetryAfter = 300 * time.Millisecond

func (a *attempt) newShedDenial(response *http.Response) *mustardramp.Denial {
	denial := &mustardramp.Denial{
		Kind:   mustardramp.KindShed,
		Reason: "the backend declared that it did not run the request",
		Facts:  a.backendFacts("status", strconv.Itoa(response.StatusCode)),
	}
	denial.RetryAfter = a.x.h.withJitter(defaultShedRetryAfter)
	if d, ok := parseDelay(response.Header.Get("Retry-After"), response.Header.Get("Date")); ok && d > 0 {
		denial.RetryAfter = d
	}
	return denial
}
