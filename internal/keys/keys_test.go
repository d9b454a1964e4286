package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
}

func newAuthority(t *testing.T, dir, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	a := &authority{cert: cert, key: key, path: filepath.Join(dir, name+".pem")}
	writePEM(t, a.path, "CERTIFICATE", der)
	return a
}

func (a *authority) issue(t *testing.T, dir, name string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, _ := x509.MarshalPKCS8PrivateKey(key)
	files := Files{Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: a.path}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", secret)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newReloader(t *testing.T, files Files, clock *manualClock) *Reloader {
	t.Helper()
	r, err := New(files, clock)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// handshake connects a client to a server. It returns the serial number of the
// server's certificate and the name in the client's verified one.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, caller string, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if err := conn.(*tls.Conn).Handshake(); err != nil {
			return err
		}
		if peers := conn.(*tls.Conn).ConnectionState().VerifiedChains; len(peers) > 0 {
			caller = peers[0][0].Subject.CommonName
		}
		_, err = io.WriteString(conn, "ok")
		return err
	})
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		serial = conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		_, err = io.ReadAll(conn)
		_ = conn.Close()
	}
	if served := group.Wait(); err == nil {
		err = served
	}
	return serial, caller, err
}

func TestCertificateChecks(t *testing.T) {
	dir := t.TempDir()
	clock := &manualClock{now: time.Unix(0, 0)}
	own, other := newAuthority(t, dir, "own"), newAuthority(t, dir, "other")
	host := newReloader(t, own.issue(t, dir, "host", 2), clock)
	friend := newReloader(t, own.issue(t, dir, "friend", 3), clock)
	stranger := newReloader(t, Files{Cert: other.issue(t, dir, "stranger", 4).Cert, Key: filepath.Join(dir, "stranger.key"), CA: own.path}, clock)
	withoutCertificate := newReloader(t, Files{CA: own.path}, clock)
	otherAuthority := newReloader(t, Files{CA: other.path}, clock)
	tests := map[string]struct {
		server  *tls.Config
		client  *Reloader
		caller  string
		wantErr bool
	}{
		"mutual":                              {host.MutualConfig(), friend, "friend", false},
		"mutual, client without certificate":  {host.MutualConfig(), withoutCertificate, "", true},
		"mutual, client of another authority": {host.MutualConfig(), stranger, "", true},
		"mutual, server without authorities":  {newReloader(t, Files{Cert: host.files.Cert, Key: host.files.Key}, clock).MutualConfig(), friend, "", true},
		"server, client with certificate":     {host.ServerConfig(), friend, "friend", false},
		"server, client without certificate":  {host.ServerConfig(), withoutCertificate, "", false},
		"server, client of another authority": {host.ServerConfig(), stranger, "", true},
		"client trusts another authority":     {host.ServerConfig(), otherAuthority, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, caller, err := handshake(t, test.server, test.client.ClientConfig())
			if (err != nil) != test.wantErr {
				t.Errorf("got error %v, want an error: %v", err, test.wantErr)
			}
			if !test.wantErr && caller != test.caller {
				t.Errorf("caller: got %q, want %q", caller, test.caller)
			}
		})
	}
	wrongName := friend.ClientConfig()
	wrongName.ServerName = "mohor.example"
	if _, _, err := handshake(t, host.ServerConfig(), wrongName); err == nil {
		t.Error("wrong server name: got a connection, want an error")
	}
}

func TestDial(t *testing.T) {
	dir := t.TempDir()
	own := newAuthority(t, dir, "own")
	host := newReloader(t, own.issue(t, dir, "host", 2), &manualClock{})
	listener, err := tls.Listen("tcp", "127.0.0.1:0", host.MutualConfig())
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "ok")
		return err
	})
	conn, err := host.Dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if string(got) != "ok" || err != nil {
		t.Errorf("got %q %v, want ok", got, err)
	}
	_ = conn.Close()
	_ = listener.Close()
	if err := group.Wait(); err != nil {
		t.Errorf("server: got %v, want nil", err)
	}
}

// TestReload checks that a running listener and client use changed files, and keep
// the old ones if the new ones are damaged.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	clock := &manualClock{now: time.Unix(0, 0)}
	own, next := newAuthority(t, dir, "own"), newAuthority(t, dir, "next")
	files := own.issue(t, dir, "host", 2)
	host := newReloader(t, files, clock)
	server := host.MutualConfig()
	checkSerial := func(step string, want int64) {
		t.Helper()
		clock.now = clock.now.Add(checkInterval)
		serial, _, err := handshake(t, server, host.ClientConfig())
		if err != nil || serial != want {
			t.Errorf("%s: got serial %d, error %v, want %d", step, serial, err, want)
		}
	}
	checkSerial("start", 2)
	later := time.Now().Add(2 * time.Second)
	setModTime := func(names ...string) {
		later = later.Add(time.Second)
		for _, name := range names {
			_ = os.Chtimes(name, later, later)
		}
	}
	own.issue(t, dir, "host", 3)
	setModTime(files.Cert, files.Key)
	checkSerial("new certificate", 3)
	_ = os.WriteFile(files.Key, []byte("damaged"), 0o600)
	setModTime(files.Key)
	checkSerial("damaged key", 3)
	next.issue(t, dir, "host", 4)
	text, _ := os.ReadFile(next.path)
	_ = os.WriteFile(files.CA, text, 0o600)
	setModTime(files.Cert, files.Key, files.CA)
	checkSerial("new authority", 4)
}

func TestUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	files := newAuthority(t, dir, "own").issue(t, dir, "host", 2)
	tests := map[string]Files{
		"no key":                     {Cert: files.Cert},
		"no certificate":             {Key: files.Key},
		"missing certificate":        {Cert: filepath.Join(dir, "none"), Key: files.Key},
		"certificate of another key": {Cert: files.CA, Key: files.Key},
		"CA without certificate":     {CA: files.Key},
		"missing CA":                 {CA: filepath.Join(dir, "none")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(test, nil); !ErrKeys.Has(err) {
				t.Errorf("got error %v, want one of class keys", err)
			}
		})
	}
}
