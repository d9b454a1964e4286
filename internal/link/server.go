package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// acceptRetryDelay is the pause before the next accept after a failed one.
const acceptRetryDelay = 50 * time.Millisecond

// Server answers the calls of peers. The zero value is ready to use and has no
// handlers.
type Server struct {
	Router Router
	// TLS is nil for plain TCP. Its ClientAuth and ClientCAs set up mutual TLS.
	TLS *tls.Config
	// MaxMessage is the size limit of a message in either direction; 0 means
	// DefaultMaxMessage.
	MaxMessage mustardramp.Bytes
	// Timeout is the time limit of the TLS handshake and of each write; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// Concurrency limits the calls that are handled at the same time for one
	// connection; 0 means DefaultConcurrency.
	Concurrency int
	// Traffic counts the bytes of all connections.
	Traffic Traffic
}

// Serve accepts connections until ctx is done. It returns when all connections
// are closed and all handlers have returned.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		return s.accept(ctx, group, listener)
	})
	err := group.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// accept serves each connection of the listener in a goroutine of group.
func (s *Server) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			// The process may be out of file descriptors for a moment.
			klog.ErrorS(err, "accept-failed", "address", listener.Addr())
			time.Sleep(acceptRetryDelay)
			continue
		}
		group.Go(func() error {
			s.serveConn(ctx, conn)
			return nil
		})
	}
}

// serveConn answers the calls of one connection until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	timeout := orDefault(s.Timeout, DefaultTimeout)
	transport := net.Conn(&countingConn{Conn: conn, traffic: &s.Traffic, writeTimeout: timeout})
	peer := Peer{Address: addrPort(conn.RemoteAddr())}
	if s.TLS != nil {
		tlsConn := tls.Server(transport, s.TLS)
		name, err := handshake(ctx, tlsConn, timeout)
		if err != nil {
			klog.InfoS("link-refused", "peer", peer.Address, "cause", err)
			_ = conn.Close()
			return
		}
		peer.Name = name
		transport = tlsConn
	}
	calls := &callHandler{router: &s.Router}
	calls.group.SetLimit(orDefault(s.Concurrency, DefaultConcurrency))
	stream := jsonrpc2.NewBufferedStream(transport, codec{orDefault(s.MaxMessage, DefaultMaxMessage)})
	rpc := jsonrpc2.NewConn(context.WithValue(ctx, peerKey{}, peer), stream, calls, jsonrpc2.SetLogger(logger{}))
	<-rpc.DisconnectNotify()
	calls.wait()
}

// handshake performs the TLS handshake and returns the common name of the peer's
// certificate, or "" if the peer has none.
func handshake(ctx context.Context, conn *tls.Conn, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return "", err
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return "", nil
	}
	return certs[0].Subject.CommonName, nil
}

// addrPort returns the IP address and port of a TCP address.
func addrPort(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// callHandler handles the calls of one connection concurrently.
type callHandler struct {
	router *Router
	group  errgroup.Group
	mu     sync.Mutex
	// closed is set before wait waits for group; no call is started afterwards.
	closed bool
}

// Handle starts a call. It blocks while the connection is at its limit of
// concurrent calls, so that the peer's writes slow down.
func (h *callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.group.Go(func() error {
		if err := h.router.dispatch(ctx, conn, req); err != nil {
			klog.V(1).InfoS("response-lost", "method", req.Method, "cause", err)
		}
		return nil
	})
}

// wait refuses new calls and returns when all running ones have ended.
func (h *callHandler) wait() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	_ = h.group.Wait()
}

// logger writes the log lines of the jsonrpc2 package to klog.
type logger struct{}

// Printf logs at a verbosity that is off by default, because the code that makes
// a call logs the loss of a peer itself.
func (logger) Printf(format string, v ...any) {
	klog.V(2).Infof("link: "+format, v...)
}
