package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/mustardramp/mustardramp"
)

// Client calls one peer. It connects at the first call and reconnects at the
// first call after the connection is lost. The zero value with an Address is
// ready to use.
type Client struct {
	Address netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MaxMessage is the size limit of a message in either direction; 0 means
	// DefaultMaxMessage.
	MaxMessage mustardramp.Bytes
	// Timeout is the time limit of each call whose context has no earlier
	// deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// RedialInterval is the least time between two attempts to connect; calls in
	// between fail at once. 0 means DefaultRedialInterval.
	RedialInterval time.Duration
	// SilenceTimeout is how long nothing must be received while calls time out before
	// the connection is closed and all calls on it fail. 0 closes it at the first
	// timeout of a call during which nothing was received.
	SilenceTimeout time.Duration
	// Dial opens a connection; nil means a plain TCP dialer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Traffic counts the bytes of all connections of the client.
	Traffic Traffic

	mu sync.Mutex
	// dialing is not nil while a call opens the connection; it is closed when
	// the attempt ends.
	dialing chan struct{}
	conn    *jsonrpc2.Conn
	dialErr error
	retryAt time.Time
	closed  bool
	// silentSince is the start of the first call that timed out while the number
	// of reads stayed at silentReads.
	silentSince time.Time
	silentReads int64
}

// Invoker makes calls to one peer.
type Invoker interface {
	// Invoke calls a method with a payload and returns the result's payload.
	Invoke(ctx context.Context, method string, params json.RawMessage) (json.RawMessage, error)
}

var _ Invoker = (*Client)(nil)

// Call calls a method of a peer. Its error is of one of the classes
// ErrUnreachable, ErrLost, ErrTooLarge and ErrRemote.
func Call[Resp, Req any](ctx context.Context, c Invoker, method string, req Req) (Resp, error) {
	var resp Resp
	params, err := encode(req)
	if err != nil {
		return resp, ErrUnreachable.Wrap(err)
	}
	result, err := c.Invoke(ctx, method, params)
	if err != nil {
		return resp, err
	}
	if err := decode(&result, &resp); err != nil {
		return resp, ErrRemote.Wrap(err)
	}
	return resp, nil
}

// Invoke calls a method of the peer with an encoded payload.
func (c *Client) Invoke(ctx context.Context, method string, params json.RawMessage) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout))
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	reads, startedAt := c.Traffic.reads.Load(), time.Now()
	var result json.RawMessage
	err = conn.Call(ctx, method, params, &result)
	if err == nil {
		return result, nil
	}
	err = classify(err)
	if ErrLost.Has(err) && c.isDead(ctx, reads, startedAt) {
		c.drop(conn)
	}
	return nil, err
}

// isDead reports whether the connection of a lost call must be closed: it failed
// before the context of the call ended, or nothing was received for SilenceTimeout.
// reads is the number of reads when the call started. If data arrived since, or
// if the call was canceled, the fault may lie with the call itself.
func (c *Client) isDead(ctx context.Context, reads int64, startedAt time.Time) bool {
	switch {
	case ctx.Err() == nil:
		return true
	case errors.Is(ctx.Err(), context.Canceled) || c.Traffic.reads.Load() != reads:
		return false
	}
	return c.measureSilence(reads, startedAt) >= c.SilenceTimeout
}

// measureSilence records a call that timed out. It returns how long calls have
// timed out without any data being read, from the start of the first such call.
func (c *Client) measureSilence(reads int64, startedAt time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() || c.silentReads != reads {
		c.silentSince, c.silentReads = startedAt, reads
	}
	return time.Since(c.silentSince)
}

// classify wraps an error of a call in one of the error classes of the package.
func classify(err error) error {
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote) && remote.Code == codeTooLarge:
		return ErrTooLarge.New("answer: %s", remote.Message)
	case errors.As(err, &remote):
		return ErrRemote.New("%s", remote.Message)
	case ErrTooLarge.Has(err):
		return err
	default:
		return ErrLost.Wrap(err)
	}
}

// connect returns the open connection, or opens one.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		conn, dialDone, err := c.currentConn()
		if err != nil || conn != nil {
			return conn, err
		}
		if dialDone == nil {
			return c.redial(ctx)
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// currentConn returns the open connection, or a channel that is closed when the
// dial in progress ends. If it returns neither and no error, the caller must
// call redial.
func (c *Client) currentConn() (*jsonrpc2.Conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, net.ErrClosed
	}
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil, nil
		}
	}
	if c.dialing != nil {
		return nil, c.dialing, nil
	}
	if c.dialErr != nil && time.Now().Before(c.retryAt) {
		return nil, nil, c.dialErr
	}
	c.dialing = make(chan struct{})
	return nil, nil, nil
}

// redial opens a connection and ends the dial that currentConn started.
func (c *Client) redial(ctx context.Context) (*jsonrpc2.Conn, error) {
	raw, err := c.dialConn(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	c.dialErr = err
	if err != nil {
		c.retryAt = time.Now().Add(orDefault(c.RedialInterval, DefaultRedialInterval))
		return nil, err
	}
	if c.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	stream := jsonrpc2.NewBufferedStream(raw, codec{orDefault(c.MaxMessage, DefaultMaxMessage)})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, noopHandler{}, jsonrpc2.SetLogger(logger{}))
	return c.conn, nil
}

// dialConn opens a connection to the peer, including the TLS handshake.
func (c *Client) dialConn(ctx context.Context) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	timeout := orDefault(c.Timeout, DefaultTimeout)
	transport := &countingConn{Conn: raw, traffic: &c.Traffic, writeTimeout: timeout}
	if c.TLS == nil {
		return transport, nil
	}
	tlsConn := tls.Client(transport, c.tlsConfig())
	if _, err := handshake(ctx, tlsConn, timeout); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return tlsConn, nil
}

// tlsConfig returns the TLS configuration with a server name. Hosts are addressed
// by IP address, so by default certificates are verified against that address.
func (c *Client) tlsConfig() *tls.Config {
	if c.TLS.ServerName != "" {
		return c.TLS
	}
	config := c.TLS.Clone()
	config.ServerName = c.Address.Addr().String()
	return config
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// drop closes conn, and clears it from the client if it is still in use.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn, c.silentSince = nil, time.Time{}
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes the client and its connection. Calls in flight fail with ErrLost.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn == nil {
		return nil
	}
	return conn.Close()
}

// noopHandler ignores the requests of the peer; calls go from client to server only.
type noopHandler struct{}

// Handle ignores the request.
func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
