package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestCallerByCertificate checks that a caller is identified by its certificate
// over HTTP/1.1 and HTTP/2, and that it cannot set its name by a header.
func TestCallerByCertificate(t *testing.T) {
	f := newFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("X-Forwarded-Proto"))
	}))
	cert, pool := selfSigned(t, "bench-7")
	server := NewServer(f.handler, 0, &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.VerifyClientCertIfGiven,
		ClientCAs:    pool,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.server.URL = "https://" + listener.Addr().String()
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	tests := map[string]struct {
		certificates []tls.Certificate
		h2           bool
		caller       string
	}{
		"HTTP/1.1":       {[]tls.Certificate{cert}, false, "bench-7"},
		"HTTP/2":         {[]tls.Certificate{cert}, true, "bench-7"},
		"no certificate": {nil, true, "127.0.0.1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{
				ForceAttemptHTTP2: test.h2,
				TLSClientConfig:   &tls.Config{RootCAs: pool, Certificates: test.certificates},
			}
			defer transport.CloseIdleConnections()
			r, _ := http.NewRequest("GET", f.server.URL+"/files/a", nil)
			r.Host = "mohor.example"
			r.Header.Set("X-Caller", "bench-1")
			response, err := transport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if got := readBody(t, response); got != "https" || response.ProtoMajor == 2 != test.h2 {
				t.Errorf("got %q over HTTP/%d, want https", got, response.ProtoMajor)
			}
			f.pool.mu.Lock()
			defer f.pool.mu.Unlock()
			if got := f.pool.demands[len(f.pool.demands)-1].Caller; string(got) != test.caller {
				t.Errorf("caller: got %q, want %q", got, test.caller)
			}
		})
	}
	if err := server.Stop(t.Context()); err != nil {
		t.Errorf("Stop: got %v, want nil", err)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("Serve: got %v, want nil", err)
	}
}

func selfSigned(t *testing.T, name string) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, _ := x509.ParseCertificate(der)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
