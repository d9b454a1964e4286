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
	errTimeout = errs.New("no answer before the deadline")
	errStall   = errs.New("no byte of the answer came in time")
	errCut     = errs.New("the operator cut the requests in flight")
	errHints   = errs.New("more informational answers than a backend may send")
)

// mostInformational bounds the answers of status 1xx before the answer itself: a
// hint or two is usual, and each is passed on and read in full.
const mostInformational = 16

// watchedBody is the length in bytes up to which a body leaves at once.
const watchedBody = 64 << 10

// outcome is how one attempt ended.
type outcome struct {
	// relayed is true when the caller got the backend's answer, or its start.
	relayed bool
	// repeatable is true when the contract or the proof that nothing ran
	// allows another attempt.
	repeatable bool
	// unsent is true when no byte left: another attempt adds no load to the
	// service, and costs no budget.
	unsent bool
	// denial explains a failure. It is set unless relayed is true.
	denial *mustardramp.Denial
	// answer is a backend's whole answer that may still be relayed when no
	// further attempt is possible.
	answer *answer
}

// attempt is one dispatch to one backend.
type attempt struct {
	x       *exchange
	slot    mustardramp.Slot
	backend mustardramp.Backend
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// due ends the attempt: at the deadline until the answer begins, and after
	// the stall time without a byte from then on.
	due *time.Timer
	// begun is true once the answer has begun.
	begun atomic.Bool

	wire *wire
	// began is when the attempt was dispatched, or when the last byte of a
	// streamed body left.
	began time.Time
	// latency is the time to the first byte of the answer.
	latency time.Duration
	// status is the answer's, or 0.
	status int

	mu sync.Mutex
	// headed is true once informational answers may not be passed on.
	headed bool
	// hints counts the informational answers.
	hints int
	// sentAt is when the whole request had left, or zero.
	sentAt time.Time
}

// dispatch sends the request to the slot's backend, relays the answer and
// releases the slot.
func (x *exchange) dispatch(slot mustardramp.Slot) *outcome {
	a := x.newAttempt(x.parent(), slot)
	x.tried = append(x.tried, a.backend.ID)
	response, err := a.ask()
	return a.end(response, err)
}

// parent returns the context of an attempt. Non-idempotent work goes on when
// the caller leaves, so that its outcome is known; other work ends at once.
func (x *exchange) parent() context.Context {
	if x.route.Once {
		return x.h.lasting()
	}
	return x.r.Context()
}

func (x *exchange) newAttempt(parent context.Context, slot mustardramp.Slot) *attempt {
	return &attempt{x: x, slot: slot, backend: slot.Backend(), parent: parent, began: x.h.config.Clock.Now()}
}

// ask sends the request and waits for the header of the answer. Of the
// exchange it changes nothing.
func (a *attempt) ask() (*http.Response, error) {
	a.start()
	token := a.watch()
	response, err := a.send(a.x.transport())
	if err != nil && a.stale() {
		response, err = a.resend()
	}
	a.unwatch(token)
	a.latency = a.sinceSent()
	if err == nil {
		a.begun.Store(true)
	}
	return response, err
}

// end judges what ask brought, relays an answer and releases the slot.
func (a *attempt) end(response *http.Response, err error) *outcome {
	defer a.stop()
	if err != nil {
		return a.failed(err)
	}
	return a.receive(response)
}

func (a *attempt) start() {
	a.ctx, a.cancel = context.WithCancelCause(a.parent)
	left := a.x.deadline.Sub(a.began)
	a.due = time.AfterFunc(left, a.expire)
}

// watch counts the attempt as in flight. A long body takes its time to leave, so
// only attempts with a short one tell that their backend hangs.
func (a *attempt) watch() mustardramp.Token {
	length := a.x.r.ContentLength
	if a.x.h.config.Watcher == nil || length < 0 || length > watchedBody {
		return 0
	}
	return a.x.h.config.Watcher.Start(a.x.contract.Service, a.backend.ID, a.x.route.Rank, a.began)
}

func (a *attempt) unwatch(token mustardramp.Token) {
	if token != 0 {
		a.x.h.config.Watcher.Answered(a.x.contract.Service, a.backend.ID, token)
	}
}

