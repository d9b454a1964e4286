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
)

// Limits of the connections from callers. No limit bounds a whole request: an
// upload may take hours, as long as it moves.
const (
	headerTimeout = 10 * time.Second
	idleCaller    = 2 * time.Minute
	// cutGrace is the time in which requests that were cut may still answer.
	cutGrace = time.Second
	// settleGrace is the time for the outcomes that the ledger has not
	// confirmed when the last request has ended.
	settleGrace = 10 * time.Second
	stopPoll    = 10 * time.Millisecond
)

// Server serves a Handler and stops without cutting a request.
type Server struct {
	// Handler is required.
	Handler *Handler
	// Delay is the time between the fall of readiness and the end of
	// accepting, in which a balancer learns to send new work elsewhere.
	Delay time.Duration
	// TLS may be nil: then callers connect in plain text.
	TLS *tls.Config

	server http.Server
	// ready is true while new work is welcome.
	ready atomic.Bool
}

// NewServer returns a server that is not ready until it serves.
func NewServer(handler *Handler, delay time.Duration, config *tls.Config) *Server {
	s := &Server{Handler: handler, Delay: delay, TLS: config}
	s.server = http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleCaller,
		MaxHeaderBytes:    MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return handler.base },
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}
	return s
}

// Serve accepts connections until Stop. It returns nil after a stop.
func (s *Server) Serve(listener net.Listener) error {
	s.ready.Store(true)
	var err error
	if s.TLS != nil {
		err = s.server.ServeTLS(listener, "", "")
	} else {
		err = s.server.Serve(listener)
	}
	s.ready.Store(false)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Ready reports whether new work is welcome: the host serves, knows a
// configuration and does not stop.
func (s *Server) Ready() bool {
	return s.ready.Load() && s.Handler.config.Contracts() != nil
}

// Readiness answers a balancer's question for readiness.
func (s *Server) Readiness(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Stop ends the service gracefully: readiness falls; answers close their
// connections; after the delay no connection is accepted and new requests are
// refused; requests in flight take as long as they need; outcomes are settled.
// The end of the context is the operator's choice to cut what is in flight.
func (s *Server) Stop(ctx context.Context) error {
	klog.InfoS("stop-begun", "in-flight", s.Handler.InFlight())
	s.ready.Store(false)
	s.Handler.draining.Store(true)
	pauseFor(ctx, s.Delay)
	s.Handler.stopping.Store(true)
	err := s.server.Shutdown(ctx)
	if ctx.Err() != nil {
		err = s.cut()
	}
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleGrace)
	defer cancel()
	lost := s.Handler.Close(settle)
	klog.InfoS("stop-ended", "in-flight", s.Handler.InFlight())
	return errors.Join(err, lost)
}

// cut ends every request in flight. Each one logs its verdict.
func (s *Server) cut() error {
	klog.InfoS("stop-cut", "in-flight", s.Handler.InFlight())
	s.Handler.cut(errCut)
	s.await(cutGrace)
	err := s.server.Close()
	s.await(cutGrace)
	return err
}

// await waits until no request is in flight, for a time.
func (s *Server) await(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for s.Handler.InFlight() > 0 && pauseFor(ctx, stopPoll) {
		continue
	}
}
