// Package entry is the data path of an entry host: it takes a caller's
// request, finds the rule that holds for it, sends it to a backend and relays
// the whole answer, or refuses it with a verdict on whether it ran.
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
	"github.com/mustardramp/mustardramp/internal/pacing"
	"github.com/mustardramp/mustardramp/internal/refusal"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Service is the running part of one service on this host.
type Service struct {
	// Pool is never nil.
	Pool mustardramp.Pool
	// Budget may be nil: then no attempt is repeated.
	Budget mustardramp.RetryBudget

	// ready gives hedge its budget, once.
	ready sync.Once
	// hedge learns the latencies of the reads of contracts with hedges.
	hedge retry.Hedge
}

// Services finds the running part of a service. It is read for each request,
// so it takes no lock.
type Services interface {
	// Service returns nil for a service that has not started on this host.
	Service(name mustardramp.ServiceName) *Service
}

// Observer takes in the outcome of each attempt.
type Observer interface {
	Observe(o mustardramp.Observation)
}

// Tally takes in the measures of each request.
type Tally interface {
	// Count is called once for each request that a contract was found for.
	Count(m Measure)
}

// Measure is what one request cost.
type Measure struct {
	Service mustardramp.ServiceName
	Rank    mustardramp.Rank
	Caller  mustardramp.CallerName
	// Latency is the time from arrival to the end of the answer.
	Latency time.Duration
	// Wait is the time spent in queues for a slot.
	Wait time.Duration
	// Size is the length of the answer's body.
	Size mustardramp.Bytes
	// Refused is KindUnknown when a backend's answer was relayed whole.
	Refused mustardramp.RefusalKind
}

// DialFunc opens a connection to a backend.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config is what a Handler needs. Contracts and Services are required; the
// zero value of every other field works.
type Config struct {
	Host        mustardramp.HostName
	Incarnation mustardramp.Incarnation
	// Contracts returns the contracts in force, or nil before the host knows
	// them. It takes no lock.
	Contracts func() *contract.Set
	Services  Services
	// Ledger may be nil: then routes with a key are refused.
	Ledger mustardramp.Ledger
	// Observer, Watcher and Tally may be nil.
	Observer Observer
	Watcher  mustardramp.Watcher
	Tally    Tally
	Clock    mustardramp.Clock
	// Refusals may be nil: then the handler keeps a memory of its own.
	Refusals *refusal.Memory
	// CallerHeader names the header in which a trusted balancer states the
	// caller. Empty means that no header is trusted.
	CallerHeader string
	// Dial may be nil: then backends are dialed over TCP.
	Dial DialFunc
	// Stall is the longest time without a byte in a body, either way, on either
	// side; zero stands for DefaultStall.
	Stall time.Duration
	// LinkRate is the rate of the host's own link each way in bytes a second, or
	// 0 for one that need not be minded.
	LinkRate mustardramp.Bytes
	// Memory bounds the bytes of request bodies held at one time; zero stands
	// for DefaultMemory.
	Memory mustardramp.Bytes
	// Headers names the headers shared with callers and backends.
	Headers Headers
}

// Handler is the http.Handler of an entry host.
type Handler struct {
	config    Config
	transport transport
	// inbound and outbound pace the bodies of requests on the host's link; they
	// are nil where the link need not be minded.
	inbound, outbound *pacing.Link
	buffers           sync.Pool
	held              atomic.Int64
	inFlight          atomic.Int64
	spread            atomic.Uint64
	// draining hosts close each connection with its answer; stopping ones take
	// no new request.
	draining atomic.Bool
	stopping atomic.Bool
	settler  settler
	splits   splits
	// base ends when the operator cuts what is still in flight. Each of bases
	// ends with it; requests spread over them, because a context locks when
	// another one is derived from it.
	base  context.Context
	cut   context.CancelCauseFunc
	bases [baseCount]base
}

const baseCount = 64

// base is a context that outlives requests.
type base struct {
	ctx context.Context
	end context.CancelFunc
}

// New returns a handler. Close it when no request is in flight any more.
func New(config Config) *Handler {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	if config.Refusals == nil {
		config.Refusals = &refusal.Memory{}
	}
	if config.Stall <= 0 {
		config.Stall = DefaultStall
	}
	if config.Memory <= 0 {
		config.Memory = DefaultMemory
	}
	config.Headers = config.Headers.orDefault()
	h := &Handler{
		config: config, transport: newTransport(config.Dial),
		inbound: pacing.NewLink(config.LinkRate), outbound: pacing.NewLink(config.LinkRate),
	}
	h.base, h.cut = context.WithCancelCause(context.Background())
	for i := range h.bases {
		h.bases[i].ctx, h.bases[i].end = context.WithCancel(h.base)
	}
	h.buffers.New = func() any {
		buf := make([]byte, bufferSize)
		return &buf
	}
	h.settler.start(config.Ledger)
	return h
}

// Refusals returns the memory of the refusals that the handler made.
func (h *Handler) Refusals() *refusal.Memory {
	return h.config.Refusals
}

// InFlight counts the requests under way.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := exchange{
		h:       h,
		w:       w,
		r:       r,
		arrived: h.config.Clock.Now(),
		verdict: mustardramp.Not(),
	}
	x.caller, x.steady = h.callerOf(r)
	defer x.end()
	if denial := x.run(); denial != nil {
		x.refuse(denial)
	}
}

// Close ends what the handler keeps for later requests: idle connections and
// the settling of outcomes, which it waits for until the context ends.
func (h *Handler) Close(ctx context.Context) error {
	h.transport.closeIdle()
	for i := range h.bases {
		h.bases[i].end()
	}
	return h.settler.stop(ctx)
}

// spreadOut varies a time by a third either way, so that callers do not come back
// together.
func (h *Handler) spreadOut(d time.Duration) time.Duration {
	return d*2/3 + time.Duration(rand.Int64N(int64(d)*2/3+1))
}

// lasting returns a context that does not end with a request.
func (h *Handler) lasting() context.Context {
	return h.bases[h.spread.Add(1)%baseCount].ctx
}
