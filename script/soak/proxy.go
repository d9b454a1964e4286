package main

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// weather is what a proxy does to the connections through it.
type weather struct {
	// delay holds each piece back, in both directions.
	delay time.Duration
	// up and down are cut one way: what is sent there is lost.
	up, down bool
	// refuse resets new connections.
	refuse bool
}

// proxy passes connections on over loopback, through its weather.
type proxy struct {
	address string
	target  string

	mu      sync.Mutex
	weather weather
	open    map[net.Conn]bool
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

func (p *proxy) set(w weather) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weather = w
}

func (p *proxy) now() weather {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weather
}

// reset ends all connections without a word.
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

func (p *proxy) hold(conn net.Conn, is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if is {
		p.open[conn] = true
		return
	}
	delete(p.open, conn)
}

func (p *proxy) serve(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	if p.now().refuse {
		return
	}
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	for _, conn := range []net.Conn{near, far} {
		p.hold(conn, true)
		defer p.hold(conn, false)
	}
	var group errgroup.Group
	group.Go(func() error { return p.pump(far, near, func(w weather) bool { return w.up }) })
	group.Go(func() error { return p.pump(near, far, func(w weather) bool { return w.down }) })
	_ = group.Wait()
}

// pump passes bytes on. What is sent into a cut is lost for good.
func (p *proxy) pump(to, from net.Conn, isCut func(weather) bool) error {
	b := make([]byte, 16<<10)
	lost := false
	defer func() {
		// The end of what was lost is lost too.
		if tcp, ok := to.(*net.TCPConn); ok && !lost {
			_ = tcp.CloseWrite()
		}
	}()
	for {
		n, err := from.Read(b)
		w := p.now()
		time.Sleep(w.delay)
		lost = lost || isCut(w) && n > 0
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
