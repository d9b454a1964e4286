package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// surface is an interface that a host serves beside its own, as a platform
// asks for it.
type surface struct {
	listener net.Listener
	handler  http.Handler
}

func newSurface(address netip.AddrPort, handler http.Handler) (*surface, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &surface{listener: l, handler: handler}, nil
}

func (s *surface) serve(ctx context.Context) error {
	return serveHTTP(ctx, s.listener, nil, s.handler)
}

// Open has the host serve a handler at an address as well. It is called before
// Run.
func (e *Entry) Open(address netip.AddrPort, handler http.Handler) error {
	s, err := newSurface(address, handler)
	if err == nil {
		e.surfaces = append(e.surfaces, s)
	}
	return err
}

// Reseed replaces the addresses by which the host finds others when it knows
// none.
func (e *Entry) Reseed(seeds []netip.AddrPort) {
	e.exchange.Reseed(seeds)
}

// Reseed replaces the addresses by which the host finds others when it knows
// none.
func (c *Control) Reseed(seeds []netip.AddrPort) {
	c.exchange.Reseed(seeds)
}

// Ready reports whether new work is welcome.
func (e *Entry) Ready() bool {
	return e.traffic.Ready()
}

// Open has the host serve a handler at an address as well. It is called before
// Run.
func (c *Control) Open(address netip.AddrPort, handler http.Handler) error {
	s, err := newSurface(address, handler)
	if err == nil {
		c.surfaces = append(c.surfaces, s)
	}
	return err
}
