package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// start serves until the test ends or stop is called.
func start(t *testing.T, s *Server) (netip.AddrPort, func()) {
	t.Helper()
	return startAt(t, s, "127.0.0.1:0")
}

func startAt(t *testing.T, s *Server, address string) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx, listener) })
	stop := func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("serve: got %v", err)
		}
	}
	t.Cleanup(stop)
	return listener.Addr().(*net.TCPAddr).AddrPort(), stop
}

func handleEcho(s *Server) {
	Handle(&s.Router, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
}

func newClient(t *testing.T, c *Client) *Client {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestCall(t *testing.T) {
	certs := newCertificates(t)
	cases := map[string]struct{ server, client *tls.Config }{
		"plain":      {},
		"mutual tls": {server: certs.server(), client: certs.client()},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{TLS: tc.server}
			handleEcho(s)
			var peer Peer
			Handle(&s.Router, "who", func(ctx context.Context, _ echo) (echo, error) {
				peer = PeerOf(ctx)
				return echo{peer.Name}, nil
			})
			address, _ := start(t, s)
			c := newClient(t, &Client{Address: address, TLS: tc.client})
			got, err := Call[echo](context.Background(), c, "echo", echo{"ping"})
			if want := (echo{"ping"}); err != nil || got != want {
				t.Fatalf("got %v, %v, want %v", got, err, want)
			}
			want := echo{}
			if tc.client != nil {
				want.Text = "host-a"
			}
			if got, err := Call[echo](context.Background(), c, "who", echo{}); err != nil || got != want {
				t.Errorf("peer: got %v, %v, want %v", got, err, want)
			}
			if got, want := c.Traffic.Sent(), s.Traffic.Received(); got != want || got == 0 {
				t.Errorf("client sent %d, server received %d", got, want)
			}
			if got, want := c.Traffic.Received(), s.Traffic.Sent(); got != want || got == 0 {
				t.Errorf("client received %d, server sent %d", got, want)
			}
		})
	}
}

func TestCallErrors(t *testing.T) {
	certs := newCertificates(t)
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	cases := map[string]struct {
		server  *tls.Config
		client  *tls.Config
		timeout time.Duration
		method  string
		text    string
		class   interface{ Has(error) bool }
	}{
		"unknown method":    {method: "none", class: &ErrRemote},
		"handler error":     {method: "fail", class: &ErrRemote},
		"deadline":          {method: "hang", timeout: 50 * time.Millisecond, class: &ErrLost},
		"large request":     {method: "echo", text: strings.Repeat("x", 4000), class: &ErrTooLarge},
		"large answer":      {method: "large", class: &ErrTooLarge},
		"without cert":      {method: "echo", server: certs.server(), client: certs.anonymous(), class: &ErrLost},
		"plain against tls": {method: "echo", server: certs.server(), class: &ErrLost},
		"unknown server":    {method: "echo", server: certs.server(), client: &tls.Config{}, class: &ErrUnreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{TLS: tc.server, MaxMessage: 2000}
			handleEcho(s)
			Handle(&s.Router, "fail", func(context.Context, echo) (echo, error) { return echo{}, errors.New("no") })
			Handle(&s.Router, "large", func(context.Context, echo) (echo, error) {
				return echo{strings.Repeat("x", 4000)}, nil
			})
			Handle(&s.Router, "hang", func(ctx context.Context, e echo) (echo, error) {
				select {
				case <-hang:
				case <-ctx.Done():
				}
				return e, nil
			})
			address, _ := start(t, s)
			c := newClient(t, &Client{Address: address, TLS: tc.client, Timeout: tc.timeout, MaxMessage: 2000})
			_, err := Call[echo](context.Background(), c, tc.method, echo{tc.text})
			if !tc.class.Has(err) {
				t.Errorf("got %v, want class %v", err, tc.class)
			}
		})
	}
}

func TestOversizedFrameEndsTheConnection(t *testing.T) {
	s := &Server{MaxMessage: 100}
	handleEcho(s)
	address, _ := start(t, s)
	c := newClient(t, &Client{Address: address})
	if _, err := Call[echo](context.Background(), c, "echo", echo{strings.Repeat("x", 400)}); !ErrLost.Has(err) {
		t.Errorf("got %v, want a lost link", err)
	}
}

