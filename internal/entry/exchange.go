package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// exchange is the state of one request while the host handles it.
type exchange struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request
	// ctx is that of the request. It also ends when callerWatch or the upload finds that
	// the request cannot be served any more.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watch is nil before the request has to wait.
	watch   *callerWatch
	arrived time.Time
	// deadline is when the first byte of the response is due.
	deadline time.Time
	caller   mustardramp.CallerName
	// callerStable is true if the caller has the same name on every network
	// path.
	callerStable bool
	contract     *contract.Contract
	service      *Service
	route        *contract.Route
	// rank is that of the workspace if it has one, and that of the route otherwise.
	rank mustardramp.Rank
	// workspace is nil if the request has no known key. apiKey is the key.
	workspace *contract.Workspace
	apiKey    string
	// hasToken is true while the request holds a token of its workspace's quota.
	hasToken bool
	// contractSet is the configuration in force when the request arrived.
	contractSet *contract.Set
	key         mustardramp.OperationKey
	body        body
	// claim is set while the exchange is allowed to dispatch a keyed operation.
	// claimAttempt is the number that the ledger gave to the grant.
	claim        *mustardramp.Claim
	claimAttempt uint64
	// verdict states whether the request has run so far. While attempts are
	// made it only moves from NotRun to MayHaveRun to Ran.
	verdict mustardramp.Verdict
	tried   []mustardramp.BackendID
	// sendCount counts the attempts of which a byte may have been sent.
	sendCount   int
	slotWait    time.Duration
	sentBytes   mustardramp.Bytes
	refusalKind mustardramp.RefusalKind
	// responseStarted is true once the response status has been written.
	responseStarted bool
	// isAborted is true if the response was cut off.
	isAborted bool
	// writeFailed is true once a part of the response could not be written.
	writeFailed bool
	// unframedSocket is the caller's connection if only its end tells the caller where the
	// response ends, and nil otherwise. It ends with a reset until markWhole is called.
	unframedSocket *net.TCPConn
}

// run takes the request through every step. It returns a denial if the request
// is refused.
func (x *exchange) run() *mustardramp.Denial {
	for _, step := range steps {
		if denial := step(x); denial != nil {
			return denial
		}
	}
	if x.key != "" {
		return x.runKeyed()
	}
	return x.runAttempts()
}

var steps = [...]func(*exchange) *mustardramp.Denial{
	(*exchange).checkStopping,
	(*exchange).findTableRoute,
	(*exchange).chooseService,
	(*exchange).authenticate,
	(*exchange).checkRequest,
	(*exchange).findContract,
	(*exchange).findRoute,
	(*exchange).findService,
	(*exchange).findDeadline,
	(*exchange).checkGrace,
	(*exchange).findKey,
	(*exchange).takeToken,
	(*exchange).readBody,
}

func (x *exchange) checkStopping() *mustardramp.Denial {
	if !x.h.stopping.Load() {
		return nil
	}
	return stoppingDenial()
}

// findTableRoute looks the request up in the routing table. A request without
// a route there may still match a contract.
func (x *exchange) findTableRoute() *mustardramp.Denial {
	x.contractSet = x.h.config.Contracts()
	if x.contractSet == nil && x.awaitContracts() {
		x.contractSet = x.h.config.Contracts()
	}
	if x.contractSet == nil {
		return &mustardramp.Denial{
			Kind:       mustardramp.KindNoContract,
			Reason:     "the host has no current configuration yet",
			RetryAfter: time.Second,
		}
	}
	x.matchTableRoute()
	return nil
}

// matchTableRoute finds the route of the routing table, if there is one.
func (x *exchange) matchTableRoute() {
	x.route = x.contractSet.Route(normalizeHost(x.r.Host), rawPath(x.r))
	if x.route != nil {
		x.rank = x.route.Rank
	}
}

// chooseService chooses among the services of a route of the routing table.
func (x *exchange) chooseService() *mustardramp.Denial {
	if x.route != nil {
		x.contract = x.contractSet.Service(x.h.splitter.chooseService(x.h.config.Host, x.route))
	}
	return nil
}

// rawPath returns the path as sent in the request line.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (x *exchange) checkRequest() *mustardramp.Denial {
	if x.route != nil {
		// Routes of the routing table forward the path unchanged.
		return x.checkBodySize()
	}
	return checkUnambiguous(x.r)
}

// bodyLimit returns the limit of the routing table for the request's body, or 0.
func (x *exchange) bodyLimit() mustardramp.Bytes {
	if !x.route.IsTableRoute() {
		return 0
	}
	return x.contractSet.Limits().Body
}

