// Package admin is a client for the administration API of entry and control hosts.
package admin

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/zeebo/errs"
	goahttp "goa.design/goa/v3/http"

	"github.com/mustardramp/mustardramp/gen/contract"
	"github.com/mustardramp/mustardramp/gen/fleet"
	contracthttp "github.com/mustardramp/mustardramp/gen/http/contract/client"
	fleethttp "github.com/mustardramp/mustardramp/gen/http/fleet/client"
	ledgerhttp "github.com/mustardramp/mustardramp/gen/http/ledger/client"
	refusalhttp "github.com/mustardramp/mustardramp/gen/http/refusal/client"
	requesthttp "github.com/mustardramp/mustardramp/gen/http/request/client"
	workspacehttp "github.com/mustardramp/mustardramp/gen/http/workspace/client"
	"github.com/mustardramp/mustardramp/gen/ledger"
	"github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/gen/request"
	"github.com/mustardramp/mustardramp/gen/workspace"
)

// Error is the class of the errors of this package.
var Error = errs.Class("admin")

// callTimeout is the maximum time of a call.
const callTimeout = 10 * time.Second

// Target is the host that a client calls.
type Target struct {
	// Address has the form "ip:port", or is a URL.
	Address string
	// CA, Cert and Key are paths of PEM files. The connection uses TLS if CA is
	// set. Cert and Key are the client certificate; they are optional.
	CA   string
	Cert string
	Key  string
}

// Client holds the generated clients of the services of a host.
type Client struct {
	Contract  *contract.Client
	Fleet     *fleet.Client
	Ledger    *ledger.Client
	Refusal   *refusal.Client
	Request   *request.Client
	Workspace *workspace.Client
}

// Dial returns a client of the target. It does not open a connection. The error has
// class Error and means that a PEM file cannot be used.
func Dial(target Target) (*Client, error) {
	config, err := target.tlsConfig()
	if err != nil {
		return nil, err
	}
	scheme, host := target.schemeAndHost(config != nil)
	transport := &http.Transport{TLSClientConfig: config, ResponseHeaderTimeout: callTimeout}
	return NewClient(scheme, host, &http.Client{Transport: transport, Timeout: callTimeout}), nil
}

// NewClient returns a client that sends its requests through doer. scheme is
// "http" or "https".
func NewClient(scheme, host string, doer goahttp.Doer) *Client {
	encode, decode := goahttp.RequestEncoder, goahttp.ResponseDecoder
	c := contracthttp.NewClient(scheme, host, doer, encode, decode, false)
	f := fleethttp.NewClient(scheme, host, doer, encode, decode, false)
	l := ledgerhttp.NewClient(scheme, host, doer, encode, decode, false)
	r := refusalhttp.NewClient(scheme, host, doer, encode, decode, false)
	q := requesthttp.NewClient(scheme, host, doer, encode, decode, false)
	w := workspacehttp.NewClient(scheme, host, doer, encode, decode, false)
	return &Client{
		Contract:  contract.NewClient(c.Check(), c.Publish(), c.List(), c.Show(), c.Log()),
		Fleet:     fleet.NewClient(f.Status(), f.Backends(), f.Drain(), f.Metrics()),
		Ledger:    ledger.NewClient(l.Show(), l.Settle()),
		Refusal:   refusal.NewClient(r.Show(), r.List()),
		Request:   request.NewClient(q.Explain()),
		Workspace: workspace.NewClient(w.List(), w.Show()),
	}
}

// schemeAndHost returns the scheme and host of the target's URLs. secure selects the
// scheme of an address that is not a URL.
func (t Target) schemeAndHost(secure bool) (scheme, host string) {
	if u, err := url.Parse(t.Address); err == nil && u.Host != "" {
		return u.Scheme, u.Host
	}
	if secure {
		return "https", t.Address
	}
	return "http", t.Address
}

// tlsConfig returns the TLS configuration of the connection, or nil if it does not
// use TLS.
func (t Target) tlsConfig() (*tls.Config, error) {
	if t.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", t.CA)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if t.Cert == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}