// expire ends an attempt whose backend let the time pass.
func (a *attempt) expire() {
	if a.begun.Load() {
		a.cancel(errStall)
		return
	}
	a.cancel(errTimeout)
}

func (a *attempt) stop() {
	a.due.Stop()
	a.cancel(nil)
}

// stale reports whether the attempt met a kept connection that the backend
// had closed before, so that no byte left and no part of a body was read.
func (a *attempt) stale() bool {
	return a.wire != nil &&
		errors.Is(context.Cause(a.ctx), errBroken) &&
		!a.wire.fence() &&
		a.x.body.replayable()
}

// resend starts over with a connection of its own.
func (a *attempt) resend() (*http.Response, error) {
	a.stop()
	a.wire = nil
	a.start()
	return a.send(a.x.h.transport.fresh)
}

func (a *attempt) send(transport *http.Transport) (*http.Response, error) {
	x := a.x
	out := (&http.Request{
		Method:     x.r.Method,
		URL:        a.target(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       x.r.Host,
		Header:     a.header(),
		// Without it the transport sends a body that the backend declined.
		Close: transport == x.h.transport.fresh,
	}).WithContext(httptrace.WithClientTrace(a.ctx, a.trace()))
	x.attach(out)
	if x.body.stream == nil {
		// The host has the body already, so there is nothing to wait for.
		delete(out.Header, "Expect")
	}
	return transport.RoundTrip(out)
}

// target is where the attempt goes. A request of a routing table keeps its path
// and query byte for byte.
func (a *attempt) target() *url.URL {
	r := a.x.r
	target := &url.URL{
		Scheme:     "http",
		Host:       a.backend.Address.String(),
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	if a.x.route.Tabled() && !strings.HasPrefix(r.RequestURI, "//") {
		target.Opaque = rawPath(r)
	}
	return target
}

// header returns the headers of the attempt.
func (a *attempt) header() http.Header {
	header := a.x.outgoing()
	if name := a.x.h.config.Headers.Instance; name != "" && a.backend.Instance != "" {
		header[name] = []string{a.backend.Instance}
	}
	return header
}

// transport chooses a connection of its own for work that must not repeat and
// for bodies that cannot be sent again.
func (x *exchange) transport() *http.Transport {
	if x.route.Once || x.body.stream != nil {
		return x.h.transport.fresh
	}
	return x.h.transport.kept
}

func (a *attempt) trace() *httptrace.ClientTrace {
	trace := &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.informational,
	}
	if a.x.body.stream != nil || a.x.h.outbound != nil {
		trace.WroteRequest = a.wroteRequest
	}
	return trace
}

// gotConn is called by the goroutine of RoundTrip.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.wire != nil {
		// The transport is about to send again on its own.
		a.cancel(errBroken)
	}
	c, ok := info.Conn.(*wire)
	if !ok {
		a.cancel(errBroken)
		return
	}
	if a.wire == nil {
		a.wire = c
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

// informational passes an answer of status 1xx on.
func (a *attempt) informational(code int, header textproto.MIMEHeader) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hints++; a.hints > mostInformational {
		return errHints
	}
	if a.headed || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	target := a.x.w.Header()
	passed := forwardable(http.Header(header))
	for name, values := range passed {
		target[name] = values
	}
	a.x.w.WriteHeader(code)
	for name := range passed {
		delete(target, name)
	}
	return nil
}

// sinceSent returns the time that the backend took. The time of a streamed
// body belongs to the caller.
func (a *attempt) sinceSent() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.headed = true
	from := a.began
	if a.sentAt.After(from) {
		from = a.sentAt
	}
	return a.x.h.config.Clock.Now().Sub(from)
}

// failed judges an attempt without an answer.
func (a *attempt) failed(err error) *outcome {
	x := a.x
	wrote := a.wire != nil && a.wire.fence()
	if wrote {
		x.sends++
		x.mayHaveRun()
	}
	result, denial := a.judge(err, wrote)
	a.release(result)
	return &outcome{
		denial:     denial,
		unsent:     !wrote,
		repeatable: result != mustardramp.ResultAbandoned && (!wrote || x.route.Idempotent()),
	}
}

