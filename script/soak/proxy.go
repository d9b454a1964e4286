package main

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// impairment describes how a proxy disturbs its connections.
type impairment struct {
	// delay is the time for which each piece is held back, in both directions.
	delay time.Duration
	// dropToTarget and dropFromTarget drop all bytes in one direction.
	dropToTarget, dropFromTarget bool
	// refuse closes new connections at once.
	refuse bool
}

// proxy forwards connections over loopback, subject to its impairment.
type proxy struct {
	address string
	target  string

	mu         sync.Mutex
	impairment impairment
	open       map[net.Conn]bool
}

func newProxy(f *fleet, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, open: map[net.Conn]bool{}}
	f.group.Go(func() error {
		<-f.ctx.Done()
		p.reset()
		return l.Close()
	})
	f.group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			f.group.Go(func() error {
				p.serve(f.ctx, conn)
				return nil
			})
		}
	})
	return p, nil
}

func (p *proxy) setImpairment(imp impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = imp
}

func (p *proxy) currentImpairment() impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) setOpen(conn net.Conn, isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isOpen {
		p.open[conn] = true
		return
	}
	delete(p.open, conn)
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.currentImpairment().refuse {
		return
	}
	var d net.Dialer
	server, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	for _, conn := range []net.Conn{client, server} {
		p.setOpen(conn, true)
		defer p.setOpen(conn, false)
	}
	var group errgroup.Group
	group.Go(func() error { return p.forward(server, client, func(imp impairment) bool { return imp.dropToTarget }) })
	group.Go(func() error {
		return p.forward(client, server, func(imp impairment) bool { return imp.dropFromTarget })
	})
	_ = group.Wait()
}

// forward copies bytes from one connection to the other. Once bytes are dropped,
// it forwards nothing more on this connection.
func (p *proxy) forward(to, from net.Conn, isDropped func(impairment) bool) error {
	b := make([]byte, 16<<10)
	lost := false
	defer func() {
		// After dropped bytes, the end of the stream is not forwarded either.
		if tcp, ok := to.(*net.TCPConn); ok && !lost {
			_ = tcp.CloseWrite()
		}
	}()
	for {
		n, err := from.Read(b)
		imp := p.currentImpairment()
		time.Sleep(imp.delay)
		lost = lost || isDropped(imp) && n > 0
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}
