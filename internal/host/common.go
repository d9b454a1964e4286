package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/setting"
)

const (
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// adminStop bounds the graceful stop of the administration API.
	adminStop = 5 * time.Second
)

// Files name the PEM files of one TLS setting. Empty names turn it off.
type Files struct {
	Cert string
	Key  string
	// CA is the authority of the other side's certificates.
	CA string
}

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

func listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

func addressOf(l net.Listener) netip.AddrPort {
	if tcp, ok := l.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// serveHTTP serves until the context ends, then stops gracefully.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminStop)
		defer cancel()
		return server.Shutdown(stop)
	})
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return group.Wait()
}

// callers returns one link to each control host but the named one.
func callers(members []setting.Member, but mustardramp.HostName) []link.Caller {
	var out []link.Caller
	for _, m := range members {
		if m.Name != but {
			out = append(out, &link.Client{Address: m.Address})
		}
	}
	return out
}
