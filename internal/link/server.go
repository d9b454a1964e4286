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

// acceptPause is the pause after a failed accept.
const acceptPause = 50 * time.Millisecond

// Server answers the calls of peers. Its zero value works, without any handler.
type Server struct {
	Router Router
	// TLS is nil for plain TCP. Mutual TLS is its ClientAuth and ClientCAs.
	TLS *tls.Config
	// MaxMessage bounds a message in either direction; 0 is
	// DefaultMaxMessage.
	MaxMessage mustardramp.Bytes
	// Timeout bounds the handshake and each write; 0 is DefaultTimeout.
	Timeout time.Duration
	// Concurrency bounds the calls that one connection has in handling; 0 is
	// DefaultConcurrency.
	Concurrency int
	// Traffic counts the bytes of all connections.
	Traffic Traffic
}

// Serve accepts connections until the context ends. It returns when all
// connections are closed and all handlers have returned.
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

func (s *Server) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			// The process may be out of files for a moment.
			klog.ErrorS(err, "accept-failed", "address", listener.Addr())
			time.Sleep(acceptPause)
			continue
		}
		group.Go(func() error {
			s.serveConn(ctx, conn)
			return nil
		})
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	timeout := orDefault(s.Timeout, DefaultTimeout)
	counted := net.Conn(&countedConn{Conn: conn, traffic: &s.Traffic, writeTimeout: timeout})
	peer := Peer{Address: addrPort(conn.RemoteAddr())}
	if s.TLS != nil {
		secure := tls.Server(counted, s.TLS)
		name, err := handshake(ctx, secure, timeout)
		if err != nil {
			klog.InfoS("link-refused", "peer", peer.Address, "cause", err)
			_ = conn.Close()
			return
		}
		peer.Name = name
		counted = secure
	}
	calls := &callHandler{router: &s.Router}
	calls.group.SetLimit(orDefault(s.Concurrency, DefaultConcurrency))
	stream := jsonrpc2.NewBufferedStream(counted, codec{orDefault(s.MaxMessage, DefaultMaxMessage)})
	rpc := jsonrpc2.NewConn(context.WithValue(ctx, peerKey{}, peer), stream, calls, jsonrpc2.SetLogger(logger{}))
	<-rpc.DisconnectNotify()
	calls.wait()
}

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

func addrPort(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// callHandler runs the calls of one connection side by side.
type callHandler struct {
	router *Router
	group  errgroup.Group
	mu     sync.Mutex
	// ended is set before group is waited for: none is started afterwards.
	ended bool
}

// Handle blocks while the connection has too many calls in handling, so that
// the peer's writes slow down.
func (h *callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.group.Go(func() error {
		if err := h.router.answer(ctx, conn, req); err != nil {
			klog.V(1).InfoS("answer-lost", "method", req.Method, "cause", err)
		}
		return nil
	})
}

// wait returns when all calls have ended.
func (h *callHandler) wait() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	_ = h.group.Wait()
}

// logger passes on what the library logs.
type logger struct{}

// Printf logs at a level that is off by default: a lost peer is an event of the
// caller, which logs it itself.
func (logger) Printf(format string, v ...any) {
	klog.V(2).Infof("link: "+format, v...)
}