func TestReconnect(t *testing.T) {
	s := &Server{}
	handleEcho(s)
	address, stop := start(t, s)
	c := newClient(t, &Client{Address: address, Redial: time.Nanosecond})
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); err != nil {
		t.Fatal(err)
	}
	stop()
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrLost.Has(err) && !ErrUnreachable.Has(err) {
		t.Errorf("stopped peer: got %v", err)
	}
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrUnreachable.Has(err) {
		t.Errorf("gone peer: got %v, want unreachable", err)
	}
	s = &Server{}
	handleEcho(s)
	startAt(t, s, address.String())
	got, err := Call[echo](context.Background(), c, "echo", echo{"again"})
	if want := (echo{"again"}); err != nil || got != want {
		t.Errorf("restarted peer: got %v, %v, want %v", got, err, want)
	}
}

// A peer that accepts and never answers must not be kept.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := &Server{}
	handleEcho(s)
	address, _ := start(t, s)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	dials := 0
	c := newClient(t, &Client{Address: address, Timeout: 50 * time.Millisecond})
	c.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if dials++; dials == 1 {
			return near, nil
		}
		return dialTCP(ctx, a)
	}
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrLost.Has(err) {
		t.Errorf("silent peer: got %v, want a lost link", err)
	}
	c.Timeout = 0
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); err != nil {
		t.Errorf("after the silence: got %v", err)
	}
}

// TestLateCallLeavesTheOthers has a call wait at a busy peer while another runs
// out of time: only a silence as long as DeadAfter ends both.
func TestLateCallLeavesTheOthers(t *testing.T) {
	tests := map[string]struct {
		deadAfter time.Duration
		wantLost  bool
	}{
		"given up at once":      {0, true},
		"given up after a time": {time.Hour, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Server
			release := make(chan struct{})
			Handle(&s.Router, "wait", func(ctx context.Context, e echo) (echo, error) {
				select {
				case <-release:
				case <-ctx.Done():
				}
				return e, nil
			})
			address, _ := start(t, &s)
			c := newClient(t, &Client{Address: address, Timeout: time.Hour, DeadAfter: test.deadAfter})
			var group errgroup.Group
			group.Go(func() error {
				_, err := Call[echo](t.Context(), c, "wait", echo{"waits"})
				return err
			})
			for c.Traffic.sent.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, err := Call[echo](ctx, c, "wait", echo{"late"}); !ErrLost.Has(err) {
				t.Errorf("got %v, want a call that ran out of time", err)
			}
			close(release)
			if err := group.Wait(); ErrLost.Has(err) != test.wantLost {
				t.Errorf("got %v for the other call, want it lost: %v", err, test.wantLost)
			}
		})
	}
}

func TestClosedClient(t *testing.T) {
	c := &Client{}
	_ = c.Close()
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrUnreachable.Has(err) {
		t.Errorf("got %v, want unreachable", err)
	}
}

func TestManyCallsAtOnce(t *testing.T) {
	s := &Server{Concurrency: 2}
	handleEcho(s)
	address, _ := start(t, s)
	c := newClient(t, &Client{Address: address, Timeout: time.Minute})
	var group errgroup.Group
	for i := range 50 {
		group.Go(func() error {
			text := strings.Repeat("x", i)
			got, err := Call[echo](context.Background(), c, "echo", echo{text})
			if err == nil && got.Text != text {
				t.Errorf("got %q, want %q", got.Text, text)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// certificates are one authority with a certificate for 127.0.0.1.
type certificates struct {
	pool *x509.CertPool
	cert tls.Certificate
}

func newCertificates(t *testing.T) certificates {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "host-a"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return certificates{pool, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}
}

func (c certificates) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
	}
}

func (c certificates) client() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c.cert}, RootCAs: c.pool, ServerName: "127.0.0.1"}
}

func (c certificates) anonymous() *tls.Config {
	return &tls.Config{RootCAs: c.pool, ServerName: "127.0.0.1"}
}
