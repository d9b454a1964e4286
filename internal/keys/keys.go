// Package keys reads the certificates of a host from files and takes up new
// ones when the files change, without a restart.
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

// checkPause is the shortest time between two looks at the files.
const checkPause = time.Second

// ErrKeys is the class of errors for files that hold no usable keys.
var ErrKeys = errs.Class("keys")

// Files name PEM files.
type Files struct {
	// Cert and Key hold the host's own certificate chain and its key; both
	// are set or neither.
	Cert string
	Key  string
	// CA holds the authorities of the other side. Empty means the system's
	// for a client, and none for a server.
	CA string
}

// Ring holds the keys that the files held last. A look at the files is part
// of a handshake, so it needs no goroutine.
type Ring struct {
	files Files
	clock mustardramp.Clock

	held atomic.Pointer[material]
	mu   sync.Mutex
	// looked is when the files were looked at last, guarded by mu.
	looked time.Time
}

// material is one consistent reading of the files.
type material struct {
	stamps [3]stamp
	pair   *tls.Certificate
	roots  *x509.CertPool
	// server and mutual are kept, because a config holds the keys of session
	// tickets.
	server *tls.Config
	mutual *tls.Config
}

// stamp tells two versions of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

// New reads the files. A nil clock stands for the machine's.
func New(files Files, clock mustardramp.Clock) (*Ring, error) {
	if clock == nil {
		clock = mustardramp.SystemClock{}
	}
	r := &Ring{files: files, clock: clock, looked: clock.Now()}
	m, err := r.read()
	if err != nil {
		return nil, err
	}
	r.held.Store(m)
	return r, nil
}

// current returns the keys, after a look at the files when one is due.
func (r *Ring) current() *material {
	if r.mu.TryLock() {
		defer r.mu.Unlock()
		if now := r.clock.Now(); now.Sub(r.looked) >= checkPause {
			r.looked = now
			r.refresh()
		}
	}
	return r.held.Load()
}

// refresh takes up changed files. Unusable ones leave the old keys in force.
func (r *Ring) refresh() {
	if r.stamps() == r.held.Load().stamps {
		return
	}
	m, err := r.read()
	if err != nil {
		klog.ErrorS(err, "keys-unusable", "cert", r.files.Cert, "key", r.files.Key, "ca", r.files.CA)
		return
	}
	r.held.Store(m)
	klog.InfoS("keys-changed", "cert", r.files.Cert, "ca", r.files.CA)
}

func (r *Ring) stamps() [3]stamp {
	var stamps [3]stamp
	for i, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			stamps[i] = stamp{changed: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func (r *Ring) read() (*material, error) {
	// The stamps are taken first: a change during the reading is then seen at
	// the next look.
	m := &material{stamps: r.stamps()}
	if (r.files.Cert == "") != (r.files.Key == "") {
		return nil, ErrKeys.New("a certificate and its key go together: set both files or neither")
	}
	if r.files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
		if err != nil {
			return nil, ErrKeys.Wrap(err)
		}
		m.pair = &pair
	}
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return nil, ErrKeys.Wrap(err)
		}
		m.roots = x509.NewCertPool()
		if !m.roots.AppendCertsFromPEM(pem) {
			return nil, ErrKeys.New("%s holds no certificate", r.files.CA)
		}
	}
	m.server = m.serverConfig(tls.VerifyClientCertIfGiven)
	m.mutual = m.serverConfig(tls.RequireAndVerifyClientCert)
	return m, nil
}
