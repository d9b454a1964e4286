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

// Client calls one peer. It connects at the first call and again after a loss.
// The zero value with an Address works.
type Client struct {
	Address netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// MaxMessage bounds a message in either direction; 0 is
	// DefaultMaxMessage.
	MaxMessage mustardramp.Bytes
	// Timeout bounds each call whose context has no earlier deadline; 0 is
	// DefaultTimeout.
	Timeout time.Duration
	// Redial is the least time between two attempts to connect; calls in
	// between fail at once. 0 is DefaultRedial.
	Redial time.Duration
	// DeadAfter is how long a connection is silent, while calls run out of time,
	// before it is given up with all calls on it. 0 gives it up at the first call
	// that ran out of time.
	DeadAfter time.Duration
	// Dial makes the connection; nil is a plain TCP dialer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Traffic counts the bytes of the link over all its connections.
	Traffic Traffic

	mu sync.Mutex
	// dialing is not nil while one call connects; it is closed at the end.
	dialing chan struct{}
	conn    *jsonrpc2.Conn
	failed  error
	retryAt time.Time
	closed  bool
	// silentSince is when the first call began that ran out of time since silentAt
	// bytes had been heard.
	silentSince time.Time
	silentAt    int64
}

// Caller makes calls to one peer.
type Caller interface {
	// Invoke calls a method with a payload and returns the result's payload.
	Invoke(ctx context.Context, method string, params json.RawMessage) (json.RawMessage, error)
}

var _ Caller = (*Client)(nil)

// Call calls a method of a peer. Its error is of one of the classes
// ErrUnreachable, ErrLost, ErrTooLarge and ErrRemote.
func Call[Resp, Req any](ctx context.Context, c Caller, method string, req Req) (Resp, error) {
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

// Invoke calls a method with an encoded payload.
func (c *Client) Invoke(ctx context.Context, method string, params json.RawMessage) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, DefaultTimeout))
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	heard, began := c.Traffic.heard.Load(), time.Now()
	var result json.RawMessage
	err = conn.Call(ctx, method, params, &result)
	if err == nil {
		return result, nil
	}
	err = classify(err)
	if ErrLost.Has(err) && c.isDead(ctx, heard, began) {
		c.drop(conn)
	}
	return nil, err
}

// isDead reports whether the connection of a lost call is of no more use. While
// other calls are answered, a call that ran out of time or was given up may
// have been at fault itself.
func (c *Client) isDead(ctx context.Context, heard int64, began time.Time) bool {
	switch {
	case ctx.Err() == nil:
		return true
	case errors.Is(ctx.Err(), context.Canceled) || c.Traffic.heard.Load() != heard:
		return false
	}
	return c.silence(heard, began) >= c.DeadAfter
}

// silence returns how long nothing was heard while calls ran out of time, the
// last of which began at a time.
func (c *Client) silence(heard int64, began time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() || c.silentAt != heard {
		c.silentSince, c.silentAt = began, heard
	}
	return time.Since(c.silentSince)
}

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

// connect returns the present connection, or makes one.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		conn, wait, err := c.present()
		if err != nil || conn != nil {
			return conn, err
		}
		if wait == nil {
			return c.redial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// present returns the live connection, or the channel of a dial in progress.
// When it returns neither, the caller must dial.
func (c *Client) present() (*jsonrpc2.Conn, <-chan struct{}, error) {
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
	if c.failed != nil && time.Now().Before(c.retryAt) {
		return nil, nil, c.failed
	}
	c.dialing = make(chan struct{})
	return nil, nil, nil
}

func (c *Client) redial(ctx context.Context) (*jsonrpc2.Conn, error) {
	raw, err := c.open(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	c.failed = err
	if err != nil {
		c.retryAt = time.Now().Add(orDefault(c.Redial, DefaultRedial))
		return nil, err
	}
	if c.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	stream := jsonrpc2.NewBufferedStream(raw, codec{orDefault(c.MaxMessage, DefaultMaxMessage)})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, noCalls{}, jsonrpc2.SetLogger(logger{}))
	return c.conn, nil
}

func (c *Client) open(ctx context.Context) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	timeout := orDefault(c.Timeout, DefaultTimeout)
	counted := &countedConn{Conn: raw, traffic: &c.Traffic, writeTimeout: timeout}
	if c.TLS == nil {
		return counted, nil
	}
	secure := tls.Client(counted, c.secrets())
	if _, err := handshake(ctx, secure, timeout); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}

// secrets returns the TLS setting with the server's name: hosts are named by
// IP number, so their certificates are checked against it.
func (c *Client) secrets() *tls.Config {
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

// drop closes a connection and forgets it if it is still the present one.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn, c.silentSince = nil, time.Time{}
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close ends the link. Calls in flight fail with ErrLost.
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

// noCalls ignores calls from the side that answers.
type noCalls struct{}

// Handle does nothing.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