// checkBodySize refuses a body whose stated length exceeds the limit of the routing
// table.
func (x *exchange) checkBodySize() *mustardramp.Denial {
	limit := x.bodyLimit()
	if limit <= 0 || mustardramp.Bytes(x.r.ContentLength) <= limit {
		return nil
	}
	return bodyTooLarge(limit)
}

func bodyTooLarge(limit mustardramp.Bytes) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:   mustardramp.KindBodyTooLarge,
		Reason: "the body is longer than the routing table allows",
		Facts:  []mustardramp.Fact{{Name: "limit", Value: strconv.FormatInt(int64(limit), 10)}},
	}
}

func (x *exchange) findContract() *mustardramp.Denial {
	if x.route != nil {
		return nil
	}
	host := normalizeHost(x.r.Host)
	x.contract = x.contractSet.Host(host)
	if x.contract == nil && x.contractSet.HasTable() {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindNoRoute,
			Reason: "no route of the routing table begins the path, and no contract names the host",
			Facts: []mustardramp.Fact{
				{Name: "host", Value: host},
				{Name: "version", Value: strconv.FormatUint(uint64(x.contractSet.Version()), 10)},
			},
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

// normalizeHost removes the port and the trailing dot of a host name.
func normalizeHost(host string) string {
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
	if trimmed := strings.TrimSuffix(path, "/"); trimmed != path && trimmed != "" {
		// Some backends treat both spellings as one resource.
		if other := x.contract.Match(x.r.Method, trimmed); other != nil && other != x.route {
			return malformedDenial("the path with its last slash removed belongs to another route")
		}
	}
	if x.route == nil {
		return &mustardramp.Denial{
			Kind:   mustardramp.KindNoRoute,
			Reason: "no route of the contract matches the method and path",
		}
	}
	x.rank = x.rankOfWorkspace(x.route.Rank)
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
	timeout := x.route.Deadline
	stated, err := x.statedTimeout()
	if err != nil {
		return malformedDenial("the header " + x.h.config.Headers.Timeout + " is not a number of milliseconds")
	}
	if stated != nil {
		timeout = min(timeout, *stated)
	}
	x.deadline = x.arrived.Add(timeout)
	return nil
}

// statedTimeout returns the time that the caller waits for its response, or nil if it
// states none.
func (x *exchange) statedTimeout() (*time.Duration, error) {
	text := x.r.Header.Get(x.h.config.Headers.Timeout)
	if text == "" {
		return nil, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return nil, err
	}
	timeout := time.Duration(ms) * time.Millisecond
	return &timeout, nil
}

// remainingMillis returns the milliseconds until the deadline as decimal text.
func (x *exchange) remainingMillis() string {
	remaining := x.deadline.Sub(x.h.config.Clock.Now())
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

// responseController returns the controller of the connection to the caller.
func (x *exchange) responseController() *http.ResponseController {
	return http.NewResponseController(x.w)
}

// runAttempts dispatches the request until a response has been relayed or no
// further attempt is allowed.
func (x *exchange) runAttempts() *mustardramp.Denial {
	var last *outcome
	send := x.dispatch
	if policy := x.applicableHedgePolicy(); policy != nil {
		send = newAttemptPair(x, policy).dispatch
	}
	for {
		slot, err := x.acquireSlot()
		if err != nil && last == nil {
			return x.acquireDenial(err)
		}
		if err != nil {
			return x.finishFailed(last, x.acquireDenial(err))
		}
		if last == nil && x.service.Budget != nil {
			// Only a request that got a slot adds to the retry budget.
			x.service.Budget.CountRequest(x.rank, x.h.config.Clock.Now())
		}
		last = send(slot)
		send = x.dispatch
		if last.relayed {
			return nil
		}
		if !x.canRetry(last) {
			return x.finishFailed(last, nil)
		}
	}
}

// finishFailed ends a request whose last attempt failed. A response that was
// withheld for a further attempt is relayed. Otherwise the request is refused
// because of the failure, and the denial of a further attempt becomes one of
// the facts of the refusal.
func (x *exchange) finishFailed(last *outcome, retryDenial *mustardramp.Denial) *mustardramp.Denial {
	if last.withheldResponse != nil {
		x.relayBuffered(last.withheldResponse)
		return nil
	}
	if retryDenial == nil {
		return last.denial
	}
	last.denial.Facts = append(last.denial.Facts, mustardramp.Fact{Name: "retry", Value: retryDenial.Kind.String()})
	last.denial.RetryAfter = max(last.denial.RetryAfter, retryDenial.RetryAfter)
	return last.denial
}

func (x *exchange) acquireSlot() (mustardramp.Slot, error) {
	started := x.h.config.Clock.Now()
	if !started.Before(x.deadline) {
		return nil, context.DeadlineExceeded
	}
	x.watchCaller()
	defer x.continueAfter(continueTime)()
	// The pool observes the demand's deadline, so the context needs none.
	slot, err := x.service.Pool.Acquire(x.ctx, x.newDemand())
	x.slotWait += x.h.config.Clock.Now().Sub(started)
	x.checkCaller()
	if err == nil && x.ctx.Err() != nil {
		slot.Release(mustardramp.ResultAbandoned, 0)
		return nil, x.ctx.Err()
	}
	return slot, err
}

// continueAfter lets a caller that asks before it sends its body send it after a time. The
// function that it returns ends the wait.
func (x *exchange) continueAfter(d time.Duration) func() bool {
	if x.body.upload == nil || !x.awaitsContinue() {
		return func() bool { return false }
	}
	return time.AfterFunc(d, x.body.upload.start).Stop
}

func (x *exchange) newDemand() mustardramp.Demand {
	var target time.Time
	if x.route.Target > 0 {
		target = x.arrived.Add(x.route.Target)
	}
	return mustardramp.Demand{
		Target:           target,
		Rank:             x.rank,
		Caller:           x.caller,
		Deadline:         x.deadline,
		Idempotent:       x.route.Idempotent(),
		Tried:            x.tried,
		IsFurtherAttempt: x.sendCount > 0,
		Size:             x.body.size(x.r),
	}
}

// acquireDenial returns the denial for a request that got no slot.
func (x *exchange) acquireDenial(err error) *mustardramp.Denial {
	var denial *mustardramp.Denial
	switch {
	case errors.As(err, &denial):
		return denial
	case x.ctx.Err() != nil:
		return x.interruptedDenial(x.ctx)
	default:
		return &mustardramp.Denial{
			Kind:   mustardramp.KindDeadline,
			Reason: "no slot came free before the deadline",
			Facts:  []mustardramp.Fact{{Name: "wait", Value: x.slotWait.String()}},
		}
	}
}

// interruptedDenial returns the denial for a request whose context ended.
func (x *exchange) interruptedDenial(ctx context.Context) *mustardramp.Denial {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errAborted):
		return &mustardramp.Denial{Kind: mustardramp.KindStopping, Reason: "the host had to end before the request did"}
	case errors.Is(cause, errNoBodyMemory):
		return noBodyMemoryDenial()
	case errUpload.Has(cause):
		return uploadDenial(cause)
	default:
		return &mustardramp.Denial{Kind: mustardramp.KindCallerGone, Reason: "the caller went away"}
	}
}

// uploadDenial returns the denial for a request whose caller did not send the whole body.
func uploadDenial(err error) *mustardramp.Denial {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return bodyTooLarge(mustardramp.Bytes(tooLong.Limit))
	}
	return &mustardramp.Denial{Kind: mustardramp.KindCallerGone, Reason: "the caller did not send the whole body"}
}

