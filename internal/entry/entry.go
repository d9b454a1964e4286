// Package entry implements the data path of an entry host: it matches a
// caller's request to a route of a contract or of the routing table, sends it
// to a backend and relays the complete response, or refuses it with a verdict
// on whether it ran.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
	"github.com/mustardramp/mustardramp/internal/pacing"
	"github.com/mustardramp/mustardramp/internal/pipeline"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Service holds the state of one service on this host.
type Service struct {
	// Pool is never nil.
	Pool mustardramp.Pool
	// Budget may be nil; then only requests of which no byte was sent are
	// retried.
	Budget mustardramp.RetryBudget

	// typicalTimes holds how long answered requests took.
	typicalTimes typicalTimes
	// hedgeOnce sets the budget of hedge on first use.
	hedgeOnce sync.Once
	// hedge tracks read latencies for contracts that enable hedging.
	hedge retry.Hedge
}

// Services looks up the state of a service. It is called for each request, so
// implementations must not take a lock.
type Services interface {
	// Service returns nil if the service has not started on this host.
	Service(name mustardramp.ServiceName) *Service
}

// Observer receives the result of each attempt.
type Observer interface {
	Observe(o mustardramp.Observation)
}

// RequestRecorder receives the measurements of each request.
type RequestRecorder interface {
	// Count is called once for each request that matched a route.
	Count(m RequestStats)
}

// RequestStats holds the measurements of one request.
type RequestStats struct {
	Service mustardramp.ServiceName
	Rank    mustardramp.Rank
	Caller  mustardramp.CallerName
	// Latency is the time from arrival to the end of the response.
	Latency time.Duration
	// Wait is the time spent waiting for slots.
	Wait time.Duration
	// Size is the length of the response body that was sent.
	Size mustardramp.Bytes
	// Refused is KindUnknown if a complete response was relayed.
	Refused mustardramp.RefusalKind
}

// DialFunc opens a connection to a backend.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Handler. Contracts and Services are required; the zero
// value of every other field is usable.
type Config struct {
	Host        mustardramp.HostName
	Incarnation mustardramp.Incarnation
	// Contracts returns the contracts in force, or nil until the host has
	// received them. It must not take a lock.
	Contracts func() *contract.Set
	// Started is closed once Contracts returns the first contracts. Requests that arrive
	// before are held for a short time. If it is nil, they are refused at once.
	Started <-chan struct{}
	// IsCurrent reports whether the contracts are known to be the newest. Otherwise a
	// key that is not among them may belong to a workspace all the same. It must not
	// take a lock. It may be nil; then they always are.
	IsCurrent func() bool
	Services  Services
	// Ledger may be nil; then requests for routes with an operation key are
	// refused.
	Ledger mustardramp.Ledger
	// Observer, Watcher and Recorder may be nil.
	Observer Observer
	Watcher  mustardramp.Watcher
	Recorder RequestRecorder
	// Leaving is called with each backend that states in an answer that it is
	// leaving. It may be nil.
	Leaving func(mustardramp.Backend)
	Clock   mustardramp.Clock
	// Refusals stores recent refusals. If nil, the handler creates its own.
	Refusals *refusal.Store
	// CallerHeader names the header in which a trusted load balancer states the
	// caller. If empty, no header is trusted.
	CallerHeader string
	// Dial may be nil; then backends are dialed over TCP.
	Dial DialFunc
	// StallTimeout is the longest time without progress in a request or response
	// body, at the caller or the backend. Zero means DefaultStallTimeout.
	StallTimeout time.Duration
	// LinkRate is the bandwidth of the host's link in each direction, in bytes
	// per second. Zero disables pacing.
	LinkRate mustardramp.Bytes
	// BodyMemory limits the bytes of request bodies buffered at one time. Zero
	// means DefaultBodyMemory.
	BodyMemory mustardramp.Bytes
	// Quotas admits the requests of workspaces with a quota. It may be nil; then
	// quotas have no effect.
	Quotas mustardramp.Quotas
	// Account counts what the host holds for callers, and may be nil. Bodies are only
	// buffered, and new requests only accepted, while it has room.
	Account *callerlimit.Account
	// Headers configures the headers exchanged with callers and backends.
	Headers Headers
}

