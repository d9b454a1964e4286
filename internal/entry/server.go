package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp/internal/callerconn"
	"github.com/mustardramp/mustardramp/internal/pipeline"
)

// Limits on caller connections that carry TLS; those of the others are in
// internal/callerconn. No limit applies to a request as a whole: an upload may take
// hours as long as it makes progress.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	// abortGrace is how long aborted requests may take to send their refusal.
	abortGrace = time.Second
	// lastWriteTime is the time for the server to write the answers of handlers
	// that have returned.
	lastWriteTime = 50 * time.Millisecond
	// settlementGrace limits the wait for settlements that the ledger has not
	// confirmed when the last request ends.
	settlementGrace      = 10 * time.Second
	inFlightPollInterval = 10 * time.Millisecond
)

// Server serves a Handler and stops without interrupting requests.
type Server struct {
	// Handler is required.
	Handler *Handler
	// StopDelay is the time between reporting not ready and closing the
	// listener. It lets a load balancer direct new requests to other hosts.
	StopDelay time.Duration
	// Grace is the time after the start of a stop at which the process is ended from
	// outside. Zero means that a stop may take as long as the requests in flight.
	Grace time.Duration
	// TLS may be nil; then callers connect in plain text.
	TLS *tls.Config
	// Guard limits the connections of callers. NewServer sets one that applies the
	// limits of the routing table in force.
	Guard *callerconn.Guard
	// Pipeline is the largest number of requests in progress of one connection in plain
	// text. 0 means pipeline.DefaultRequests; with 1 the next request starts after the
	// answer to the one before.
	Pipeline int

	server http.Server
	// pipelined is nil before Serve, and if the server runs no requests concurrently.
	pipelined atomic.Pointer[pipeline.Listener]
	// ready is true from the start of Serve until Stop is called or Serve ends.
	ready atomic.Bool
}

// NewServer returns a server that is not ready until Serve is called.
func NewServer(handler *Handler, stopDelay time.Duration, config *tls.Config) *Server {
	s := &Server{Handler: handler, StopDelay: stopDelay, TLS: config}
	s.server = http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return handler.root },
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}
	s.Guard = callerconn.New("callers", callerconn.Config{Limits: handler.CallerLimits, Encrypted: config != nil})
	return s
}

// Serve accepts connections until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.Guard.Attach(&s.server)
	attach := s.server.ConnContext
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return withCallerConn(attach(ctx, conn), conn)
	}
	listener = s.Guard.Listener(listener)
	s.ready.Store(true)
	var err error
	if s.TLS != nil {
		err = s.server.ServeTLS(listener, "", "")
	} else {
		err = s.server.Serve(s.splitPipelined(listener))
	}
	s.ready.Store(false)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// splitPipelined returns a listener that lets pipelined requests run concurrently, or the
// given one if that is turned off.
func (s *Server) splitPipelined(listener net.Listener) net.Listener {
	if s.Pipeline == 1 {
		return listener
	}
	pipelined := pipeline.NewListener(listener, pipeline.Limits{Requests: s.Pipeline})
	follow, attach := s.server.ConnState, s.server.ConnContext
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return pipelined.ConnContext(attach(ctx, conn), conn)
	}
	s.server.ConnState = func(conn net.Conn, state http.ConnState) {
		// The guard may refuse the next request once it knows of the end of the last one,
		// so the answers that were held back are written before.
		pipelined.ConnState(conn, state)
		follow(conn, state)
	}
	s.pipelined.Store(pipelined)
	return pipelined
}

// Ready reports whether load balancers should send requests to the server: it is
// serving, has a configuration and is not stopping.
func (s *Server) Ready() bool {
	return s.ready.Load() && s.Handler.config.Contracts() != nil
}

// Readiness handles readiness probes of load balancers.
func (s *Server) Readiness(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Stop shuts the server down gracefully. The server reports not ready and
// closes each connection after its response. After StopDelay it refuses new
// requests and accepts no connections. It then waits for the requests in flight
// and, for up to settlementGrace, for the settlements. If the context ends, or
// shortly before the end of Grace, the requests in flight are aborted.
func (s *Server) Stop(ctx context.Context) error {
	klog.InfoS("stop-begun", "in-flight", s.Handler.InFlight(), "grace", s.Grace)
	if s.Grace > 0 {
		remaining := s.Grace - closingTime(s.Grace)
		end := s.Handler.config.Clock.Now().Add(remaining)
		s.Handler.stopEnd.Store(&end)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	s.ready.Store(false)
	s.Handler.draining.Store(true)
	sleep(ctx, s.StopDelay)
	s.Handler.refuseNew()
	err := s.server.Shutdown(ctx)
	if pipelined := s.pipelined.Load(); pipelined != nil {
		pipelined.Wait(ctx)
	}
	if ctx.Err() != nil {
		err = s.abortInFlight()
	}
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settlementGrace)
	defer cancel()
	closeErr := s.Handler.Close(settleCtx)
	klog.InfoS("stop-ended", "in-flight", s.Handler.InFlight())
	return errors.Join(err, closeErr)
}

// abortInFlight aborts every request in flight. Each one logs its verdict.
func (s *Server) abortInFlight() error {
	klog.InfoS("stop-aborted", "in-flight", s.Handler.InFlight())
	s.Handler.cancelRoot(errAborted)
	s.waitUntilIdle(abortGrace)
	// The last answers are written after their handlers have returned.
	time.Sleep(lastWriteTime)
	err := s.server.Close()
	s.waitUntilIdle(abortGrace)
	return err
}

// waitUntilIdle waits until no request is in flight or the limit has passed.
func (s *Server) waitUntilIdle(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for s.Handler.InFlight() > 0 && sleep(ctx, inFlightPollInterval) {
		continue
	}
}
