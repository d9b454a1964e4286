package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/mustardramp/mustardramp/internal/callerconn"
)

// extraServer serves an HTTP handler at an address of its own, such as an
// interface that the platform requires.
type extraServer struct {
	listener net.Listener
	handler  http.Handler
	guard    *callerconn.Guard
}

func newExtraServer(address netip.AddrPort, handler http.Handler, guard *callerconn.Guard) (*extraServer, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &extraServer{listener: l, handler: handler, guard: guard}, nil
}

func (s *extraServer) serve(ctx context.Context) error {
	return serveHTTP(ctx, s.listener, nil, s.handler, s.guard)
}

// ServeAt listens at a further address, where Run serves the handler. It must be
// called before Run.
func (e *Entry) ServeAt(address netip.AddrPort, handler http.Handler) error {
	s, err := newExtraServer(address, handler, e.guards.newSide("readiness", false))
	if err == nil {
		e.extraServers = append(e.extraServers, s)
	}
	return err
}

// Reseed replaces the addresses at which the host looks for other hosts when it
// knows none.
func (e *Entry) Reseed(seeds []netip.AddrPort) {
	e.exchange.Reseed(seeds)
}

// Reseed replaces the addresses at which the host looks for other hosts when it
// knows none.
func (c *Control) Reseed(seeds []netip.AddrPort) {
	c.exchange.Reseed(seeds)
}

// Ready reports whether the host accepts new requests.
func (e *Entry) Ready() bool {
	return e.traffic.Ready()
}

// ServeAt listens at a further address, where Run serves the handler. It must be
// called before Run.
func (c *Control) ServeAt(address netip.AddrPort, handler http.Handler) error {
	s, err := newExtraServer(address, handler, c.guards.newMain("calls", nil, false))
	if err == nil {
		c.extraServers = append(c.extraServers, s)
	}
	return err
}
