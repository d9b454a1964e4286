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

// echo is the payload of the test methods.
type echo struct {
	Text string `cbor:"1,keyasint"`
}

// startServer runs a server on a free port until the test ends or the returned
// function is called.
func startServer(t *testing.T, s *Server) (netip.AddrPort, func()) {
	t.Helper()
	return startServerAt(t, s, "127.0.0.1:0")
}

// startServerAt is startServer with a given address.
func startServerAt(t *testing.T, s *Server, address string) (netip.AddrPort, func()) {
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
			t.Errorf("serve: got %v, want no error", err)
		}
	}
	t.Cleanup(stop)
	return listener.Addr().(*net.TCPAddr).AddrPort(), stop
}

// registerEcho adds the method "echo", which returns its argument.
func registerEcho(s *Server) {
	Handle(&s.Router, "echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
}

// closeOnCleanup closes c when the test ends, and returns it.
func closeOnCleanup(t *testing.T, c *Client) *Client {
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
			registerEcho(s)
			var peer Peer
			Handle(&s.Router, "who", func(ctx context.Context, _ echo) (echo, error) {
				peer = PeerFromContext(ctx)
				return echo{peer.Name}, nil
			})
			address, _ := startServer(t, s)
			c := closeOnCleanup(t, &Client{Address: address, TLS: tc.client})
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
		"unknown method":        {method: "none", class: &ErrRemote},
		"handler error":         {method: "fail", class: &ErrRemote},
		"timeout":               {method: "hang", timeout: 50 * time.Millisecond, class: &ErrLost},
		"large request":         {method: "echo", text: strings.Repeat("x", 4000), class: &ErrTooLarge},
		"large answer":          {method: "large", class: &ErrTooLarge},
		"no client certificate": {method: "echo", server: certs.server(), client: certs.anonymous(), class: &ErrLost},
		"plain client":          {method: "echo", server: certs.server(), class: &ErrLost},
		"untrusted server":      {method: "echo", server: certs.server(), client: &tls.Config{}, class: &ErrUnreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{TLS: tc.server, MaxMessage: 2000}
			registerEcho(s)
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
			address, _ := startServer(t, s)
			c := closeOnCleanup(t, &Client{Address: address, TLS: tc.client, Timeout: tc.timeout, MaxMessage: 2000})
			_, err := Call[echo](context.Background(), c, tc.method, echo{tc.text})
			if !tc.class.Has(err) {
				t.Errorf("got %v, want class %v", err, tc.class)
			}
		})
	}
}

func TestOversizedFrameClosesConnection(t *testing.T) {
	s := &Server{MaxMessage: 100}
	registerEcho(s)
	address, _ := startServer(t, s)
	c := closeOnCleanup(t, &Client{Address: address})
	if _, err := Call[echo](context.Background(), c, "echo", echo{strings.Repeat("x", 400)}); !ErrLost.Has(err) {
		t.Errorf("oversized frame: got %v, want ErrLost", err)
	}
}

func TestReconnect(t *testing.T) {
	s := &Server{}
	registerEcho(s)
	address, stop := startServer(t, s)
	c := closeOnCleanup(t, &Client{Address: address, RedialInterval: time.Nanosecond})
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); err != nil {
		t.Fatal(err)
	}
	stop()
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrLost.Has(err) && !ErrUnreachable.Has(err) {
		t.Errorf("stopped peer: got %v, want ErrLost or ErrUnreachable", err)
	}
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrUnreachable.Has(err) {
		t.Errorf("second call to a stopped peer: got %v, want ErrUnreachable", err)
	}
	s = &Server{}
	registerEcho(s)
	startServerAt(t, s, address.String())
	got, err := Call[echo](context.Background(), c, "echo", echo{"again"})
	if want := (echo{"again"}); err != nil || got != want {
		t.Errorf("restarted peer: got %v, %v, want %v", got, err, want)
	}
}

// TestSilentConnectionIsReplaced guards against keeping a connection whose peer
// accepts it and never answers: all later calls would time out.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := &Server{}
	registerEcho(s)
	address, _ := startServer(t, s)
	clientEnd, peerEnd := net.Pipe()
	t.Cleanup(func() { _ = peerEnd.Close() })
	dials := 0
	c := closeOnCleanup(t, &Client{Address: address, Timeout: 50 * time.Millisecond})
	c.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if dials++; dials == 1 {
			return clientEnd, nil
		}
		return dialTCP(ctx, a)
	}
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrLost.Has(err) {
		t.Errorf("silent peer: got %v, want ErrLost", err)
	}
	c.Timeout = 0
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); err != nil {
		t.Errorf("reconnected: got %v, want no error", err)
	}
}

// TestCallTimeoutHonorsSilenceTimeout guards against a timed-out call that closes the
// connection under another call, which waits for a slow handler. Only silence of
// at least SilenceTimeout may close it.
func TestCallTimeoutHonorsSilenceTimeout(t *testing.T) {
	tests := map[string]struct {
		silenceTimeout time.Duration
		wantLost       bool
	}{
		"SilenceTimeout of zero":     {0, true},
		"SilenceTimeout not reached": {time.Hour, false},
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
			address, _ := startServer(t, &s)
			c := closeOnCleanup(t, &Client{Address: address, Timeout: time.Hour, SilenceTimeout: test.silenceTimeout})
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
				t.Errorf("timed-out call: got %v, want ErrLost", err)
			}
			close(release)
			if err := group.Wait(); ErrLost.Has(err) != test.wantLost {
				t.Errorf("waiting call: got %v, want ErrLost: %v", err, test.wantLost)
			}
		})
	}
}

func TestCallOnClosedClient(t *testing.T) {
	c := &Client{}
	_ = c.Close()
	if _, err := Call[echo](context.Background(), c, "echo", echo{}); !ErrUnreachable.Has(err) {
		t.Errorf("closed client: got %v, want ErrUnreachable", err)
	}
}

func TestConcurrentCalls(t *testing.T) {
	s := &Server{Concurrency: 2}
	registerEcho(s)
	address, _ := startServer(t, s)
	c := closeOnCleanup(t, &Client{Address: address, Timeout: time.Minute})
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

// certificates holds a self-signed certificate for 127.0.0.1 that serves as CA,
// server certificate and client certificate.
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

// server returns a configuration that requires a client certificate.
func (c certificates) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
	}
}

// client returns a configuration with a client certificate.
func (c certificates) client() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c.cert}, RootCAs: c.pool, ServerName: "127.0.0.1"}
}

// anonymous returns a client configuration without a client certificate.
func (c certificates) anonymous() *tls.Config {
	return &tls.Config{RootCAs: c.pool, ServerName: "127.0.0.1"}
}
