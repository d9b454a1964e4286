package fleet_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// certAuthority issues the certificates of a test.
type certAuthority struct {
	t      *testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
	// certFile is the path of the authority's certificate in PEM.
	certFile string
}

func newCertAuthority(t *testing.T) *certAuthority {
	a := &certAuthority{t: t, folder: t.TempDir()}
	a.cert, a.key = a.issue("authority", true, nil, nil)
	a.certFile = a.writePEM("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

// issue creates a certificate for the loopback address with a new key. Without a
// parent, the certificate signs itself.
func (a *certAuthority) issue(name string, ca bool, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:         ca, BasicConstraintsValid: true,
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issueFiles issues a certificate, writes it and its key to files and returns
// the paths.
func (a *certAuthority) issueFiles(name string) (cert, key string) {
	a.t.Helper()
	c, k := a.issue(name, false, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.writePEM(name+".pem", "CERTIFICATE", c.Raw), a.writePEM(name+"-key.pem", "EC PRIVATE KEY", der)
}

func (a *certAuthority) writePEM(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

func TestProcessesWithTLSOnEveryListener(t *testing.T) {
	a := newCertAuthority(t)
	operatorCert, operatorKey := a.issueFiles("operator")
	f := newProcessFleet(t, 3, 2)
	for _, p := range append(f.control, f.entry...) {
		cert, key := a.issueFiles(p.name)
		p.args = append(p.args, "--link-cert", cert, "--link-key", key, "--link-ca", a.certFile,
			"--admin-cert", cert, "--admin-key", key, "--admin-ca", a.certFile)
		if p.traffic != "" {
			p.args = append(p.args, "--tls-cert", cert, "--tls-key", key)
		}
	}
	f.startAll()
	f.remoteFlags = []string{"--ca", a.certFile, "--cert", operatorCert, "--key", operatorKey}
	f.publish("mohor.yaml")
	f.startBackend("mohor", 6, time.Millisecond)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	f.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	f.scheme = "https"
	f.waitForService("GET", "mohor.sutradhar.example", "/certifications/1")
	eventually(t, "a keyed request over mutual TLS", func() error {
		status, body, _, err := f.send(1, "POST", "mohor.sutradhar.example", "/certifications", nil, "Idempotency-Key", "k-1")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, body)
		}
		return err
	})
	conn, err := tls.Dial("tcp", f.control[0].link, &tls.Config{RootCAs: pool})
	if err != nil {
		return
	}
	defer conn.Close()
	// The client gets the server's rejection of its handshake with the first
	// read.
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err = conn.Read(make([]byte, 1)); err == nil {
		t.Error("got an answer on a link without a certificate, want none")
	}
}
