package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// exchange is one request on its way through the host.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// deadline is when the first byte of the answer is due.
	deadline time.Time
	caller   mustardramp.CallerName
	// steady is true when the caller has the same name on every way in.
	steady   bool
	contract *contract.Contract
	service  *Service
	route    *contract.Route
	// set is the configuration that the request began with.
	set  *contract.Set
	key  mustardramp.OperationKey
	body body
	// claim is set while the exchange holds the right to dispatch a keyed
	// operation.
	claim *mustardramp.Claim
	grant uint64
	// verdict is what can be said of the request by now. It moves from
	// NotRun over MayHaveRun to Ran, never back.
	verdict mustardramp.Verdict
	tried   []mustardramp.BackendID
	// sends counts the attempts of which a byte may have left.
	sends int
	wait  time.Duration
	sent  mustardramp.Bytes
	kind  mustardramp.RefusalKind
	// begun is true once the answer's status has been written.
	begun bool
}

// run takes the request through every step, or says why it stops.
func (x *exchange) run() *mustardramp.Denial {
	for _, step := range steps {
		if denial := step(x); denial != nil {
			return denial
		}
	}
	if x.key != "" {
		return x.once()
	}
	return x.attempts()
}

var steps = [...]func(*exchange) *mustardramp.Denial{
	(*exchange).checkStopping,
	(*exchange).findTableRoute,
	(*exchange).checkRequest,
	(*exchange).findContract,
	(*exchange).findRoute,
	(*exchange).findService,
	(*exchange).findDeadline,
	(*exchange).findKey,
	(*exchange).readBody,
}

func (x *exchange) checkStopping() *mustardramp.Denial {
	if !x.h.stopping.Load() {
		return nil
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindStopping,
		Reason:     "the host is shutting down; another one takes the request",
		RetryAfter: time.Second,
	}
}

// findTableRoute looks the request up in the routing table. A request that the
// table has no route for may still have a contract.
func (x *exchange) findTableRoute() *mustardramp.Denial {
	x.set = x.h.config.Contracts()
	if x.set == nil {
		return &mustardramp.Denial{
			Kind:       mustardramp.KindNoContract,
			Reason:     "the host has no current configuration yet",
			RetryAfter: time.Second,
		}
	}
	x.route = x.set.Route(hostOf(x.r.Host), rawPath(x.r))
	if x.route != nil {
		x.contract = x.set.Service(x.h.splits.choose(x.h.config.Host, x.route))
	}
	return nil
}

// rawPath returns the path as it stands in the request line.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (x *exchange) checkRequest() *mustardramp.Denial {
	if x.route != nil {
		// The request passes as it is.
		return nil
	}
	return check(x.r)
}

func (x *exchange) findContract() *mustardramp.Denial {
	if x.route != nil {
		return nil
	}
	host := hostOf(x.r.Host)
	x.contract = x.set.Host(host)
	if x.contract == nil && x.set.HasTable() {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindNoRoute,
			Reason: "no route of the routing table begins the path, and no contract names the host",
			Facts:  []mustardramp.Fact{{Name: "host", Value: host}},
		}
	}
	if x.contract == nil {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindNoService,
			Reason: "no contract names this host",
			Facts:  []mustardramp.Fact{{Name: "host", Value: host}},
		}
	}
	return nil
}

// hostOf removes the port and the dot of a full domain name.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}

func (x *exchange) findRoute() *mustardramp.Denial {
	if x.route != nil {
		return nil
	}
	path := x.r.URL.Path
	x.route = x.contract.Match(x.r.Method, path)
	if bare := strings.TrimSuffix(path, "/"); bare != path && bare != "" {
		// Some backends serve both spellings alike.
		if other := x.contract.Match(x.r.Method, bare); other != nil && other != x.route {
			return malformed("the path with its last slash removed belongs to another route")
		}
	}
	if x.route == nil {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindNoRoute,
			Reason: "no route of the contract matches the method and path",
		}
	}
	return nil
}

func (x *exchange) findService() *mustardramp.Denial {
	x.service = x.h.config.Services.Service(x.contract.Service)
	if x.service == nil || x.service.Pool == nil {
		return &mustardramp.Denial{
			Kind:       mustardramp.KindNoBackend,
			Reason:     "the service has not started on this host yet",
			RetryAfter: time.Second,
		}
	}
	return nil
}

func (x *exchange) findDeadline() *mustardramp.Denial {
	span := x.route.Deadline
	name := x.h.config.Headers.Timeout
	if text := x.r.Header.Get(name); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return malformed("the header " + name + " is not a number of milliseconds")
		}
		span = min(span, time.Duration(ms)*time.Millisecond)
	}
	x.deadline = x.arrived.Add(span)
	return nil
}

// remaining returns the milliseconds until the deadline.
func (x *exchange) remaining() string {
	left := x.deadline.Sub(x.h.config.Clock.Now())
	return strconv.FormatInt(max(left.Milliseconds(), 0), 10)
}

