package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
)

// alpnProtocols lists the protocols that a server offers in TLS.
var alpnProtocols = []string{"h2", "http/1.1"}

// ServerConfig returns the configuration of a listener for callers. A caller's
// certificate is verified if it sends one and Files names a CA.
func (r *Reloader) ServerConfig() *tls.Config {
	return r.reloadingConfig(func(s *snapshot) *tls.Config { return s.server })
}

// MutualConfig returns the configuration of a listener that accepts only clients
// with a certificate of the authorities in CA.
func (r *Reloader) MutualConfig() *tls.Config {
	return r.reloadingConfig(func(s *snapshot) *tls.Config { return s.mutualServer })
}

// ClientConfig returns the configuration of a client. The client sends the host's
// certificate if there is one and verifies the server against the current
// authorities. The authorities in a configuration are not reloaded, so call it for
// each connection or use Dial.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    r.current().roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificate := r.current().certificate; certificate != nil {
				return certificate, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

// Dial connects with a new ClientConfig. It can be the DialTLSContext of an
// http.Transport.
func (r *Reloader) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: r.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, ErrKeys.Wrap(err)
}

// reloadingConfig returns a configuration that uses the latest snapshot for each
// handshake.
func (r *Reloader) reloadingConfig(choose func(*snapshot) *tls.Config) *tls.Config {
	config := choose(r.current()).Clone()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return choose(r.current()), nil
	}
	return config
}

// serverConfig returns the configuration of a server. Without authorities it asks
// for no client certificate, unless auth requires one: then it accepts none.
func (s *snapshot) serverConfig(auth tls.ClientAuthType) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: alpnProtocols}
	if s.certificate != nil {
		config.Certificates = []tls.Certificate{*s.certificate}
	}
	if s.roots != nil || auth == tls.RequireAndVerifyClientCert {
		config.ClientAuth = auth
		config.ClientCAs = s.roots
	}
	if config.ClientCAs == nil && config.ClientAuth != tls.NoClientCert {
		// A nil pool would mean the authorities of the system.
		config.ClientCAs = x509.NewCertPool()
	}
	return config
}
