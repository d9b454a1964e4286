// Package keys reads the certificates and keys of a host from files and reads them
// again when the files change, without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// ErrKeys is the class of errors about files that hold no usable certificates or
// keys.
var ErrKeys = errs.Class("keys")

// Files holds the names of PEM files.
type Files struct {
	// Cert and Key name the files of the host's own certificate chain and its key.
	// Either both are set or neither is.
	Cert string
	Key  string
	// CA names the file of the certificate authorities of the other side. If it is
	// empty, a client uses those of the system and a server uses none.
	CA string
}

// Reloader holds the certificates and keys that the files held when they were read
// last. The files are checked as part of a handshake, so that no goroutine is
// needed.
type Reloader struct {
	files Files
	clock mustardramp.Clock

	loaded atomic.Pointer[snapshot]
	mu     sync.Mutex
	// checkedAt is the time of the last check of the files. It is guarded by mu.
	checkedAt time.Time
}

// snapshot holds what the files held at one time.
type snapshot struct {
	versions    [3]fileVersion
	certificate *tls.Certificate
	roots       *x509.CertPool
	// server and mutualServer are made only once per snapshot, because a config
	// holds the keys of session tickets.
	server       *tls.Config
	mutualServer *tls.Config
}

// fileVersion distinguishes two versions of a file.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// New reads the files. A nil clock means the machine's clock.
func New(files Files, clock mustardramp.Clock) (*Reloader, error) {
	if clock == nil {
		clock = mustardramp.SystemClock{}
	}
	r := &Reloader{files: files, clock: clock, checkedAt: clock.Now()}
	s, err := r.load()
	if err != nil {
		return nil, err
	}
	r.loaded.Store(s)
	return r, nil
}

// current returns the latest snapshot. It checks the files first if that is due.
func (r *Reloader) current() *snapshot {
	if r.mu.TryLock() {
		defer r.mu.Unlock()
		if now := r.clock.Now(); now.Sub(r.checkedAt) >= checkInterval {
			r.checkedAt = now
			r.reloadIfChanged()
		}
	}
	return r.loaded.Load()
}

// reloadIfChanged reads the files again if they changed. If the new ones are not
// usable, the old snapshot stays in use.
func (r *Reloader) reloadIfChanged() {
	if r.fileVersions() == r.loaded.Load().versions {
		return
	}
	s, err := r.load()
	if err != nil {
		klog.ErrorS(err, "certificates-unusable", "cert", r.files.Cert, "key", r.files.Key, "ca", r.files.CA)
		return
	}
	r.loaded.Store(s)
	klog.InfoS("certificates-reloaded", "cert", r.files.Cert, "ca", r.files.CA)
}

// fileVersions returns the versions of the certificate, key and CA files. A file
// that has no name or cannot be found has the zero version.
func (r *Reloader) fileVersions() [3]fileVersion {
	var versions [3]fileVersion
	for i, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{modTime: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

// load reads the files and makes the configurations for servers.
func (r *Reloader) load() (*snapshot, error) {
	// The versions are taken first, so that a change while the files are read is
	// found at the next check.
	s := &snapshot{versions: r.fileVersions()}
	if (r.files.Cert == "") != (r.files.Key == "") {
		return nil, ErrKeys.New("a certificate and its key go together: set both files or neither")
	}
	if r.files.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
		if err != nil {
			return nil, ErrKeys.Wrap(err)
		}
		s.certificate = &certificate
	}
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return nil, ErrKeys.Wrap(err)
		}
		s.roots = x509.NewCertPool()
		if !s.roots.AppendCertsFromPEM(pem) {
			return nil, ErrKeys.New("%s holds no certificate", r.files.CA)
		}
	}
	s.server = s.serverConfig(tls.VerifyClientCertIfGiven)
	s.mutualServer = s.serverConfig(tls.RequireAndVerifyClientCert)
	return s, nil
}
