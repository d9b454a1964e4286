package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerconn"
	"github.com/mustardramp/mustardramp/internal/keys"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/membership"
	"github.com/mustardramp/mustardramp/internal/setting"
)

const (
	// headerTimeout is the time within which a client must send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// httpStopTimeout bounds the graceful stop of the HTTP servers other than the
	// traffic server.
	httpStopTimeout = 2 * time.Second
)

// Files names the PEM files of one TLS configuration. An empty Cert turns TLS
// off.
type Files = keys.Files

// Common holds the checked settings that all hosts have.
type Common struct {
	Name  mustardramp.HostName
	Place mustardramp.Place
	// Link and Admin are addresses to listen on. With port 0 the operating system
	// chooses the port.
	Link       netip.AddrPort
	Admin      netip.AddrPort
	AdminToken string
	// Control lists all control hosts.
	Control []setting.Member
	// Seeds lists further link addresses at which the host asks to join.
	Seeds    []netip.AddrPort
	LinkTLS  Files
	AdminTLS Files
	// Memory is the memory that the process may use, or 0 if it has no limit.
	Memory mustardramp.Bytes
	// CallerMemory is the bound of what the host holds for callers, or 0 for a share
	// of Memory.
	CallerMemory mustardramp.Bytes
	// CallerConnections is the maximum number of connections of callers, or 0 for a
	// share of the descriptors.
	CallerConnections int
	// EmptyLines is the maximum number of empty lines before a request, or 0 for
	// callerconn.DefaultEmptyLines.
	EmptyLines int
	// Descriptors is the number of descriptors that the process may open, if it is
	// above 0 and below the limit that the operating system sets.
	Descriptors int
	// Clock defaults to the machine's clock.
	Clock mustardramp.Clock
}

// runtimeMemoryShare is the share of the memory that the Go runtime may use before it
// collects garbage more often. The rest is for what the runtime does not count.
const runtimeMemoryShare = 0.7

// limitMemory sets the memory limit of the runtime. Without one the heap may grow to
// twice the live data before garbage is collected.
func (c *Common) limitMemory() {
	if c.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(c.Memory) * runtimeMemoryShare))
	}
}

func (c *Common) clock() mustardramp.Clock {
	if c.Clock == nil {
		return mustardramp.SystemClock{}
	}
	return c.Clock
}

// incarnation returns the number of this start of the process: its Unix time in
// milliseconds, so that a later start has a higher number without stored state.
func (c *Common) incarnation() mustardramp.Incarnation {
	return mustardramp.Incarnation(c.clock().Now().UnixMilli())
}

// seeds lists the addresses at which the host asks to join the fleet: the other
// control hosts and the configured seeds.
func (c *Common) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range c.Control {
		if m.Name != c.Name {
			out = append(out, m.Address)
		}
	}
	return append(out, c.Seeds...)
}

// tlsConfigs holds the TLS configurations of a host. A nil one means plain TCP.
type tlsConfigs struct {
	// linkServer and linkClient secure the links between hosts.
	linkServer, linkClient *tls.Config
	admin                  *tls.Config
	traffic                *tls.Config
}

// loadTLS reads the TLS files of the settings. traffic names the files for the
// requests of callers.
func (c *Common) loadTLS(traffic Files) (tlsConfigs, error) {
	var s tlsConfigs
	if c.LinkTLS.Cert != "" {
		reloader, err := keys.New(c.LinkTLS, c.Clock)
		if err != nil {
			return s, err
		}
		s.linkServer, s.linkClient = reloader.MutualConfig(), reloader.ClientConfig()
	}
	var err error
	if s.admin, err = c.serverTLS(c.AdminTLS); err != nil {
		return s, err
	}
	s.traffic, err = c.serverTLS(traffic)
	return s, err
}

// serverTLS returns a server's TLS configuration, or nil if files names no
// certificate.
func (c *Common) serverTLS(files Files) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	reloader, err := keys.New(files, c.Clock)
	if err != nil {
		return nil, err
	}
	return reloader.ServerConfig(), nil
}

// self returns this host's statement about itself.
func (c *Common) self(role membership.Role, link, admin netip.AddrPort, incarnation mustardramp.Incarnation) membership.Host {
	return membership.Host{
		Name:         c.Name,
		Role:         role,
		Place:        c.Place,
		Address:      link,
		AdminAddress: admin,
		Incarnation:  incarnation,
	}
}

// controlLinks returns one link to each other control host.
func (c *Common) controlLinks(config *tls.Config) []link.Invoker {
	var out []link.Invoker
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

// addressOf returns the TCP address of a listener, or the zero AddrPort if the
// listener is nil.
func addressOf(l net.Listener) netip.AddrPort {
	if l == nil {
		return netip.AddrPort{}
	}
	if tcp, ok := l.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// serveHTTP serves until the context ends and then shuts down gracefully. A nil
// config means plain HTTP.
func serveHTTP(ctx context.Context, listener net.Listener, config *tls.Config, handler http.Handler, guard *callerconn.Guard) error {
	server := &http.Server{Handler: handler, TLSConfig: config, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	guard.Attach(server)
	listener = guard.Listener(listener)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpStopTimeout)
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

// every calls fn at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
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