// canRetry reports whether a further attempt may follow a failed one. It
// spends from the retry budget if a byte of the last attempt was sent.
func (x *exchange) canRetry(last *outcome) bool {
	now := x.h.config.Clock.Now()
	switch {
	case !last.retryable:
		return false
	case !x.body.canReplay():
		return false
	case x.ctx.Err() != nil || !now.Before(x.deadline):
		return false
	case x.sendCount >= x.attemptLimit() || len(x.tried) >= maxDials:
		return false
	case last.unsent:
		return true
	}
	return x.service.Budget != nil && x.service.Budget.Allow(x.rank, now)
}

// defaultMaxAttempts limits the attempts of one request of which a byte was
// sent, for routes that set no limit.
const defaultMaxAttempts = 3

// maxDials limits the backends that one request tries to reach, whether or not
// a byte was sent.
const maxDials = 6

func (x *exchange) attemptLimit() int {
	if x.route.Tries > 0 {
		return x.route.Tries
	}
	return defaultMaxAttempts
}

// finish releases the request's memory and records its measurements.
func (x *exchange) finish() {
	defer x.endUpload()
	if x.watch != nil {
		x.watch.stop()
	}
	x.releaseBodyMemory()
	x.returnUnusedToken()
	if x.service != nil && x.refusalKind == mustardramp.KindUnknown {
		x.service.typicalTimes.observe(x.rank, x.h.config.Clock.Now().Sub(x.arrived))
	}
	if x.h.config.Recorder == nil || x.route == nil {
		return
	}
	x.h.config.Recorder.Count(RequestStats{
		Service: x.contract.Service,
		Rank:    x.rank,
		Caller:  x.caller,
		Latency: x.h.config.Clock.Now().Sub(x.arrived),
		Wait:    x.slotWait,
		Size:    x.sentBytes,
		Refused: x.refusalKind,
	})
}