// judge says what a failure shows of the backend, and what the caller learns.
func (a *attempt) judge(err error, wrote bool) (mustardramp.Result, *mustardramp.Denial) {
	x := a.x
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errCut):
		return mustardramp.ResultAbandoned, x.interrupted(x.h.base)
	case errors.Is(cause, errOvertaken):
		return mustardramp.ResultAbandoned, &mustardramp.Denial{
			Kind:   mustardramp.KindLost,
			Reason: "another backend answered first",
		}
	case errors.Is(cause, errTimeout):
		return mustardramp.ResultTimeout, &mustardramp.Denial{
			Kind:   mustardramp.KindTimeout,
			Reason: "the backend did not answer before the deadline",
			Facts:  a.facts("deadline", x.deadline.Sub(x.arrived).String()),
		}
	case x.body.stream != nil && x.body.stream.failed.Load():
		return mustardramp.ResultAbandoned, &mustardramp.Denial{
			Kind:   mustardramp.KindCallerGone,
			Reason: "the caller did not send the whole body",
		}
	case !x.route.Once && x.r.Context().Err() != nil:
		return mustardramp.ResultAbandoned, x.interrupted(x.r.Context())
	case errDial.Has(err):
		return mustardramp.ResultDial, &mustardramp.Denial{
			Kind:   mustardramp.KindDial,
			Reason: "the backend could not be reached",
			Facts:  a.facts("error", err.Error()),
		}
	case !wrote:
		return mustardramp.ResultCut, &mustardramp.Denial{
			Kind:   mustardramp.KindDial,
			Reason: "the connection to the backend was gone before a byte left",
			Facts:  a.facts("error", err.Error()),
		}
	default:
		return mustardramp.ResultCut, &mustardramp.Denial{
			Kind:   mustardramp.KindLost,
			Reason: "the connection to the backend was lost before its answer",
			Facts:  a.facts("error", err.Error()),
		}
	}
}

func (a *attempt) facts(name, value string) []mustardramp.Fact {
	return []mustardramp.Fact{
		{Name: "backend", Value: string(a.backend.ID)},
		{Name: name, Value: value},
	}
}

// release ends the use of the slot and reports the result as evidence.
func (a *attempt) release(result mustardramp.Result) {
	a.slot.Release(result, a.latency)
	klog.InfoS("attempt-ended", "request", a.x.r.Header.Get(requestIDHeader), "service", a.x.contract.Service,
		"backend", a.backend.Address, "result", result.String(), "status", a.status, "ms", a.latency.Milliseconds(),
		"waited", a.x.wait.Milliseconds(), "attempt", len(a.x.tried))
	if a.x.h.config.Observer == nil {
		return
	}
	a.x.h.config.Observer.Observe(mustardramp.Observation{
		Backend: a.backend.ID,
		Service: a.x.contract.Service,
		Caller:  a.x.caller,
		Rank:    a.x.route.Rank,
		Result:  result,
		Latency: a.latency,
		At:      a.x.h.config.Clock.Now(),
	})
}

// shed reports whether the backend declared that it did not run the request.
func (a *attempt) shed(response *http.Response) (mustardramp.Result, bool) {
	headers := &a.x.h.config.Headers
	if headers.Instance != "" && a.backend.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		// Another backend has the address.
		return mustardramp.ResultLeaving, true
	}
	name := a.x.contract.Shed
	if name == "" {
		name = headers.NotRun
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

// shedReturn is when a caller may come back after a shed without a time of the
// backend's own: some backends shed a part of their requests at random.
const shedReturn = 300 * time.Millisecond

func (a *attempt) shedDenial(response *http.Response) *mustardramp.Denial {
	denial := &mustardramp.Denial{
		Kind:   mustardramp.KindShed,
		Reason: "the backend declared that it did not run the request",
		Facts:  a.facts("status", strconv.Itoa(response.StatusCode)),
	}
	denial.RetryAfter = a.x.h.spreadOut(shedReturn)
	if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && s > 0 {
		denial.RetryAfter = time.Duration(s) * time.Second
	}
	return denial
}
