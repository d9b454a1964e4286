// Package admin is a client of the administration API of a host.
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
	"github.com/mustardramp/mustardramp/gen/ledger"
	"github.com/mustardramp/mustardramp/gen/refusal"
)

// Error is the class of this package's errors.
var Error = errs.Class("admin")

// callTimeout bounds one call to a host.
const callTimeout = 10 * time.Second

// Target says which host to ask, and how.
type Target struct {
	// Address is "ip:port", or a URL.
	Address string
	// CA, Cert and Key name PEM files. With CA set the connection uses TLS.
	CA   string
	Cert string
	Key  string
}

// Client holds the generated clients of one host.
type Client struct {
	Contract *contract.Client
	Fleet    *fleet.Client
	Ledger   *ledger.Client
	Refusal  *refusal.Client
}

// Dial returns a client. It opens no connection yet.
func Dial(target Target) (*Client, error) {
	config, err := target.tls()
	if err != nil {
		return nil, err
	}
	scheme, host := target.split(config != nil)
	transport := &http.Transport{TLSClientConfig: config, ResponseHeaderTimeout: callTimeout}
	return NewClient(scheme, host, &http.Client{Transport: transport, Timeout: callTimeout}), nil
}

// NewClient returns a client over an HTTP client.
func NewClient(scheme, host string, doer goahttp.Doer) *Client {
	encode, decode := goahttp.RequestEncoder, goahttp.ResponseDecoder
	c := contracthttp.NewClient(scheme, host, doer, encode, decode, false)
	f := fleethttp.NewClient(scheme, host, doer, encode, decode, false)
	l := ledgerhttp.NewClient(scheme, host, doer, encode, decode, false)
	r := refusalhttp.NewClient(scheme, host, doer, encode, decode, false)
	return &Client{
		Contract: contract.NewClient(c.Check(), c.Publish(), c.List(), c.Show(), c.Log()),
		Fleet:    fleet.NewClient(f.Status(), f.Backends(), f.Drain(), f.Metrics()),
		Ledger:   ledger.NewClient(l.Show(), l.Settle()),
		Refusal:  refusal.NewClient(r.Show(), r.List()),
	}
}

func (t Target) split(secure bool) (scheme, host string) {
	if u, err := url.Parse(t.Address); err == nil && u.Host != "" {
		return u.Scheme, u.Host
	}
	if secure {
		return "https", t.Address
	}
	return "http", t.Address
}

func (t Target) tls() (*tls.Config, error) {
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