// Handler serves the requests of callers on an entry host.
type Handler struct {
	config     Config
	transports transports
	// inbound and outbound pace request bodies on the host's link. They are nil
	// if Config.LinkRate is zero.
	inbound, outbound *pacing.Link
	buffers           sync.Pool
	heldBodyBytes     atomic.Int64
	inFlight          atomic.Int64
	detachedCursor    atomic.Uint64
	// draining makes the handler close each connection after its response;
	// stopping makes it refuse new requests.
	draining atomic.Bool
	stopping atomic.Bool
	// stopped is closed when stopping is set.
	stopped  chan struct{}
	stopOnce sync.Once
	// created is when the handler was made.
	created time.Time
	// stopEnd is when the requests in flight are ended, or nil while the host is
	// not stopping or has no limit for that.
	stopEnd  atomic.Pointer[time.Time]
	settler  settler
	splitter splitter
	// root is canceled when the operator aborts the requests in flight. The
	// contexts in detached derive from it. Requests are spread over them because
	// deriving a context locks its parent.
	root       context.Context
	cancelRoot context.CancelCauseFunc
	detached   [detachedContextCount]detachedContext
}

const detachedContextCount = 64

// detachedContext is a context that outlives the request that uses it.
type detachedContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a handler. Call Close once no request is in flight.
func New(config Config) *Handler {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	if config.Refusals == nil {
		config.Refusals = &refusal.Store{}
	}
	if config.StallTimeout <= 0 {
		config.StallTimeout = DefaultStallTimeout
	}
	if config.BodyMemory <= 0 {
		config.BodyMemory = DefaultBodyMemory
	}
	config.Headers = config.Headers.withDefaults()
	h := &Handler{
		config: config, transports: newTransports(config.Dial),
		inbound: pacing.NewLink(config.LinkRate), outbound: pacing.NewLink(config.LinkRate),
		stopped: make(chan struct{}), created: config.Clock.Now(),
	}
	h.root, h.cancelRoot = context.WithCancelCause(context.Background())
	for i := range h.detached {
		h.detached[i].ctx, h.detached[i].cancel = context.WithCancel(h.root)
	}
	h.buffers.New = func() any {
		buf := make([]byte, bufferSize)
		return &buf
	}
	h.settler.start(config.Ledger)
	return h
}

// Refusals returns the store of the refusals that the handler issued.
func (h *Handler) Refusals() *refusal.Store {
	return h.config.Refusals
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// CallerLimits returns the limits of the routing table in force, or zero limits.
func (h *Handler) CallerLimits() callerlimit.Limits {
	l := h.config.Contracts().Limits()
	return callerlimit.Limits{HeadBytes: l.Header, HeadTime: time.Duration(l.HeaderTime), IdleTime: time.Duration(l.Idle)}
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.draining.Load() && pipeline.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	x := exchange{
		h:       h,
		w:       w,
		r:       r,
		arrived: h.config.Clock.Now(),
		verdict: mustardramp.VerdictNotRun(),
	}
	x.ctx, x.cancel = context.WithCancelCause(r.Context())
	defer x.cancel(nil)
	x.caller, x.callerStable = h.identifyCaller(r)
	defer x.finish()
	if denial := x.run(); denial != nil {
		x.refuse(denial)
	}
}

// Close closes idle connections, cancels the detached contexts, and waits until
// all outcomes are settled in the ledger or the context ends.
func (h *Handler) Close(ctx context.Context) error {
	h.transports.closeIdle()
	for i := range h.detached {
		h.detached[i].cancel()
	}
	return h.settler.stop(ctx)
}

// withJitter varies a duration by up to a third in either direction, so that
// callers do not all retry at the same time.
func (h *Handler) withJitter(d time.Duration) time.Duration {
	return d*2/3 + time.Duration(rand.Int64N(int64(d)*2/3+1))
}

// nextDetachedContext returns a context that does not end with the request.
func (h *Handler) nextDetachedContext() context.Context {
	return h.detached[h.detachedCursor.Add(1)%detachedContextCount].ctx
}
