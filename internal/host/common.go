package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/keys"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/setting"
)

const (
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// httpStop bounds the graceful stop of the listeners beside the traffic.
	httpStop = 2 * time.Second
)

// Files name the PEM files of one TLS setting. Empty names turn it off.
type Files = keys.Files

// Common are the settings of every host, checked.
type Common struct {
	Name  mustardramp.HostName
	Place mustardramp.Place
	// Link and Admin may have port 0: then the system chooses.
	Link       netip.AddrPort
	Admin      netip.AddrPort
	AdminToken string
	// Control lists all control hosts.
	Control  []setting.Member
	Seeds    []netip.AddrPort
	LinkTLS  Files
	AdminTLS Files
	// Clock is nil for the machine's clock.
	Clock mustardramp.Clock
}

func (c *Common) clock() mustardramp.Clock {
	if c.Clock == nil {
		return mustardramp.SystemClock{}
	}
	return c.Clock
}

// incarnation returns the number of this start: the start's time in
// milliseconds, so that a later start has a higher one without a disk.
func (c *Common) incarnation() mustardramp.Incarnation {
	return mustardramp.Incarnation(c.clock().Now().UnixMilli())
}

// seeds lists where the host asks to join: all control hosts, and the seeds.
func (c *Common) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range c.Control {
		if m.Name != c.Name {
			out = append(out, m.Address)
		}
	}
	return append(out, c.Seeds...)
}

// secrets are the TLS settings of a host; nil ones mean plain TCP.
type secrets struct {
	// linkServer and linkClient are for the links between hosts.
	linkServer, linkClient *tls.Config
	admin                  *tls.Config
	traffic                *tls.Config
}

func (c *Common) secrets(traffic Files) (secrets, error) {
	var s secrets
	if c.LinkTLS.Cert != "" {
		ring, err := keys.New(c.LinkTLS, c.Clock)
		if err != nil {
			return s, err
		}
		s.linkServer, s.linkClient = ring.Mutual(), ring.Client()
	}
	var err error
	if s.admin, err = c.serverTLS(c.AdminTLS); err != nil {
		return s, err
	}
	s.traffic, err = c.serverTLS(traffic)
	return s, err
}

func (c *Common) serverTLS(files Files) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	ring, err := keys.New(files, c.Clock)
	if err != nil {
		return nil, err
	}
	return ring.Server(), nil
}

// self is the host's statement about itself.
func (c *Common) self(role membership.Role, link, admin netip.AddrPort, incarnation mustardramp.Incarnation) membership.Host {
	return membership.Host{
		Name:        c.Name,
		Role:        role,
		Place:       c.Place,
		Address:     link,
		Service:     admin,
		Incarnation: incarnation,
	}
}

// callers returns one link to each control host but this one.
func (c *Common) callers(config *tls.Config) []link.Caller {
	var out []link.Caller
	for _, m := range c.Control {
		if m.Name != c.Name {
			out = append(out, &link.Client{Address: m.Address, TLS: config})
		}
	}
	return out
}

func listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

func addressOf(l net.Listener) netip.AddrPort {
	if l == nil {
		return netip.AddrPort{}
	}
	if tcp, ok := l.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// serveHTTP serves until the context ends, then stops gracefully.
func serveHTTP(ctx context.Context, listener net.Listener, config *tls.Config, handler http.Handler) error {
	server := &http.Server{Handler: handler, TLSConfig: config, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpStop)
		defer cancel()
		if server.Shutdown(stop) != nil {
			return server.Close()
		}
		return nil
	})
	group.Go(func() error {
		err := serve(server, listener)
		if err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// every calls fn again and again until the context ends.
func every(ctx context.Context, pause time.Duration, fn func()) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