// control reaches the caller's connection.
func (x *exchange) control() *http.ResponseController {
	return http.NewResponseController(x.w)
}

// attempts dispatches the request until a backend's answer was relayed or no
// further attempt is allowed.
func (x *exchange) attempts() *mustardramp.Denial {
	var last *outcome
	send := x.dispatch
	if hedge := x.hedge(); hedge != nil {
		send = newPair(x, hedge).dispatch
	}
	for {
		slot, err := x.acquire()
		if err != nil && last == nil {
			return x.turnedAway(err)
		}
		if err != nil {
			return x.conclude(last, x.turnedAway(err))
		}
		if last == nil && x.service.Budget != nil {
			// A request that is turned away earns no retries.
			x.service.Budget.Fresh(x.route.Rank, x.h.config.Clock.Now())
		}
		last = send(slot)
		send = x.dispatch
		if last.relayed {
			return nil
		}
		if !x.mayRetry(last) {
			return x.conclude(last, nil)
		}
	}
}

// conclude ends a request whose last attempt failed. An answer that was held
// back in favour of a further attempt is relayed; else the failure is the
// reason of the refusal, and a denied further attempt one of its facts.
func (x *exchange) conclude(last *outcome, retry *mustardramp.Denial) *mustardramp.Denial {
	if last.answer != nil {
		x.relayHeld(last.answer)
		return nil
	}
	if retry == nil {
		return last.denial
	}
	last.denial.Facts = append(last.denial.Facts, mustardramp.Fact{Name: "retry", Value: retry.Kind.String()})
	last.denial.RetryAfter = max(last.denial.RetryAfter, retry.RetryAfter)
	return last.denial
}

func (x *exchange) acquire() (mustardramp.Slot, error) {
	before := x.h.config.Clock.Now()
	if !before.Before(x.deadline) {
		return nil, context.DeadlineExceeded
	}
	// The pool heeds the demand's deadline, so the context needs none.
	slot, err := x.service.Pool.Acquire(x.r.Context(), x.demand())
	x.wait += x.h.config.Clock.Now().Sub(before)
	return slot, err
}

func (x *exchange) demand() mustardramp.Demand {
	var target time.Time
	if x.route.Target > 0 {
		target = x.arrived.Add(x.route.Target)
	}
	return mustardramp.Demand{
		Target:     target,
		Rank:       x.route.Rank,
		Caller:     x.caller,
		Deadline:   x.deadline,
		Idempotent: x.route.Idempotent(),
		Tried:      x.tried,
		Repeat:     x.sends > 0,
		Size:       x.body.size(x.r),
	}
}

// turnedAway explains why the pool gave no slot.
func (x *exchange) turnedAway(err error) *mustardramp.Denial {
	var denial *mustardramp.Denial
	switch {
	case errors.As(err, &denial):
		return denial
	case x.r.Context().Err() != nil:
		return x.interrupted(x.r.Context())
	default:
		return &mustardramp.Denial{
			Kind:   mustardramp.KindDeadline,
			Reason: "no slot came free before the deadline",
			Facts:  []mustardramp.Fact{{Name: "wait", Value: x.wait.String()}},
		}
	}
}

// interrupted explains the end of a request's context.
func (x *exchange) interrupted(ctx context.Context) *mustardramp.Denial {
	if errors.Is(context.Cause(ctx), errCut) {
		return &mustardramp.Denial{Kind: mustardramp.KindStopping, Reason: "the host was stopped at once"}
	}
	return &mustardramp.Denial{Kind: mustardramp.KindCallerGone, Reason: "the caller went away"}
}

// mayRetry decides on a further attempt after a failed one.
func (x *exchange) mayRetry(last *outcome) bool {
	now := x.h.config.Clock.Now()
	switch {
	case !last.repeatable:
		return false
	case !x.body.replayable():
		return false
	case x.r.Context().Err() != nil || !now.Before(x.deadline):
		return false
	case x.sends >= x.attemptLimit() || len(x.tried) >= mostDials:
		return false
	case last.unsent:
		return true
	}
	return x.service.Budget != nil && x.service.Budget.Allow(x.route.Rank, now)
}

// attemptLimit bounds the backends that one request of a contract's route is
// sent to.
const attemptLimit = 3

// mostDials bounds the backends that one request tries to reach, whether a byte
// left or not.
const mostDials = 6

func (x *exchange) attemptLimit() int {
	if x.route.Tries > 0 {
		return x.route.Tries
	}
	return attemptLimit
}

// end accounts for the request.
func (x *exchange) end() {
	x.releaseBody()
	if x.h.config.Tally == nil || x.route == nil {
		return
	}
	x.h.config.Tally.Count(Measure{
		Service: x.contract.Service,
		Rank:    x.route.Rank,
		Caller:  x.caller,
		Latency: x.h.config.Clock.Now().Sub(x.arrived),
		Wait:    x.wait,
		Size:    x.sent,
		Refused: x.kind,
	})
}
