package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
)

var protocols = []string{"h2", "http/1.1"}

// Server returns the setting of a listener for callers. A client certificate
// is checked when there are authorities and the caller shows one.
func (r *Ring) Server() *tls.Config {
	return r.listening(func(m *material) *tls.Config { return m.server })
}

// Mutual returns the setting of a listener that takes only clients with a
// certificate of the authorities.
func (r *Ring) Mutual() *tls.Config {
	return r.listening(func(m *material) *tls.Config { return m.mutual })
}

// Client returns the setting of a client, which shows the certificate if there
// is one and checks the server against the authorities of this moment. Call it
// for each connection, or use Dial.
func (r *Ring) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    r.current().roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if pair := r.current().pair; pair != nil {
				return pair, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

// Dial connects as Client describes. It serves as DialTLSContext of an
// http.Transport.
func (r *Ring) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: r.Client()}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, ErrKeys.Wrap(err)
}

func (r *Ring) listening(choose func(*material) *tls.Config) *tls.Config {
	config := choose(r.current()).Clone()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return choose(r.current()), nil
	}
	return config
}

func (m *material) serverConfig(auth tls.ClientAuthType) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols}
	if m.pair != nil {
		config.Certificates = []tls.Certificate{*m.pair}
	}
	if m.roots != nil || auth == tls.RequireAndVerifyClientCert {
		config.ClientAuth = auth
		config.ClientCAs = m.roots
	}
	if config.ClientCAs == nil && config.ClientAuth != tls.NoClientCert {
		// A nil pool would stand for the system's authorities.
		config.ClientCAs = x509.NewCertPool()
	}
	return config
}
